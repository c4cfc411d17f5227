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
 * The heartbeats that wait for the core, bounded by count and by time. Beyond the count a heartbeat is refused here and
 * its worker's lease kept without the core; so is one that has waited so long that its worker would soon turn to
 * another node. [clock]: any steady time. Safe for several threads.
 */
class PendingHeartbeats(private val clock: () -> Duration) {
    /** In the order in which they arrived. */
    private val queue = ConcurrentLinkedQueue<PendingHeartbeat>()
    private val waiting = AtomicInteger()

    /** Whether one was refused since the backlog was last asked for. */
    private val hasRefused = AtomicBoolean()

    /** Null: too many wait. */
    fun add(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit): PendingHeartbeat? {
        if (waiting.incrementAndGet() > MAX_WAITING_HEARTBEATS) {
            waiting.decrementAndGet()
            hasRefused.set(true)
            return null
        }
        return PendingHeartbeat(heartbeat, clock(), answer).also { queue.add(it) }
    }

    /** The core takes [pending] in. */
    fun dequeue(pending: PendingHeartbeat) {
        if (pending.isDequeued) return
        pending.isDequeued = true
        waiting.decrementAndGet()
        while (queue.peek()?.isDequeued == true) queue.poll()
    }

    /** Answers all without commands: the core will take none of them in any more. */
    fun drop() {
        for (pending in queue) {
            dequeue(pending)
            pending.complete(null)
        }
    }

    /**
     * How far the core is behind: how long the oldest heartbeat has waited for it, or more if some were refused since
     * the last call.
     */
    fun backlog(): Duration = if (hasRefused.getAndSet(false)) maxOf(oldestWait(), ANSWER_TIMEOUT) else oldestWait()

    /** How long the oldest heartbeat has waited for the core. */
    fun oldestWait(): Duration = queue.firstOrNull { !it.isDequeued }?.let { clock() - it.arrivedAt } ?: Duration.ZERO

    /** Answers those that have waited for too long, without commands. */
    fun expire() {
        for (pending in queue) {
            if (pending.isDequeued || pending.isAnswered) continue
            if (clock() - pending.arrivedAt < ANSWER_TIMEOUT) return
            if (pending.complete(null)) {
                log.warn("heartbeat of {} was not answered in time", pending.heartbeat.machine)
            }
        }
    }

    companion object {
        private val log = loggerOf(PendingHeartbeats::class.java)

        /** How many heartbeats may wait at once. */
        const val MAX_WAITING_HEARTBEATS = 128

        /** A worker waits 4 s for an answer; the rest is for the way to it and for timers that are late. */
        val ANSWER_TIMEOUT: Duration = 2500.milliseconds
    }
}
