package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Requests the other controllers' statuses. While the key-value store does not answer this node, they show which node
 * leads. Otherwise, if levels are not managed, they show which stored forms the other controllers read.
 */
internal class PeerMonitor(
    private val peers: PeerClient,
    private val memberCount: Int,
    private val freshness: CacheFreshness,
    /** Whether this monitor has to check that all controllers read sealed records. */
    private val checksSealedRecords: Boolean,
) {
    private var membersCheckedAt = TimeSource.Monotonic.markNow() - MEMBER_CHECK_INTERVAL

    /** The last statuses of the other controllers; empty while the key-value store answers. */
    @Volatile
    var statuses: List<PeerStatus> = emptyList()
        private set

    /** Whether there are other controllers and none of them answered the last round of requests. */
    @Volatile
    private var hasLostPeers = false

    /**
     * Whether sealed records may be written, because every other controller was found to run a version that reads
     * them. Never reset, since no controller is downgraded without an operator.
     */
    @Volatile
    var mayUseSealedRecords = memberCount == 0
        private set

    /**
     * Whether this node has lost the key-value store and every other controller, although users and workers may still
     * reach it. Another node may be the leader then, so this node can't decide any request that arrives here.
     */
    fun isIsolated(): Boolean = hasLostPeers && freshness.isRefreshOverdue()

    /** The body of the service thread. */
    fun run() {
        while (true) {
            if (freshness.isRefreshOverdue()) requestStatuses() else handleReachableStore()
            Thread.sleep(POLL_INTERVAL.inWholeMilliseconds)
        }
    }

    private fun requestStatuses() {
        statuses = peers.statuses()
        hasLostPeers = statuses.isEmpty() && memberCount > 0
    }

    private fun handleReachableStore() {
        statuses = emptyList()
        hasLostPeers = false
        val isCheckPending = checksSealedRecords && !mayUseSealedRecords
        if (isCheckPending && membersCheckedAt.elapsedNow() >= MEMBER_CHECK_INTERVAL) checkSealedRecords()
    }

    private fun checkSealedRecords() {
        membersCheckedAt = TimeSource.Monotonic.markNow()
        val answers = peers.statuses()
        if (answers.size < memberCount || answers.any { it.readableLevel < PeerStatus.SEALED_RECORDS }) return
        log.info("all controllers read sealed records, which may be written from now on")
        mayUseSealedRecords = true
    }

    private companion object {
        val log = loggerOf(PeerMonitor::class.java)
        val POLL_INTERVAL: Duration = 500.milliseconds
        val MEMBER_CHECK_INTERVAL: Duration = 4.seconds
    }
}
