package glenspool.reconcile

import kotlin.time.Duration

/**
 * The stored record of a recovery, for later leaders. It is written together with the election unless the start is
 * certain to be an ordinary failover, so that no leader acts before the record exists.
 *
 * @property token the fencing token of the term that stored it
 * @property startedAt when the recovery began, in wall-clock time since the epoch
 */
data class RecoveryRecord(
    val token: Long,
    val phase: RecoveryPhase,
    val startedAt: Duration,
    val isPaused: Boolean = false,
    val isApproved: Boolean = false,
)

/** The result of reading the stored record of the last recovery. */
sealed interface StoredRecovery {
    /** Whether a recovery that began before the term [token] is unfinished. */
    fun isUnfinished(token: Long): Boolean

    /** There has never been a recovery. */
    data object Absent : StoredRecovery {
        override fun isUnfinished(token: Long) = false
    }

    /** The last recovery's record, and the version at which it was read. */
    data class Present(val record: RecoveryRecord, val version: Long) : StoredRecovery {
        override fun isUnfinished(token: Long) = record.token < token && record.phase != RecoveryPhase.NORMAL
    }

    /** There is a record that can't be decoded, so the recovery starts over. */
    data class Unreadable(val version: Long, val problem: String) : StoredRecovery {
        override fun isUnfinished(token: Long) = true
    }
}
