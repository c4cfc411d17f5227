package glenspool.api

import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Heartbeats that arrived before this node knew the confirmed cancellations, and wait until it does. Refusing them
 * immediately would cost each worker a second before it tries the next node, and each retry costs the controllers
 * processor time, which is scarce when all of them have just started. Thread-safe.
 *
 * @property uptime the time since the node's start
 * @property isReady whether waiting any longer is of no use
 */
internal class DeferredHeartbeats(private val uptime: () -> Duration, private val isReady: () -> Boolean) {
    private class Deferred(val arrivedAt: Duration, val taskCount: Int, val answer: () -> Unit)

    private val queue = LinkedBlockingQueue<Deferred>(MAX_HEARTBEATS)

    /** The number of tasks in all waiting heartbeats, by which their memory is bounded. */
    private val waitingTasks = AtomicInteger()

    /**
     * Defers a heartbeat with [taskCount] tasks. [answer] is called by [run], as soon as the node is ready or the
     * heartbeat has waited for [MAX_WAIT]. Returns false if too many heartbeats or tasks wait.
     */
    fun add(taskCount: Int, answer: () -> Unit): Boolean {
        val isWithinLimit = waitingTasks.addAndGet(taskCount) <= MAX_TASKS
        if (isWithinLimit && queue.offer(Deferred(uptime(), taskCount, answer))) return true
        waitingTasks.addAndGet(-taskCount)
        return false
    }

    /** The body of the service thread that answers the deferred heartbeats in order of arrival. */
    fun run() {
        while (true) {
            val next = queue.take()
            while (!isReady() && uptime() - next.arrivedAt < MAX_WAIT) {
                Thread.sleep(CHECK_INTERVAL.inWholeMilliseconds)
            }
            waitingTasks.addAndGet(-next.taskCount)
            next.answer()
        }
    }

    companion object {
        const val MAX_HEARTBEATS = 4096

        /** Sixteen tasks on each of 4,000 machines. Such heartbeats take 12 MB. */
        const val MAX_TASKS = 64_000

        /** Workers wait 4 s for an answer. The difference allows for network latency and late timers. */
        val MAX_WAIT: Duration = 2500.milliseconds
        private val CHECK_INTERVAL = 50.milliseconds
    }
}
