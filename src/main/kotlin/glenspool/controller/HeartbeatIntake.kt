package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which workers' heartbeats wait for the core's commands.
 *
 * @param term this node's term; null if the node may not act as leader at present
 * @param post queues a heartbeat for the core
 */
class HeartbeatIntake(
    private val pending: PendingHeartbeats,
    private val term: () -> Term?,
    private val post: (PendingHeartbeat) -> Unit,
) {
    /** The last term for which the core has loaded all stored state; null if there is none yet. */
    @Volatile
    var readyTerm: Term? = null

    /**
     * Has the heartbeat answered with the core's commands. If this node does not lead or its core is overloaded,
     * [answer] receives null. The worker's lease is then renewed as on a node that knows no leader, and the worker's
     * next heartbeat carries the same status. [answer] is called once, on any thread.
     */
    fun accept(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit) {
        val current = term()
        // While the core is still loading the stored state, a queued heartbeat would wait for longer than its worker
        // does.
        val isReady = current != null && current == readyTerm
        val added = if (isReady) pending.add(heartbeat, answer) else null
        if (added == null) return answer(null)
        // An overloaded core must not keep workers waiting either. It still processes their heartbeats, which show
        // that the machines are alive.
        if (pending.oldestWait() >= OVERLOAD_WAIT_THRESHOLD) added.complete(null)
        post(added)
    }

    companion object {
        /**
         * The core counts as overloaded if the oldest heartbeat has waited for this long. The value is well below the
         * time for which workers wait, because an answer sent at this point still has to reach the worker.
         */
        val OVERLOAD_WAIT_THRESHOLD: Duration = 1.seconds
    }
}
