package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration

/**
 * A worker's heartbeat that waits for the core. It is answered once, by whoever is first; the core takes it in even if
 * it was answered before, since it still shows that the machine is alive.
 */
class PendingHeartbeat internal constructor(
    val heartbeat: Heartbeat,
    /** When it arrived, by the steady clock. */
    internal val arrivedAt: Duration,
    private val answer: (WorkerCommands?) -> Unit,
) {
    private val answered = AtomicBoolean()

    /** Whether the core has taken it in. */
    @Volatile
    internal var isDequeued = false

    internal val isAnswered: Boolean get() = answered.get()

    /** Null: this node has no commands to give. False: it was answered before. */
    fun complete(commands: WorkerCommands?): Boolean {
        if (!answered.compareAndSet(false, true)) return false
        answer(commands)
        return true
    }
}
