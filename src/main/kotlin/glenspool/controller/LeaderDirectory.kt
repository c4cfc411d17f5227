package glenspool.controller

/** Determines which other node leads, from the store cache or, while that is outdated, from the peers' statuses. */
internal class LeaderDirectory(
    private val node: String,
    private val leadership: Leadership,
    private val freshness: CacheFreshness,
    private val monitor: PeerMonitor,
) {
    /** Returns the node that workers should send their heartbeats to, or null if no other node is known to lead. */
    fun otherLeader(): String? {
        if (!freshness.isRefreshOverdue()) return recordedOtherLeader()
        val statuses = monitor.statuses
        val reportedLeader =
            statuses.firstOrNull { it.leading }?.node ?: statuses.firstOrNull { it.isCacheFresh }?.leader
        if (reportedLeader != null) return reportedLeader.takeIf { it != node }
        return if (freshness.isFresh()) recordedOtherLeader() else null
    }

    private fun recordedOtherLeader(): String? = leadership.recordedLeader().takeIf { it != node }

    /** Whether this node leads or another node is known to lead. */
    fun hasLeader(): Boolean = leadership.current() != null || otherLeader() != null
}
