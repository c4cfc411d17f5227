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
        val waiting = ArrayDeque((1..FLEET).map { "m$it" })
        redirectOnce(waiting)
        val redirectedAtOnce = FLEET - waiting.size
        assertTrue(redirectedAtOnce in 20..250, "$redirectedAtOnce redirected within the first second")
        while (waiting.isNotEmpty()) {
            now += 1.seconds
            redirectOnce(waiting)
        }
        assertTrue(now < 12.seconds, "all redirected after $now")
    }

    /** Each waiting machine sends one heartbeat; those that are not redirected wait on. */
    private fun redirectOnce(waiting: ArrayDeque<String>) {
        repeat(waiting.size) {
            val machine = waiting.removeFirst()
            if (!limiter.mayRedirect(machine)) waiting.addLast(machine)
        }
    }

    private companion object {
        const val FLEET = 1600
    }
}
