package glenspool.http

import java.util.concurrent.Executor
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * A thread pool for calls that may block: it starts a thread only if all others are busy, up to [maxThreads]; further
 * calls are queued, up to [queueCapacity], and beyond that refused. A counterpart that does not answer blocks a thread
 * for seconds, and tens of machines may be lost at once, while after a failover hundreds of short calls come together.
 *
 * Threads are daemons with small stacks and end after ten idle seconds, except for one.
 */
class CallPool(name: String, maxThreads: Int, private val queueCapacity: Int) :
    Executor,
    AutoCloseable {
    private inner class CallQueue : LinkedBlockingQueue<Runnable>() {
        /**
         * Refuses the call, which makes the executor start a thread, unless there is a free one; the executor's handler
         * of refused calls then uses [enqueue]. The calls are counted by the pool itself, since the executor does not
         * count a thread as active that is about to run a call, and a call must not be queued behind one that blocks.
         */
        override fun offer(e: Runnable): Boolean = unfinished.get() <= executor.poolSize && super.offer(e)

        fun enqueue(call: Runnable) {
            if (size >= queueCapacity || !super.offer(call)) throw refusal()
        }
    }

    private val unfinished = AtomicInteger()
    private val queue = CallQueue()
    private val executor: ThreadPoolExecutor =
        ThreadPoolExecutor(
            1,
            maxThreads,
            IDLE_SECONDS,
            TimeUnit.SECONDS,
            queue,
            { runnable -> Thread(null, runnable, name, STACK_BYTES).also { it.isDaemon = true } },
            { call, _ -> queue.enqueue(call) },
        )

    /** @throws RejectedExecutionException if the queue is full */
    override fun execute(call: Runnable) {
        if (!tryExecute(call::run)) throw refusal()
    }

    /** Returns false if the queue is full; [call] is not run then. */
    fun tryExecute(call: () -> Unit): Boolean {
        unfinished.incrementAndGet()
        return try {
            executor.execute {
                try {
                    call()
                } finally {
                    unfinished.decrementAndGet()
                }
            }
            true
        } catch (e: RejectedExecutionException) {
            unfinished.decrementAndGet()
            false
        }
    }

    private fun refusal() = RejectedExecutionException("more than $queueCapacity calls wait")

    /** Interrupts the running calls and drops the queued ones. */
    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val IDLE_SECONDS = 10L
        const val STACK_BYTES = 192L * 1024
    }
}
