package glenspool.api

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how fast a node that has just started redirects workers to the leader. When all nodes have just started, all
 * workers come within a second, and a leader that has yet to warm up would answer none of them in time. The node
 * spreads its redirects over the first [lease] and renews the other workers' leases meanwhile.
 *
 * [elapsed] is the time since the node's start.
 */
class RedirectLimiter(private val lease: Duration, private val elapsed: () -> Duration) {
    /** Workers that have come here since the start: as many more are to be expected elsewhere. */
    private val seen = HashSet<String>()

    /** Start of the second that [redirected] counts in. */
    private var secondStart = Duration.ZERO
    private var redirected = 0

    /** Whether the worker may be redirected now. */
    @Synchronized
    fun mayRedirect(machine: String): Boolean {
        val now = elapsed()
        if (now > lease) {
            seen.clear()
            return true
        }
        seen.add(machine)
        if (now - secondStart >= 1.seconds) {
            secondStart = now
            redirected = 0
        }
        return redirected++ < maxOf(MIN_PER_SECOND, seen.size / LARGE_FLEET_SECONDS)
    }

    private companion object {
        const val MIN_PER_SECOND = 20

        /**
         * A large fleet is redirected within about so many seconds, well inside a lease: by then the leader must have
         * received heartbeats of all machines.
         */
        const val LARGE_FLEET_SECONDS = 8
    }
}
