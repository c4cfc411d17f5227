package glenspool.http

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CountDownLatch

/**
 * Machines that do not answer hold threads; calls to others must neither fail for it nor take threads without bound.
 */
class CallPoolTest {
    @Test
    fun `slow calls take threads up to the bound, further ones wait in turn, and only then is one refused`() {
        CallPool("test", threads = 8, waiting = 100).use { pool ->
            val answered = CountDownLatch(1)
            val begun = CountDownLatch(8)
            val done = CountDownLatch(108)
            val threads = ConcurrentHashMap.newKeySet<Long>()
            val call = {
                threads.add(Thread.currentThread().id)
                begun.countDown()
                answered.await()
                done.countDown()
            }
            repeat(8) { assertTrue(pool.run(call)) }
            // All eight run at once: none waits behind a call that is stuck.
            begun.await()
            repeat(100) { assertTrue(pool.run(call)) }
            assertFalse(pool.run(call))
            answered.countDown()
            done.await()
            assertEquals(8, threads.size)
        }
    }

    @Test
    fun `a call that fails takes nothing else with it`() {
        CallPool("test", threads = 1, waiting = 10).use { pool ->
            val after = CountDownLatch(1)
            pool.run {
                Thread.currentThread().setUncaughtExceptionHandler { _, _ -> }
                throw IllegalStateException("as a broken call would")
            }
            assertTrue(pool.run(after::countDown))
            after.await()
        }
    }
}
