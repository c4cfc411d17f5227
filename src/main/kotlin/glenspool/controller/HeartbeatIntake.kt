package glenspool.controller

import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which workers' reports wait for the core's orders. [term]: this node's term, if it may act as leader now;
 * [post]: hands a report to the core.
 */
class HeartbeatIntake(
    private val pending: PendingHeartbeats,
    private val term: () -> Term?,
    private val post: (PendingHeartbeat) -> Unit,
) {
    /** The term for which the core has taken in all that is stored. */
    @Volatile
    var readyTerm: Term? = null

    /**
     * [answer] gets null where there are no orders: this node does not lead, or its core is behind. The worker's lease
     * is then kept like that of a node without a leader, and its next report tells the same. It is called once, by any
     * thread.
     */
    fun take(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit) {
        val now = term()
        // A core that is still taking in what is stored would hold all workers for longer than they wait.
        val waits = if (now == null || now != readyTerm) null else pending.add(heartbeat, answer)
        if (waits == null) return answer(null)
        // Nor may workers wait behind a core that can't keep up; it takes their reports in all the same, as signs of
        // life.
        if (pending.oldestWait() >= KEEPS_UP) waits.complete(null)
        post(waits)
    }

    companion object {
        /** Well below the time for which workers wait: an answer that is sent now still has its way to go. */
        val KEEPS_UP: Duration = 1.seconds
    }
}
