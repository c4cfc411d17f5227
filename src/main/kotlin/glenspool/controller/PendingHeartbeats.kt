package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import glenspool.logging.loggerOf
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The heartbeats that wait for the core, limited in number and in waiting time. A heartbeat above the limit is rejected
 * and its worker's lease renewed without the core. The same is done for the worker of a heartbeat that has waited so
 * long that the worker would soon switch to another node. Thread-safe.
 *
 * @param clock any monotonic time
 */
class PendingHeartbeats(private val clock: () -> Duration) {
    /** In order of arrival. */
    private val queue = ConcurrentLinkedQueue<PendingHeartbeat>()
    private val waiting = AtomicInteger()

    /** Whether a heartbeat was rejected since the last call of [backlog]. */
    private val hasRejected = AtomicBoolean()

    /** Queues the heartbeat. Returns null if too many are waiting. */
    fun add(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit): PendingHeartbeat? {
        if (waiting.incrementAndGet() > MAX_WAITING_HEARTBEATS) {
            waiting.decrementAndGet()
            hasRejected.set(true)
            return null
        }
        return PendingHeartbeat(heartbeat, clock(), answer).also { queue.add(it) }
    }

    /** Removes [pending] from the waiting heartbeats; to be called when the core begins to process it. */
    fun dequeue(pending: PendingHeartbeat) {
        if (pending.isDequeued) return
        pending.isDequeued = true
        waiting.decrementAndGet()
        while (queue.peek()?.isDequeued == true) queue.poll()
    }

    /** Removes all heartbeats and answers them without commands, since the core will not process any of them. */
    fun drop() {
        for (pending in queue) {
            dequeue(pending)
            pending.complete(null)
        }
    }

    /**
     * How far the core is behind. This is the wait of the oldest heartbeat, and at least [ANSWER_TIMEOUT] if a
     * heartbeat was rejected since the last call.
     */
    fun backlog(): Duration = if (hasRejected.getAndSet(false)) maxOf(oldestWait(), ANSWER_TIMEOUT) else oldestWait()

    /** How long the oldest heartbeat has waited for the core; zero if none waits. */
    fun oldestWait(): Duration = queue.firstOrNull { !it.isDequeued }?.let { clock() - it.arrivedAt } ?: Duration.ZERO

    /** Answers the heartbeats that have waited for too long, without commands. They still wait for the core. */
    fun expire() {
        for (pending in queue) {
            if (pending.isDequeued || pending.isAnswered) continue
            if (clock() - pending.arrivedAt < ANSWER_TIMEOUT) return
            if (pending.complete(null)) {
                log.warn(
                    "the core did not process the heartbeat of {} in time, answered without commands",
                    pending.heartbeat.machine,
                )
            }
        }
    }

    companion object {
        private val log = loggerOf(PendingHeartbeats::class.java)

        const val MAX_WAITING_HEARTBEATS = 128

        /** Workers wait 4 s for an answer. The difference allows for network latency and late timers. */
        val ANSWER_TIMEOUT: Duration = 2500.milliseconds
    }
}
