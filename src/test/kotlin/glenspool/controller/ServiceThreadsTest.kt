package glenspool.controller

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** A node must not live on with one of its service threads dead: least of all a leader without its core. */
class ServiceThreadsTest {
    private val fatalCalls = AtomicInteger()
    private val threads = ServiceThreads({ fatalCalls.incrementAndGet() }, Duration.ZERO)

    @Test
    fun `an unrecoverable error in a service thread ends the process`() {
        threads.start("broken") { throw NoClassDefFoundError("as when a class can't be loaded") }
        // Joined, not waited for: a thread that only died would be seen, too.
        threads.join()
        assertEquals(1, fatalCalls.get())
    }

    @Test
    fun `a service thread that fails is restarted, and one that is interrupted ends`() {
        val begun = CountDownLatch(3)
        threads.start("failing") {
            begun.countDown()
            check(begun.count == 0L) { "fails until it was begun three times" }
            CountDownLatch(1).await()
        }
        begun.await()
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
            throw IllegalStateException("as a broken thread would")
        }
        threads.join()
        assertEquals(2, runs.get())
        assertEquals(0, fatalCalls.get())
    }
}
