package glenspool.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch

/** Servers that do not respond block threads. Calls to other servers must neither fail nor use unlimited threads. */
class CallPoolTest {
    @Test
    fun `blocking calls use up to the maximum of threads, further ones are queued, and a full queue rejects calls`() {
        CallPool("test", maxThreads = 8, queueCapacity = 100).use { pool ->
            val release = CountDownLatch(1)
            val started = CountDownLatch(8)
            val done = CountDownLatch(108)
            val threadIds = ConcurrentHashMap.newKeySet<Long>()
            val call = {
                threadIds.add(Thread.currentThread().id)
                started.countDown()
                release.await()
                done.countDown()
            }
            repeat(8) { assertTrue(pool.tryExecute(call)) }
            // All eight calls run at the same time: none is queued behind one that blocks.
            started.await()
            repeat(100) { assertTrue(pool.tryExecute(call)) }
            assertFalse(pool.tryExecute(call))
            release.countDown()
            done.await()
            assertEquals(8, threadIds.size)
        }
    }

    @Test
    fun `a call runs after an earlier call has thrown an exception`() {
        CallPool("test", maxThreads = 1, queueCapacity = 10).use { pool ->
            val hasRun = CountDownLatch(1)
            pool.tryExecute {
                Thread.currentThread().setUncaughtExceptionHandler { _, _ -> }
                throw IllegalStateException("simulated failure of a call")
            }
            assertTrue(pool.tryExecute(hasRun::countDown))
            hasRun.await()
        }
    }
}
