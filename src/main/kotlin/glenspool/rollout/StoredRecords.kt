package glenspool.rollout

import kotlin.time.Duration

/** A stored record as read from the store cache. */
sealed interface Stored<out T> {
    /** The store has not been read yet. */
    data object NotRead : Stored<Nothing>

    /** There is no such record. */
    data object Absent : Stored<Nothing>

    /** There is a record that this build can't decode. */
    data class Unreadable(val version: Long, val reason: String) : Stored<Nothing>

    /** The record and the version at which it was read. */
    data class Present<T>(val value: T, val version: Long) : Stored<T>
}

/** Returns the record, or null if there is none that can be decoded. */
fun <T> Stored<T>.valueOrNull(): T? = (this as? Stored.Present)?.value

/** Returns the operators' orders, or the default if there are none that can be decoded. */
internal fun Stored<OperatorOrders>.valueOrDefault(): OperatorOrders = valueOrNull() ?: OperatorOrders()

/** Returns the version for a compare-and-swap that replaces the record, or null if it must not be replaced. */
fun Stored<*>.replaceableVersion(): Long? =
    when (this) {
        Stored.NotRead, is Stored.Unreadable -> null
        Stored.Absent -> 0L
        is Stored.Present -> version
    }

/** Whether the forms of the stored level may still be written. */
enum class LevelStage {
    ACTIVE,

    /** The level is being deactivated: its forms are read and rewritten, but no further record is written in them. */
    LEAVING,
}

/**
 * The record of the active level.
 *
 * @property token the fencing token of the leader that stored it
 * @property changedAt when it was stored, in wall-clock time since the epoch
 */
data class LevelRecord(
    val level: Int,
    val name: String,
    val stage: LevelStage,
    val token: Long,
    val changedAt: Duration,
) {
    /** The highest level whose forms may be written. */
    val highestWritable: Int get() = if (stage == LevelStage.ACTIVE) level else level - 1
}

/**
 * A member whose evidence is not needed for an activation, by an operator's order.
 *
 * @property by who ordered it
 * @property at when it was ordered, in wall-clock time since the epoch
 */
data class Exclusion(val member: String, val by: String, val at: Duration)

/** The operators' orders in force; stored by the controller that received them. */
data class OperatorOrders(
    /** Overrides the policy's mode; null if it does not. */
    val mode: ActivationMode? = null,
    /** The level up to which activation is approved. */
    val approvedLevel: Int? = null,
    /** The level to go back to; in force until another order replaces it. */
    val lowerTo: Int? = null,
    val exclusions: List<Exclusion> = emptyList(),
) {
    /** Whether the member's evidence is not needed. */
    fun excludes(member: String): Boolean = exclusions.any { it.member == member }
}

/**
 * A member as last observed by the leader.
 *
 * @property highest the highest level that its build reads
 * @property since when its current process was first observed, in wall-clock time since the epoch
 */
data class ObservedMember(val member: String, val build: String, val highest: Int, val since: Duration)

/** The rollout's state as the leader stores it, for the next leader and for operators. */
data class RolloutState(
    val target: Int,
    val members: List<ObservedMember>,
    val hold: Hold?,
    /** When [hold] came into force, in wall-clock time since the epoch; null if there is no hold. */
    val heldSince: Duration?,
) {
    /** Whether the other state differs only in times. */
    fun equalsExceptTimes(other: RolloutState): Boolean =
        target == other.target && hold == other.hold && members.withoutTimes() == other.members.withoutTimes()

    private fun List<ObservedMember>.withoutTimes() = map { it.copy(since = Duration.ZERO) }
}
