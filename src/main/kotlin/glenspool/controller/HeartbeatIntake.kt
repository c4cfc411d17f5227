package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which workers' heartbeats wait for the core's commands. [term]: this node's term, if it may act as leader
 * now; [post]: hands a heartbeat to the core.
 */
class HeartbeatIntake(
    private val pending: PendingHeartbeats,
    private val term: () -> Term?,
    private val post: (PendingHeartbeat) -> Unit,
) {
    /** The term for which the core has loaded all that is stored; null: none yet. */
    @Volatile
    var readyTerm: Term? = null

    /**
     * [answer] gets null where there are no commands: this node does not lead, or its core is behind. The worker's
     * lease is then kept like that of a node without a leader, and its next heartbeat carries the same status. It is
     * called once, by any thread.
     */
    fun accept(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit) {
        val current = term()
        // A core that is still loading what is stored would hold all workers for longer than they wait.
        val isReady = current != null && current == readyTerm
        val added = if (isReady) pending.add(heartbeat, answer) else null
        if (added == null) return answer(null)
        // Nor may workers wait behind a core that can't keep up; it takes their heartbeats in all the same, as signs of
        // life.
        if (pending.oldestWait() >= OVERLOAD_WAIT_THRESHOLD) added.complete(null)
        post(added)
    }

    companion object {
        /**
         * With a longer wait the core counts as unable to keep up. Well below the time for which workers wait: an
         * answer that is sent now still has to reach the worker.
         */
        val OVERLOAD_WAIT_THRESHOLD: Duration = 1.seconds
    }
}
