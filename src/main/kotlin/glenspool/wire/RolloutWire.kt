package glenspool.wire

import glenspool.rollout.ActivationMode
import glenspool.rollout.Exclusion
import glenspool.rollout.Hold
import glenspool.rollout.HoldCause
import glenspool.rollout.LevelRecord
import glenspool.rollout.LevelStage
import glenspool.rollout.ObservedMember
import glenspool.rollout.OperatorOrders
import glenspool.rollout.RolloutState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The stored forms of the rollout's records. Decoding is strict and throws a [MalformedMessage] for each unknown or
 * invalid value. Times are in milliseconds since the epoch.
 */
object RolloutWire {
    private const val MAX_LEVEL = 1_000_000L
    private val stages = mapOf("active" to LevelStage.ACTIVE, "leaving" to LevelStage.LEAVING)
    private val stageWords = stages.entries.associate { it.value to it.key }

    fun encode(record: LevelRecord): Fields =
        linkedMapOf(
            "level" to record.level.toLong(),
            "name" to record.name,
            "stage" to stageWords.getValue(record.stage),
            "token" to record.token,
            "changed" to record.changedAt.inWholeMilliseconds,
        )

    /** Decodes a [LevelRecord]. */
    fun decodeLevel(fields: Fields) =
        LevelRecord(
            level = fields.levelNumber("level"),
            name = fields.text("name"),
            stage = stages.decodeWord("stage", fields.text("stage")),
            token = fields.count("token"),
            changedAt = fields.count("changed").milliseconds,
        )

    fun encode(orders: OperatorOrders): Fields =
        linkedMapOf(
            "mode" to orders.mode?.name?.lowercase(),
            "approved" to orders.approvedLevel?.toLong(),
            "lower_to" to orders.lowerTo?.toLong(),
            "excluded" to orders.exclusions.map(::encodeExclusion),
        )

    /** Decodes [OperatorOrders]. */
    fun decodeOrders(fields: Fields) =
        OperatorOrders(
            mode = fields.textOrNull("mode")?.let { enumOf<ActivationMode>("mode", it) },
            approvedLevel = fields.levelNumberOrNull("approved"),
            lowerTo = fields.levelNumberOrNull("lower_to"),
            exclusions = fields.maps("excluded").map(::decodeExclusion),
        )

    private fun encodeExclusion(exclusion: Exclusion): Fields =
        linkedMapOf(
            "member" to exclusion.member,
            "by" to exclusion.by,
            "at" to exclusion.at.inWholeMilliseconds,
        )

    private fun decodeExclusion(fields: Fields) =
        Exclusion(
            member = fields.text("member"),
            by = fields.text("by"),
            at = fields.count("at").milliseconds,
        )

    fun encode(state: RolloutState): Fields =
        linkedMapOf(
            "target" to state.target.toLong(),
            "members" to state.members.map(::encodeMember),
            "hold" to state.hold?.let(::encodeHold),
            "held_since" to state.heldSince?.inWholeMilliseconds,
        )

    /** Decodes a [RolloutState]. */
    fun decodeState(fields: Fields) =
        RolloutState(
            target = fields.levelNumber("target"),
            members = fields.maps("members").map(::decodeMember),
            hold = fields.nestedOrNull("hold")?.let(::decodeHold),
            heldSince = if (fields["held_since"] == null) null else fields.count("held_since").milliseconds,
        )

    private fun encodeMember(member: ObservedMember): Fields =
        linkedMapOf(
            "member" to member.member,
            "build" to member.build,
            "highest" to member.highest.toLong(),
            "since" to member.since.inWholeMilliseconds,
        )

    private fun decodeMember(fields: Fields) =
        ObservedMember(
            member = fields.text("member"),
            build = fields.text("build"),
            highest = fields.levelNumber("highest"),
            since = fields.signedMilliseconds("since"),
        )

    private fun encodeHold(hold: Hold): Fields =
        linkedMapOf(
            "cause" to hold.cause.name.lowercase(),
            "member" to hold.member,
            "detail" to hold.detail,
        )

    private fun decodeHold(fields: Fields) =
        Hold(
            cause = enumOf<HoldCause>("cause", fields.text("cause")),
            member = fields.textOrNull("member"),
            detail = fields.textOrNull("detail"),
        )

    private fun Fields.levelNumber(name: String): Int {
        val number = count(name)
        if (number > MAX_LEVEL) throw MalformedMessage(name, "out of range")
        return number.toInt()
    }

    private fun Fields.levelNumberOrNull(name: String): Int? = if (this[name] == null) null else levelNumber(name)

    /** A required time, which may also be before the epoch. */
    private fun Fields.signedMilliseconds(name: String): Duration {
        val milliseconds = this[name] as? Long ?: throw MalformedMessage(name, "a whole number is needed")
        return milliseconds.milliseconds
    }

    private inline fun <reified T : Enum<T>> enumOf(name: String, word: String): T {
        val constant = enumValues<T>().firstOrNull { it.name.lowercase() == word }
        return constant ?: throw MalformedMessage(name, "unknown value")
    }
}
