package glenspool.http

import java.util.concurrent.Executor
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.RejectedExecutionException
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Threads for calls that may be slow: a new one only while all others are busy, up to [threads]; beyond that calls wait
 * in turn. A counterpart that does not answer holds a thread for seconds, and tens of machines may be lost at once,
 * while after a take-over hundreds of calls that take a moment come together.
 */
class CallPool(name: String, threads: Int, private val waiting: Int) :
    Executor,
    AutoCloseable {
    private inner class Waiting : LinkedBlockingQueue<Runnable>() {
        /**
         * False makes the executor start a thread; it asks [wait] once it may start no more. The calls are counted
         * here: a thread that is about to run one does not yet count as active, and a call must not be put behind one
         * that gets stuck.
         */
        override fun offer(e: Runnable): Boolean = unfinished.get() <= pool.poolSize && super.offer(e)

        fun wait(e: Runnable) {
            if (size >= waiting || !super.offer(e)) throw RejectedExecutionException("more than $waiting calls wait")
        }
    }

    private val unfinished = AtomicInteger()
    private val queue = Waiting()
    private val pool: ThreadPoolExecutor =
        ThreadPoolExecutor(
            1, threads, 10, TimeUnit.SECONDS, queue,
            { r -> Thread(null, r, name, STACK).also { it.isDaemon = true } },
            { r, _ -> queue.wait(r) },
        )

    /** For servers: a refused exchange ends with its connection, and the other side comes again. */
    override fun execute(call: Runnable) {
        if (!run(call::run)) throw RejectedExecutionException("more than $waiting calls wait")
    }

    /** False: too much waits already, and it will not be run. */
    fun run(call: () -> Unit): Boolean {
        unfinished.incrementAndGet()
        return try {
            pool.execute {
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

    override fun close() {
        pool.shutdownNow()
    }

    private companion object {
        const val STACK = 192L * 1024
    }
}
