package glenspool.controller

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** A node must not keep running after one of its service threads has ended, least of all a leader without its core. */
class ServiceThreadsTest {
    private val fatalCalls = AtomicInteger()
    private val threads = ServiceThreads({ fatalCalls.incrementAndGet() }, Duration.ZERO)

    @Test
    fun `an unrecoverable error in a service thread ends the process`() {
        threads.start("broken") { throw NoClassDefFoundError("simulated class that can't be loaded") }
        // Joins the thread instead of waiting for the call, so that a thread that ends without the call fails the test.
        threads.join()
        assertEquals(1, fatalCalls.get())
    }

    @Test
    fun `a service thread that fails is restarted, and one that is interrupted ends`() {
        val remainingRuns = CountDownLatch(3)
        threads.start("failing") {
            remainingRuns.countDown()
            check(remainingRuns.count == 0L) { "simulated failure before the third run" }
            CountDownLatch(1).await()
        }
        remainingRuns.await()
        threads.close()
        threads.join()
        assertEquals(0, fatalCalls.get())
    }

    @Test
    fun `a service thread that runs once ends when its body returns or fails`() {
        val runs = AtomicInteger()
        threads.startOnce("returning") { runs.incrementAndGet() }
        threads.startOnce("failing") {
            runs.incrementAndGet()
            throw IllegalStateException("simulated failure")
        }
        threads.join()
        assertEquals(2, runs.get())
        assertEquals(0, fatalCalls.get())
    }
}
