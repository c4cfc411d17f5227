package glenspool.api

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Limits how fast a node that has just started redirects workers to the leader. When all nodes have just started, all
 * workers send heartbeats within a second, and a leader that has not warmed up yet would answer none of them in time.
 * The node therefore spreads its redirects over the first [lease] and renews the other workers' leases meanwhile.
 *
 * @property uptime the time since the node's start
 */
class RedirectLimiter(private val lease: Duration, private val uptime: () -> Duration) {
    /** Workers that have sent heartbeats to this node since its start. As many more are expected at other nodes. */
    private val seen = HashSet<String>()

    /** Start of the one-second window in which [redirectCount] counts. */
    private var windowStart = Duration.ZERO
    private var redirectCount = 0

    /** Returns whether the worker may be redirected now. */
    @Synchronized
    fun mayRedirect(machine: String): Boolean {
        val now = uptime()
        if (now > lease) {
            seen.clear()
            return true
        }
        seen.add(machine)
        if (now - windowStart >= 1.seconds) {
            windowStart = now
            redirectCount = 0
        }
        return redirectCount++ < maxOf(MIN_REDIRECTS_PER_SECOND, seen.size / LARGE_FLEET_REDIRECT_SECONDS)
    }

    private companion object {
        const val MIN_REDIRECTS_PER_SECOND = 20

        /**
         * The approximate number of seconds in which a large fleet is redirected. It is well below a lease, within
         * which the leader must have received heartbeats of all machines.
         */
        const val LARGE_FLEET_REDIRECT_SECONDS = 8
    }
}
