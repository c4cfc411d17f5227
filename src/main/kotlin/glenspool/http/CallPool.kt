package glenspool.http

import java.util.concurrent.Executor
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * A thread pool for calls that may block. It starts a thread only if all others are busy, up to [maxThreads]. Further
 * calls are queued, up to [queueCapacity], and rejected beyond that.
 *
 * A server that does not respond blocks a thread for seconds, and tens of machines may be lost at the same time, so the
 * pool needs many threads. After a failover hundreds of short calls arrive together, so it also needs a queue.
 *
 * Threads are daemons with small stacks and end after ten idle seconds, except for one.
 */
class CallPool(name: String, maxThreads: Int, private val queueCapacity: Int) :
    Executor,
    AutoCloseable {
    private inner class CallQueue : LinkedBlockingQueue<Runnable>() {
        /**
         * Rejects the call unless a thread is free, which makes the executor start a thread. If the executor already
         * has [maxThreads] threads, it calls its rejection handler instead, which calls [enqueue].
         *
         * The pool counts the calls itself, since the executor does not count a thread as active that is about to run
         * a call, and a call must not be queued behind one that blocks.
         */
        override fun offer(e: Runnable): Boolean = unfinishedCalls.get() <= executor.poolSize && super.offer(e)

        fun enqueue(call: Runnable) {
            if (size >= queueCapacity || !super.offer(call)) throw rejection()
        }
    }

    private val unfinishedCalls = AtomicInteger()
    private val queue = CallQueue()
    private val executor: ThreadPoolExecutor =
        ThreadPoolExecutor(
            1,
            maxThreads,
            MAX_IDLE_SECONDS,
            TimeUnit.SECONDS,
            queue,
            { runnable -> Thread(null, runnable, name, STACK_BYTES).also { it.isDaemon = true } },
            { call, _ -> queue.enqueue(call) },
        )

    /** The number of calls that run or wait for a thread. */
    val runningCalls: Int get() = unfinishedCalls.get()

    /** @throws RejectedExecutionException if the queue is full */
    override fun execute(call: Runnable) {
        if (!tryExecute(call::run)) throw rejection()
    }

    /** Runs [call] on a thread of the pool. Returns false, without running it, if the queue is full. */
    fun tryExecute(call: () -> Unit): Boolean {
        unfinishedCalls.incrementAndGet()
        return try {
            executor.execute {
                try {
                    call()
                } finally {
                    unfinishedCalls.decrementAndGet()
                }
            }
            true
        } catch (e: RejectedExecutionException) {
            unfinishedCalls.decrementAndGet()
            false
        }
    }

    private fun rejection() = RejectedExecutionException("the queue already contains $queueCapacity calls")

    /** Interrupts the running calls and drops the queued ones. */
    override fun close() {
        executor.shutdownNow()
    }

    private companion object {
        const val MAX_IDLE_SECONDS = 10L
        const val STACK_BYTES = 192L * 1024
    }
}
