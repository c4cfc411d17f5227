package glenspool.rollout

import kotlin.time.Duration

/** A stored record as a replica has it. */
sealed interface Stored<out T> {
    /** The replica has not been read yet. */
    data object NotRead : Stored<Nothing>

    data object Absent : Stored<Nothing>

    /** There is a record that this build can't read. */
    data class Unreadable(val version: Long, val reason: String) : Stored<Nothing>

    data class Present<T>(val value: T, val version: Long) : Stored<T>
}

/** The record, or null where there is none that can be read. */
fun <T> Stored<T>.valueOrNull(): T? = (this as? Stored.Present)?.value

/** The version on which a transaction that replaces the record is conditioned; null: it must not be replaced. */
fun Stored<*>.replaceableVersion(): Long? =
    when (this) {
        Stored.NotRead, is Stored.Unreadable -> null
        Stored.Absent -> 0L
        is Stored.Present -> version
    }

/** Whether the forms of the active level may still be written. */
enum class LevelStage {
    ACTIVE,

    /** The level is being left: its forms are read and rewritten, but no record takes them on. */
    LEAVING,
}

/** The one stored fact about levels. [changedAt] is a time of day, [token] that of the leader which stored it. */
data class LevelRecord(
    val level: Int,
    val name: String,
    val stage: LevelStage,
    val token: Long,
    val changedAt: Duration,
) {
    /** The highest level whose forms may be written anew. */
    val written: Int get() = if (stage == LevelStage.ACTIVE) level else level - 1
}

/** A member that an operator has excused from the evidence that activation needs. */
data class Exclusion(val member: String, val by: String, val at: Duration)

/** What operators have ordered last; stored by whichever controller they asked. */
data class OperatorOrders(
    val mode: ActivationMode? = null,
    /** The level that may become active while the policy asks for an operator's word. */
    val approvedLevel: Int? = null,
    /** The level to go back to; stays until another order replaces it. */
    val lowerTo: Int? = null,
    val exclusions: List<Exclusion> = emptyList(),
) {
    fun excludes(member: String): Boolean = exclusions.any { it.member == member }
}

/** A member as the leader last saw it. [since] is the time of day from which this process was seen. */
data class MemberSeen(val member: String, val build: String, val highest: Int, val since: Duration)

/**
 * The rollout as the leader records it, so that the next leader and operators know how it came to stand where it is.
 */
data class RolloutState(
    val target: Int,
    val members: List<MemberSeen>,
    val hold: Hold?,
    /** The time of day since which [hold] stands. */
    val heldSince: Duration?,
) {
    /** Whether the other one says the same to a reader, times apart. */
    fun sameAs(other: RolloutState): Boolean =
        target == other.target &&
            hold == other.hold &&
            members.map { it.copy(since = Duration.ZERO) } ==
            other.members.map { it.copy(since = Duration.ZERO) }
}
