package glenspool.core

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Detects whether this process is too slow for its incoming events, or was a short while ago. During an overload
 * workers may switch to other controllers, and answers may be processed too late. Neither a silent machine nor an
 * unanswered request is reliable evidence of a failure then.
 */
class OverloadMonitor(private val context: SchedulingContext) {
    /** How long the event that is being processed has waited in this process. */
    var backlog: Duration = Duration.ZERO
        private set
    private var overloadedUntil = context.startedAt

    val isOverloaded: Boolean get() = context.now < overloadedUntil

    /** Records the current backlog; a large one counts as an overload for a share of a lease. */
    fun backlogMeasured(backlog: Duration) {
        this.backlog = backlog
        if (backlog >= OVERLOAD_BACKLOG) overloadedUntil = context.now + context.config.lease * EFFECT_LEASE_SHARE
    }

    private companion object {
        /** A worker switches to another controller after 4 s without an answer; such a backlog is close to that. */
        val OVERLOAD_BACKLOG = 1.seconds

        /** The share of a lease for which an overload has effects; by then a worker has found its leader again. */
        const val EFFECT_LEASE_SHARE = 0.6
    }
}
