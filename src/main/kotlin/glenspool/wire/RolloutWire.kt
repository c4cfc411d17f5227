package glenspool.wire

import glenspool.rollout.ActivationMode
import glenspool.rollout.Exclusion
import glenspool.rollout.Hold
import glenspool.rollout.HoldCause
import glenspool.rollout.LevelRecord
import glenspool.rollout.LevelStage
import glenspool.rollout.MemberSeen
import glenspool.rollout.OperatorOrders
import glenspool.rollout.RolloutState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The stored forms of the rollout's records. Readers are strict: what is not exactly understood is a
 * [MalformedMessage].
 */
object RolloutWire {
    private const val MAX_LEVEL = 1_000_000L
    private val stages = mapOf("active" to LevelStage.ACTIVE, "leaving" to LevelStage.LEAVING)
    private val stageNames = stages.entries.associate { it.value to it.key }

    fun encode(record: LevelRecord): Fields =
        linkedMapOf(
            "level" to record.level.toLong(),
            "name" to record.name,
            "stage" to stageNames.getValue(record.stage),
            "token" to record.token,
            "changed" to record.changedAt.inWholeMilliseconds,
        )

    fun level(fields: Fields) =
        LevelRecord(
            level = fields.levelNumber("level"),
            name = fields.text("name"),
            stage = stages[fields.text("stage")] ?: throw MalformedMessage("stage: unknown value"),
            token = fields.count("token"),
            changedAt = fields.count("changed").milliseconds,
        )

    fun encode(orders: OperatorOrders): Fields =
        linkedMapOf(
            "mode" to orders.mode?.name?.lowercase(),
            "approved" to orders.approvedLevel?.toLong(),
            "lower_to" to orders.lowerTo?.toLong(),
            "excluded" to
                orders.exclusions.map {
                    linkedMapOf("member" to it.member, "by" to it.by, "at" to it.at.inWholeMilliseconds)
                },
        )

    fun orders(fields: Fields) =
        OperatorOrders(
            mode = fields.textOrNull("mode")?.let { enumOf<ActivationMode>("mode", it) },
            approvedLevel = fields.levelNumberOrNull("approved"),
            lowerTo = fields.levelNumberOrNull("lower_to"),
            exclusions =
                fields.maps("excluded").map {
                    Exclusion(
                        it.text("member"), it.text("by"),
                        it
                            .count("at")
                            .milliseconds,
                    )
                },
        )

    fun encode(state: RolloutState): Fields =
        linkedMapOf(
            "target" to state.target.toLong(),
            "members" to
                state.members.map {
                    linkedMapOf(
                        "member" to it.member, "build" to it.build, "highest" to it.highest.toLong(),
                        "since" to it.since.inWholeMilliseconds,
                    )
                },
            "hold" to
                state.hold?.let {
                    linkedMapOf(
                        "cause" to it.cause.name.lowercase(), "member" to it.member,
                        "detail" to it.detail,
                    )
                },
            "held_since" to state.heldSince?.inWholeMilliseconds,
        )

    fun state(fields: Fields) =
        RolloutState(
            target = fields.levelNumber("target"),
            members =
                fields.maps("members").map {
                    MemberSeen(
                        it.text("member"), it.text("build"), it.levelNumber("highest"),
                        it
                            .signedMilliseconds("since"),
                    )
                },
            hold =
                fields.mapOrNull("hold")?.let {
                    Hold(
                        enumOf<HoldCause>("cause", it.text("cause")),
                        it
                            .textOrNull("member"),
                        it.textOrNull("detail"),
                    )
                },
            heldSince = if (fields["held_since"] == null) null else fields.count("held_since").milliseconds,
        )

    private fun Fields.levelNumber(name: String): Int {
        val number = count(name)
        if (number > MAX_LEVEL) throw MalformedMessage("$name: out of range")
        return number.toInt()
    }

    private fun Fields.levelNumberOrNull(name: String): Int? = if (this[name] == null) null else levelNumber(name)

    private fun Fields.signedMilliseconds(name: String): Duration = (this[name] as? Long ?: throw MalformedMessage("$name: a whole number is needed")).milliseconds

    @Suppress("UNCHECKED_CAST")
    private fun Fields.mapOrNull(name: String): Fields? =
        when (val value = this[name]) {
            null -> null
            is Map<*, *> -> value as Fields
            else -> throw MalformedMessage("$name: a map or null is needed")
        }

    private inline fun <reified T : Enum<T>> enumOf(field: String, word: String): T = enumValues<T>().firstOrNull { it.name.lowercase() == word } ?: throw MalformedMessage("$field: unknown value")
}
