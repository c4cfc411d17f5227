package glenspool.core.cluster

import glenspool.core.HeartbeatSource
import kotlin.time.Duration

/**
 * When a machine was in contact, and when it was reachable. The two differ, since heartbeats may arrive from a machine
 * that neither replies nor commands of this node reach.
 */
class Reachability {
    /** When a heartbeat or the reply to a request was last received; null if never. */
    var lastContactAt: Duration? = null
        private set

    /** When a heartbeat that its worker sent without a request was last received; null if not in this term. */
    var lastHeartbeatAt: Duration? = null
        private set

    /**
     * Since when it has only answered requests: the time of the first reply in this term after the last heartbeat that
     * its worker sent without a request. Null if there was no reply since that heartbeat.
     */
    var onlyRepliesSince: Duration? = null
        private set

    /** Since when requests have been unanswered; null if they are not. Only an answered request resets it. */
    var unreachableSince: Duration? = null
        private set

    /** When a request was last answered. */
    var lastReachableAt: Duration? = null
        private set

    val hadContact: Boolean get() = lastContactAt != null

    /** Whether requests to it are unanswered. */
    val isUnreachable: Boolean get() = unreachableSince != null

    /** Whether it was in contact within [span]. */
    fun hadContactWithin(span: Duration, now: Duration): Boolean = lastContactAt.isWithin(span, now)

    /** Whether a heartbeat that its worker sent without a request was received within [span]. */
    fun sentHeartbeatWithin(span: Duration, now: Duration): Boolean = lastHeartbeatAt.isWithin(span, now)

    /** Whether its worker answers requests and may still send a heartbeat, for which it has [span] after a reply. */
    fun awaitsHeartbeat(span: Duration, now: Duration): Boolean = onlyRepliesSince.isWithin(span, now)

    /** Whether a request was answered within [span]. */
    fun wasReachableWithin(span: Duration, now: Duration): Boolean = lastReachableAt.isWithin(span, now)

    /** Whether requests have been unanswered for more than [span]. */
    fun isUnreachableFor(span: Duration, now: Duration): Boolean =
        unreachableSince.let { it != null && now - it > span }

    private fun Duration?.isWithin(span: Duration, now: Duration) = this != null && now - this <= span

    /** Records a received heartbeat. */
    fun recordContact(source: HeartbeatSource, now: Duration) {
        lastContactAt = now
        when (source) {
            HeartbeatSource.WORKER -> {
                lastHeartbeatAt = now
                onlyRepliesSince = null
            }
            HeartbeatSource.REPLY -> if (onlyRepliesSince == null) onlyRepliesSince = now
        }
    }

    /** Records that a request was answered. */
    fun recordReachable(now: Duration) {
        lastReachableAt = now
        unreachableSince = null
    }

    /** Records that a request sent at [since] was not answered. */
    fun recordNoResponse(since: Duration) {
        if (unreachableSince == null) unreachableSince = since
    }

    /**
     * Excludes a [gap] in which this process could receive nothing from the time for which the machine was silent or
     * unreachable.
     */
    fun excludeGap(gap: Duration, now: Duration) {
        lastContactAt = lastContactAt?.let { minOf(now, it + gap) }
        lastHeartbeatAt = lastHeartbeatAt?.let { minOf(now, it + gap) }
        onlyRepliesSince = onlyRepliesSince?.let { minOf(now, it + gap) }
        unreachableSince = unreachableSince?.let { minOf(now, it + gap) }
    }
}
