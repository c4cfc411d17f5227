package glenspool.core.cluster

import glenspool.core.HeartbeatSource
import kotlin.time.Duration

/**
 * When a machine was heard, and when it was reached. The two differ: heartbeats may arrive from a machine that no
 * answer and no command reaches.
 */
class Reachability {
    /** When it was last heard of, by a heartbeat or by the answer to a request. Null: never. */
    var lastContactAt: Duration? = null
        private set

    /** When its worker last sent a heartbeat by itself. Null: not in this term. */
    var lastHeartbeatAt: Duration? = null
        private set

    /** When it first answered a request in this term. */
    var firstReplyAt: Duration? = null
        private set

    /** Since when requests have gone without an answer. Only an answered request ends this. */
    var unreachableSince: Duration? = null
        private set

    /** When a request was last answered. */
    var lastReachableAt: Duration? = null
        private set

    val hadContact: Boolean get() = lastContactAt != null

    /** Whether requests to it go without an answer. */
    val isUnreachable: Boolean get() = unreachableSince != null

    /** Whether anything was heard of it within [span]. */
    fun hadContactWithin(span: Duration, now: Duration): Boolean = lastContactAt.isWithin(span, now)

    /** Whether its worker sent a heartbeat by itself within [span]. */
    fun sentHeartbeatWithin(span: Duration, now: Duration): Boolean = lastHeartbeatAt.isWithin(span, now)

    /** Whether a request was answered within [span]. */
    fun wasReachableWithin(span: Duration, now: Duration): Boolean = lastReachableAt.isWithin(span, now)

    /** Whether requests have gone without an answer for more than [span]. */
    fun isUnreachableFor(span: Duration, now: Duration): Boolean =
        unreachableSince.let { it != null && now - it > span }

    private fun Duration?.isWithin(span: Duration, now: Duration) = this != null && now - this <= span

    /** A heartbeat came. */
    fun recordContact(source: HeartbeatSource, now: Duration) {
        lastContactAt = now
        when (source) {
            HeartbeatSource.WORKER -> lastHeartbeatAt = now
            HeartbeatSource.REPLY -> if (firstReplyAt == null) firstReplyAt = now
        }
    }

    /** A request was answered. */
    fun recordReachable(now: Duration) {
        lastReachableAt = now
        unreachableSince = null
    }

    /** A request that was sent at [since] had no answer. */
    fun recordNoResponse(since: Duration) {
        if (unreachableSince == null) unreachableSince = since
    }

    /** Time in which this process could hear nothing is not held against the machine. */
    fun excludeGap(gap: Duration, now: Duration) {
        lastContactAt = lastContactAt?.let { minOf(now, it + gap) }
        lastHeartbeatAt = lastHeartbeatAt?.let { minOf(now, it + gap) }
        unreachableSince = unreachableSince?.let { minOf(now, it + gap) }
    }
}
