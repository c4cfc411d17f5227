package glenspool.api

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How fast a node that has just started redirects workers, in simulated time. */
class RedirectLimiterTest {
    private var now = Duration.ZERO
    private val limiter = RedirectLimiter(lease = 24.seconds) { now }

    @Test
    fun `a node that has just started spreads the redirects of a large fleet over less than half a lease`() {
        val waiting = ArrayDeque((1..FLEET_SIZE).map { "m$it" })
        redirectOnce(waiting)
        val redirectedInFirstSecond = FLEET_SIZE - waiting.size
        assertTrue(redirectedInFirstSecond in 20..250, "$redirectedInFirstSecond redirected within the first second")
        while (waiting.isNotEmpty()) {
            now += 1.seconds
            redirectOnce(waiting)
        }
        assertTrue(now < 12.seconds, "all redirected after $now")
    }

    /** Each machine in [waiting] sends one heartbeat; those that are not redirected stay in [waiting]. */
    private fun redirectOnce(waiting: ArrayDeque<String>) {
        repeat(waiting.size) {
            val machine = waiting.removeFirst()
            if (!limiter.mayRedirect(machine)) waiting.addLast(machine)
        }
    }

    private companion object {
        const val FLEET_SIZE = 1600
    }
}
