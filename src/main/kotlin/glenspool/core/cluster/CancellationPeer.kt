package glenspool.core.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What this controller knows about the cancellations that another one confirmed. Times are of the clock of
 * [Cancellations], whose lock guards this class.
 *
 * @param start the start of this process, the conservative initial value of [contactedAt]
 */
internal class CancellationPeer(start: Duration) {
    /** The moment up to which all cancellations that any process of the peer confirmed are known; null if none is. */
    var coveredUpTo: Duration? = null
        private set

    /** When the last message that the peer answered with an update was sent. */
    var contactedAt = start
        private set

    /** The number of this process's last cancellation that the peer has. */
    var acknowledged = 0L
        private set

    /** Which of the peer's cancellations this process has. */
    var acknowledgement: Acknowledgement? = null
        private set

    /** Whether the peer answers, but runs a version that does not exchange cancellations. */
    var isUnsupported = false
        private set

    private var storeReadAt: Duration? = null
    private var lastReplyAt: Duration? = null

    /**
     * Other controllers' claims about the peer are valid if they concern a later moment. Null if the peer was never
     * found to run a version that does not exchange cancellations. It stays when the peer's version changes back.
     */
    private var claimsValidAfter: Duration? = null

    /** Records that all cancellations stored before [upTo] were read from the key-value store. */
    fun coverByStoreRead(upTo: Duration) {
        storeReadAt = laterOf(storeReadAt, upTo)
        coveredUpTo = laterOf(coveredUpTo, upTo)
    }

    /** Records another controller's claim that it knows everything up to [upTo], and that this one has all of that. */
    fun coverByClaim(upTo: Duration) {
        val validAfter = claimsValidAfter
        if (validAfter != null && upTo <= validAfter) return
        coveredUpTo = laterOf(coveredUpTo, upTo)
    }

    /** Records which entries of an update of the peer were added. */
    fun acknowledge(update: CancellationUpdate) {
        val before = acknowledgement?.takeIf { it.boot == update.boot }?.upTo ?: 0L
        if (update.base <= before) acknowledgement = Acknowledgement(update.boot, maxOf(before, update.upTo))
    }

    /** Records an update with which the peer replied to a message sent at [sentAt]. */
    fun recordReply(sentAt: Duration, acknowledgedNumber: Long) {
        isUnsupported = false
        contactedAt = sentAt
        lastReplyAt = sentAt
        acknowledged = acknowledgedNumber
    }

    /** Whether this process has all entries of which the update tells. */
    fun hasAllEntries(update: CancellationUpdate): Boolean {
        val known = acknowledgement ?: return false
        return update.isComplete && known.boot == update.boot && known.upTo >= update.upTo
    }

    /** Covers what the peer's processes confirmed, by a complete update in the reply to a message sent at [sentAt]. */
    fun coverByReply(update: CancellationUpdate, sentAt: Duration, now: Duration) {
        // The peer's process started at this moment at the latest, and its earlier processes had ended by then.
        val startedBy = now - update.uptime * (1 - Cancellations.DRIFT_ALLOWANCE)
        val covered = coveredUpTo
        if (covered == null || covered < startedBy) return
        val lastContact = sentAt - update.contactAge * (1 + Cancellations.DRIFT_ALLOWANCE)
        val isolationTimeout = Cancellations.ISOLATION_TIMEOUT * (1 - Cancellations.DRIFT_ALLOWANCE)
        val nothingConfirmedUntil = lastContact + isolationTimeout - COVERAGE_MARGIN
        coveredUpTo = laterOf(covered, maxOf(sentAt, nothingConfirmedUntil))
    }

    /**
     * Records at [now] that the peer runs a version that does not exchange cancellations, and confirms them without
     * waiting for anybody. It may have done so since the last reply of the version before, which promised to wait. That
     * promise no longer counts, neither here nor in what other controllers, who may not have noticed yet, claim.
     */
    fun markUnsupported(now: Duration) {
        if (isUnsupported) return
        isUnsupported = true
        claimsValidAfter = now + Cancellations.ISOLATION_TIMEOUT * (1 + Cancellations.DRIFT_ALLOWANCE)
        val proven = lastReplyAt?.let { laterOf(storeReadAt, it) } ?: storeReadAt
        val covered = coveredUpTo
        coveredUpTo = if (covered == null || proven == null) null else minOf(covered, proven)
    }

    companion object {
        private val COVERAGE_MARGIN = 50.milliseconds

        /** Returns the later of two moments, of which the first may not exist. */
        fun laterOf(known: Duration?, moment: Duration): Duration =
            if (known == null || moment > known) moment else known
    }
}
