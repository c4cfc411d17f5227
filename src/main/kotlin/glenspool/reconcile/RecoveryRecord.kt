package glenspool.reconcile

import kotlin.time.Duration

/**
 * What later leaders must know of a recovery. [token]: the term that stored it. [startedAt]: when the recovery began,
 * by the time of day. Written with the election wherever it is not certain that the start is an ordinary take-over, so
 * that no leader acts before.
 */
data class RecoveryRecord(
    val token: Long,
    val phase: RecoveryPhase,
    val startedAt: Duration,
    val isPaused: Boolean = false,
    val isApproved: Boolean = false,
)

/** The stored record as a node has it. */
sealed interface StoredRecovery {
    /** Whether a recovery of a term before [token] is still to be finished. */
    fun isOpen(token: Long): Boolean

    /** No recovery was ever begun. */
    data object Absent : StoredRecovery {
        override fun isOpen(token: Long) = false
    }

    data class Present(val record: RecoveryRecord, val version: Long) : StoredRecovery {
        override fun isOpen(token: Long) = record.token < token && record.phase != RecoveryPhase.NORMAL
    }

    /** It can't be read: recovery begins anew. */
    data class Unreadable(val version: Long, val problem: String) : StoredRecovery {
        override fun isOpen(token: Long) = true
    }
}
