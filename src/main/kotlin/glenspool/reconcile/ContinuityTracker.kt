package glenspool.reconcile

import kotlin.time.Duration

/**
 * Determines the first leadership term during which this controller process was running. A process that was running
 * during an earlier term proves that not all controllers have been down since. The evidence rests on process identity
 * and monotonic time, because wall clocks of different machines can't be compared reliably.
 *
 * A leadership record that exists when the process first reads the store may be stale, because the lease outlives the
 * leader for a short time. The record counts only after persisting for [staleLeaseLimit], since only a running leader
 * renews the lease. In that time the store must have been read without a gap, since an outage of the store extends
 * every lease by its full duration.
 */
class ContinuityTracker(private val staleLeaseLimit: Duration) {
    private var hasReadStore = false

    /** The token of a leadership record that may be stale; null if there is none. */
    private var possiblyStaleToken: Long? = null

    /** The time since which the store has been read without a gap. */
    private var uninterruptedSince = Duration.ZERO

    /** The fencing token of the first term during which this process was running; null if there is no evidence yet. */
    var firstToken: Long? = null
        private set

    /**
     * Records that the store was read at [at], in monotonic time. [leaderToken] is the token of the leadership record,
     * null if there is no record.
     */
    fun recordStoreRead(leaderToken: Long?, at: Duration) {
        if (firstToken != null) return
        val isFirstRead = !hasReadStore
        hasReadStore = true
        when {
            leaderToken == null -> possiblyStaleToken = null
            isFirstRead -> {
                possiblyStaleToken = leaderToken
                uninterruptedSince = at
            }
            // The record appeared between two reads of this process, so the leader was elected in its lifetime.
            leaderToken != possiblyStaleToken -> firstToken = leaderToken
            at - uninterruptedSince >= staleLeaseLimit -> firstToken = leaderToken
        }
    }

    /** Records that the store could not be read for some time, so that a record from before may be stale now. */
    fun recordReadGap(at: Duration) {
        uninterruptedSince = at
    }
}
