package glenspool.api

import glenspool.config.WorkerSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** For how long a node without a leader keeps workers' leases, in simulated time. */
class LeaseKeeperTest {
    private var now = Duration.ZERO

    private fun keeper(lease: Duration = 24.seconds) =
        LeaseKeeper(
            WorkerSettings(
                4.seconds, lease, 30.seconds,
                8
                    .seconds,
                49.seconds,
            ),
            2,
        ) { now }

    @Test
    fun `a node that lost everything but its workers lets each go once, and keeps one that comes back`() {
        val k = keeper()
        k.served("m1")
        k.served("m2")
        assertFalse(k.renewsLease("m1", complete = now, isolated = true))
        assertFalse(k.renewsLease("m2", complete = now, isolated = true))
        now += 11.seconds
        // It found nobody else: its tasks must not die.
        assertTrue(k.renewsLease("m1", complete = now, isolated = true))
        k.served("m1")
        now += 13.seconds
        k.served("m1")
        // A leader may be there by now.
        assertFalse(k.renewsLease("m1", complete = now, isolated = true))
    }

    @Test
    fun `the worst round of a worker that was let go ends within its lease`() {
        val k = keeper()
        var answered = Duration.ZERO
        var longest = Duration.ZERO
        // The other two nodes never answer: 4 s each and 1 s between.
        while (now < 300.seconds) {
            now += 5.seconds
            if (k.renewsLease("m1", complete = now, isolated = true)) {
                k.served("m1")
                longest = maxOf(longest, now - answered)
                answered = now
            } else {
                now += 11.seconds
            }
        }
        assertTrue(longest in 11.seconds..24.seconds, "$longest without an answer")
    }

    @Test
    fun `a worker that found nobody elsewhere is kept at once`() {
        val k = keeper()
        // Cut off with its zone it has waited for two nodes in vain already; another vain round would outlast its
        // lease.
        assertTrue(k.renewsLease("m1", complete = now, isolated = true))
        k.served("m1")
        now += 4.seconds
        assertFalse(k.renewsLease("m1", complete = now, isolated = true))
        now += 11.seconds
        assertTrue(k.renewsLease("m1", complete = now, isolated = true))
    }

    @Test
    fun `in an outage that others see too every lease is kept`() {
        val k = keeper()
        repeat(50) {
            now += 4.seconds
            assertTrue(k.renewsLease("m1", complete = now, isolated = false))
        }
    }

    @Test
    fun `workers are not let go where their lease would not outlast the way round`() {
        val k = keeper(lease = 12.seconds)
        assertEquals(List(9) { true }, List(9) { k.renewsLease("m1", complete = now, isolated = true) })
    }

    @Test
    fun `a node that knows nothing of cancellations keeps a lease only where one that is as old as the lease has time for another`() {
        // 49 s for a cancellation, two leases of 24 s: none is left.
        val k = keeper()
        assertFalse(k.renewsLease("m1", complete = null, isolated = false))
        assertTrue(k.renewsLease("m1", complete = now, isolated = false))
        val short = keeper(lease = 14.seconds)
        now = 17.seconds
        assertTrue(short.renewsLease("m1", complete = null, isolated = false))
        now = 18.seconds
        assertFalse(short.renewsLease("m1", complete = null, isolated = false))
    }

    @Test
    fun `no lease that is kept outlasts the time of a cancellation that this node may not know of`() {
        val k = keeper()
        val complete = 100.seconds
        now = 123.seconds
        assertTrue(k.renewsLease("m1", complete, isolated = false))
        while (now < 200.seconds) {
            now += 100.milliseconds
            if (k.renewsLease("m1", complete, isolated = false)) assertTrue(now + 24.seconds < complete + 49.seconds, "kept at $now")
        }
        assertFalse(k.renewsLease("m1", complete, isolated = false))
        // Up to when nothing can have been confirmed unheard may lie ahead.
        assertTrue(k.renewsLease("m1", now + 5.seconds, isolated = false))
    }

    @Test
    fun `a young node sends a large fleet on by and by, and all of it within a lease`() {
        val k = keeper()
        val waiting = ArrayDeque((1..1600).map { "m$it" })
        val first = List(waiting.size) { waiting.removeFirst().also { m -> if (!k.mayRedirect(m)) waiting.addLast(m) } }
        assertTrue(first.size - waiting.size in 20..250, "${first.size - waiting.size} sent on within the first second")
        while (waiting.isNotEmpty()) {
            now += 1.seconds
            repeat(waiting.size) { waiting.removeFirst().let { m -> if (!k.mayRedirect(m)) waiting.addLast(m) } }
        }
        assertTrue(now < 12.seconds, "all sent on after $now")
    }
}
