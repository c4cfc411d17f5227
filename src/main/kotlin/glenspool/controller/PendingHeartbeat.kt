package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * A worker's heartbeat that waits for the core. It is answered once, by the first thread that calls [complete]. The
 * core processes it even if it was answered before, since it still shows that the machine is alive.
 */
class PendingHeartbeat internal constructor(
    val heartbeat: Heartbeat,
    /** When the heartbeat arrived, in monotonic time. */
    internal val arrivedAt: Duration,
    private val answer: (WorkerCommands?) -> Unit,
) {
    private val answered = AtomicBoolean()

    /** Whether the heartbeat no longer waits for the core. */
    @Volatile
    internal var isDequeued = false

    internal val isAnswered: Boolean get() = answered.get()

    /**
     * Answers the worker with [commands], which are null if this node has none to give. Returns false if the heartbeat
     * was answered before.
     */
    fun complete(commands: WorkerCommands?): Boolean {
        if (!answered.compareAndSet(false, true)) return false
        answer(commands)
        return true
    }
}
