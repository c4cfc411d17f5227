package glenspool.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tells whether this process is too slow for what comes in, or was a short while ago. Its workers may have turned to
 * other controllers meanwhile, and answers may have come too late: neither silence nor a request without an answer says
 * much then.
 */
class OverloadMonitor(private val context: SchedulingContext) {
    /** How long what is handled now has waited in this process. */
    var backlog: Duration = Duration.ZERO
        private set
    private var overloadedUntil = context.startedAt

    val isOverloaded: Boolean get() = context.now < overloadedUntil

    /** Records how far this process is behind. */
    fun backlogMeasured(backlog: Duration) {
        this.backlog = backlog
        if (backlog >= OVERLOADED_BACKLOG) overloadedUntil = context.now + context.config.lease * LEASE_SHARE
    }

    private companion object {
        /** A worker turns to another controller after 4 s without an answer; such a backlog is not far from that. */
        val OVERLOADED_BACKLOG = 1.seconds

        /** The share of a lease for which the consequences last: by then a worker has found its leader again. */
        const val LEASE_SHARE = 0.6
    }
}
