package glenspool.reconcile

import kotlin.time.Duration

/**
 * Observes which leaders' terms this controller process has lived through. A process that was alive during an earlier
 * term proves that not all controllers have been down since. The proof rests on process identity and monotonic time;
 * comparing wall clocks of different machines could not give it.
 *
 * A leadership record that exists when the process first reads the store may be stale: its lease outlives the leader by
 * a moment. It counts only once it has persisted for [staleLeaseLimit] while the store was read without a gap, since
 * only a living leader renews the lease, and an outage of the store extends every lease by its full time.
 */
class ContinuityEvidence(private val staleLeaseLimit: Duration) {
    private var hasReadStore = false

    /** The token of a leadership record that may be stale; null if there is none. */
    private var possiblyStaleToken: Long? = null

    /** Since when the store has been read without a gap. */
    private var readSince = Duration.ZERO

    /** The fencing token of the first term that this process has lived through; null if there is none yet. */
    var firstToken: Long? = null
        private set

    /**
     * The store was read at [at], in monotonic time; [leader] is the token of the leadership record, null if there is
     * no record.
     */
    fun recordStoreRead(leader: Long?, at: Duration) {
        if (firstToken != null) return
        val isFirstRead = !hasReadStore
        hasReadStore = true
        when {
            leader == null -> possiblyStaleToken = null
            isFirstRead -> {
                possiblyStaleToken = leader
                readSince = at
            }
            // The record appeared while this process was reading: its leader was elected in this process's lifetime.
            leader != possiblyStaleToken -> firstToken = leader
            at - readSince >= staleLeaseLimit -> firstToken = leader
        }
    }

    /** The store could not be read for a while: a record from before the gap may be stale now. */
    fun recordReadGap(at: Duration) {
        readSince = at
    }
}
