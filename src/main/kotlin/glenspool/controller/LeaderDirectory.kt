package glenspool.controller

/** Which other node leads, as far as this one knows. */
internal class LeaderDirectory(
    private val node: String,
    private val leadership: Leadership,
    private val freshness: CacheFreshness,
    private val monitor: PeerMonitor,
) {
    /** The node that workers should send their heartbeats to; null if no other one is known to lead. */
    fun otherLeader(): String? {
        if (!freshness.isRefreshOverdue()) return recordedOther()
        val statuses = monitor.statuses
        val named = statuses.firstOrNull { it.leading }?.node ?: statuses.firstOrNull { it.fresh }?.leader
        if (named != null) return named.takeIf { it != node }
        return if (freshness.isFresh()) recordedOther() else null
    }

    private fun recordedOther(): String? = leadership.recordedLeader().takeIf { it != node }

    /** Whether this node leads, or another one is known to. */
    fun hasLeader(): Boolean = leadership.current() != null || otherLeader() != null
}
