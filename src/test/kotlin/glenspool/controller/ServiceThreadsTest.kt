package glenspool.controller

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** A node must not live on with one of its duties dead: least of all a leader without its core. */
class ServiceThreadsTest {
    @Test
    fun `a duty that can't go on ends the process`() {
        val ended = AtomicInteger()
        val duties = ServiceThreads({ ended.incrementAndGet() }, Duration.ZERO)
        duties.start("broken") { throw NoClassDefFoundError("as when a class can't be loaded") }
        // Joined, not waited for: a duty that only died would be seen, too.
        duties.join()
        assertEquals(1, ended.get())
    }

    @Test
    fun `a duty that fails is begun again, and one that is interrupted ends`() {
        val ended = AtomicInteger()
        val begun = CountDownLatch(3)
        val duties = ServiceThreads({ ended.incrementAndGet() }, Duration.ZERO)
        duties.start("failing") {
            begun.countDown()
            check(begun.count == 0L) { "fails until it was begun three times" }
            CountDownLatch(1).await()
        }
        begun.await()
        duties.close()
        duties.join()
        assertEquals(0, ended.get())
    }

    @Test
    fun `a duty that is to run once is over when it returns or fails`() {
        val runs = AtomicInteger()
        val ended = AtomicInteger()
        val duties = ServiceThreads({ ended.incrementAndGet() }, Duration.ZERO)
        duties.startOnce("returning") { runs.incrementAndGet() }
        duties.startOnce("failing") {
            runs.incrementAndGet()
            throw IllegalStateException("as a broken duty would")
        }
        duties.join()
        assertEquals(2, runs.get())
        assertEquals(0, ended.get())
    }
}
