package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Asks the other controllers for their status while the key-value store does not answer this node, and otherwise,
 * where levels are not managed, which stored forms they read.
 */
internal class PeerMonitor(
    private val peers: PeerClient,
    private val memberCount: Int,
    private val freshness: CacheFreshness,
    /** Whether this monitor has to find out that all controllers read sealed records. */
    private val checksSealedRecords: Boolean,
) {
    private var membersAskedAt = TimeSource.Monotonic.markNow() - MEMBERS_PERIOD

    /** What the others answered last; empty while the key-value store answers. */
    @Volatile
    var statuses: List<PeerStatus> = emptyList()
        private set

    /** Whether all other controllers were asked last and none answered. */
    @Volatile
    private var hasLostPeers = false

    /**
     * Whether sealed records may be written: every other controller was found to be of a version that reads them. It
     * stays so: no controller is downgraded without an operator.
     */
    @Volatile
    var mayUseSealedRecords = memberCount == 0
        private set

    /**
     * Whether this node has lost the key-value store and every other controller, though users and workers may still
     * reach it. Another node may lead then, and no request that arrives here can be decided here.
     */
    fun isIsolated(): Boolean = hasLostPeers && freshness.isRefreshOverdue()

    /** The service thread. */
    fun run() {
        while (true) {
            if (freshness.isRefreshOverdue()) askForLeader() else storeAnswers()
            Thread.sleep(PERIOD.inWholeMilliseconds)
        }
    }

    private fun askForLeader() {
        statuses = peers.statuses()
        hasLostPeers = statuses.isEmpty() && memberCount > 0
    }

    private fun storeAnswers() {
        statuses = emptyList()
        hasLostPeers = false
        val isCheckOpen = checksSealedRecords && !mayUseSealedRecords
        if (isCheckOpen && membersAskedAt.elapsedNow() >= MEMBERS_PERIOD) checkSealedRecords()
    }

    private fun checkSealedRecords() {
        membersAskedAt = TimeSource.Monotonic.markNow()
        val answers = peers.statuses()
        if (answers.size < memberCount || answers.any { it.reads < PeerStatus.SEALED }) return
        log.info("all controllers read sealed records")
        mayUseSealedRecords = true
    }

    private companion object {
        val log = loggerOf(PeerMonitor::class.java)
        val PERIOD: Duration = 500.milliseconds
        val MEMBERS_PERIOD: Duration = 4.seconds
    }
}
