package glenspool.core.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The cancellations that a controller knows, and the moment up to which it knows *every* cancellation that was
 * confirmed to a user. No controller may renew a worker's lease beyond the time by which a cancellation that it may not
 * know must have taken effect. The moment is therefore advanced only by evidence that was requested after it:
 *
 * - A read of the key-value store, since every confirmed cancellation is stored.
 * - A controller's reply with all cancellations that it knows. The reply covers what the replying process confirmed. It
 *   also covers what earlier processes of that controller confirmed, if the moment had already reached the start of the
 *   replying process.
 * - The time since a controller's last contact with this one, which its messages state. A controller confirms no
 *   cancellation that this one does not know before it has been without contact with this one for
 *   [ISOLATION_TIMEOUT]. So the end of a controller or a network partition does not stop the moment immediately, and an
 *   outage in which no controller can confirm anything never stops it.
 *
 * [boot] is the boot ID of this process, [retention] the time for which a cancellation is kept after this process has
 * learned of it, and [now] the monotonic clock, counted from the start of the process. Thread-safe.
 */
class Cancellations(
    private val boot: String,
    members: Collection<String>,
    private val retention: Duration,
    private val now: () -> Duration,
) {
    /** A cancellation that this process learned of at [learnedAt], as the one with number [order]. */
    private class KnownCancellation(val cancellation: Cancellation, val order: Long, val learnedAt: Duration)

    private val start = now()
    private val known = LinkedHashMap<String, KnownCancellation>()
    private val peers = members.associateWith { CancellationPeer(start) }
    private var lastOrder = 0L

    /** The moment up to which all cancellations that earlier processes of this node confirmed are known. */
    private var ownCoveredUpTo: Duration? = null

    /**
     * Adds a cancellation and returns true, or returns false if it is already known. How long ago it was requested does
     * not matter, since a transaction may be carried out minutes late, and the user is told only after that.
     */
    @Synchronized
    fun add(cancellation: Cancellation): Boolean {
        if (cancellation.job in known) return false
        removeExpired()
        known[cancellation.job] = KnownCancellation(cancellation, ++lastOrder, now())
        return true
    }

    /** Removes expired cancellations. The known ones are in the order in which this process learned of them. */
    private fun removeExpired() {
        val oldestFirst = known.values.iterator()
        while (oldestFirst.hasNext() && now() - oldestFirst.next().learnedAt > retention) oldestFirst.remove()
    }

    /** Whether the job is known to be cancelled. */
    @Synchronized
    fun contains(job: String): Boolean = job in known

    /** How long this process has known of the job's cancellation; null if it knows of none. */
    @Synchronized
    fun ageOf(job: String): Duration? = known[job]?.let { now() - it.learnedAt }

    /** All known cancellations, oldest first. */
    @Synchronized
    fun all(): List<Cancellation> = known.values.map { it.cancellation }

    /** Records that the key-value store answered a read of its current state, which was sent at [sentAt]. */
    @Synchronized
    fun recordStoreRead(sentAt: Duration) {
        ownCoveredUpTo = CancellationPeer.laterOf(ownCoveredUpTo, sentAt)
        peers.values.forEach { it.coverByStoreRead(sentAt) }
    }

    /** Records another controller's claim to know everything up to [upTo], all of which this one has by now. */
    private fun recordClaim(upTo: Duration) {
        ownCoveredUpTo = CancellationPeer.laterOf(ownCoveredUpTo, upTo)
        peers.values.forEach { it.coverByClaim(upTo) }
    }

    /**
     * The moment up to which this controller knows every confirmed cancellation; null if there is no such moment. It
     * may lie in the future, since until then no controller confirms a cancellation that this one does not know.
     */
    @Synchronized
    fun completeUpTo(): Duration? {
        val own = ownCoveredUpTo ?: return null
        // This process knows what it confirmed itself, and earlier processes of this node ended before it started.
        var moment = if (own >= start) Duration.INFINITE else own
        for (peer in peers.values) moment = minOf(moment, peer.coveredUpTo ?: return null)
        return moment
    }

    /** The update to send to the controller [name] now. */
    @Synchronized
    fun updateFor(name: String): CancellationUpdate {
        val peer = peers.getValue(name)
        return updateAfter(peer, peer.acknowledged)
    }

    /**
     * Applies an update that the controller [name] sent unrequested, and returns the reply to it; null if [name] is not
     * a member.
     */
    @Synchronized
    fun reply(name: String, update: CancellationUpdate): CancellationReply? {
        val peer = peers[name] ?: return null
        val learned = apply(peer, update)
        return CancellationReply(updateAfter(peer, acknowledgedBy(update)), learned)
    }

    /** The number of the last cancellation of this process that the sender has. */
    private fun acknowledgedBy(update: CancellationUpdate): Long =
        update.acknowledgement?.takeIf { it.boot == boot }?.upTo ?: 0L

    private fun updateAfter(peer: CancellationPeer, base: Long): CancellationUpdate {
        val missing = known.values.filter { it.order > base }
        val sent = missing.take(MAX_ENTRIES)
        val isComplete = sent.size == missing.size
        return CancellationUpdate(
            boot = boot,
            uptime = now() - start,
            entries = sent.map { it.cancellation },
            base = base,
            upTo = if (isComplete) lastOrder else sent.last().order,
            isComplete = isComplete,
            // A moment in the future is valid only for this controller, so the age is not negative.
            completeAge = completeUpTo()?.let { maxOf(Duration.ZERO, now() - it) },
            contactAge = now() - peer.contactedAt,
            acknowledgement = peer.acknowledgement,
        )
    }

    /**
     * Adds the entries of an update, which are valid at any time, and acknowledges them. Nothing else in an unrequested
     * message may be used, since the message may be minutes old.
     */
    private fun apply(peer: CancellationPeer, update: CancellationUpdate): List<Cancellation> {
        val learned = update.entries.filter { add(it) }
        peer.acknowledge(update)
        return learned
    }

    /**
     * Applies [update], with which the controller [name] replied to a message sent at [sentAt]. Returns the
     * cancellations that were not known before.
     */
    @Synchronized
    fun applyReply(name: String, update: CancellationUpdate, sentAt: Duration): List<Cancellation> {
        val peer = peers.getValue(name)
        peer.recordReply(sentAt, acknowledgedBy(update))
        val learned = apply(peer, update)
        if (peer.hasAllEntries(update)) {
            update.completeAge?.let { recordClaim(sentAt - it * (1 + DRIFT_ALLOWANCE)) }
            peer.coverByReply(update, sentAt, now())
        }
        return learned
    }

    /**
     * Records that the controller [name] runs a version that does not exchange cancellations. Confirmations can't wait
     * for it, and it is not known which cancellations it confirms.
     */
    @Synchronized
    fun markUnsupported(name: String) {
        peers.getValue(name).markUnsupported(now())
    }

    /** Whether the controller [name] lacks a cancellation that this one knows. */
    @Synchronized
    fun needsUpdate(name: String): Boolean =
        peers.getValue(name).let { !it.isUnsupported && it.acknowledged < lastOrder }

    /**
     * Whether the cancellation of the job may be confirmed to a user. Every other controller must know it, or must have
     * been without contact for [ISOLATION_TIMEOUT], in which it detects its isolation.
     */
    @Synchronized
    fun mayConfirm(job: String): Boolean {
        // A cancellation past its retention time was sent to every controller that could receive it.
        val order = known[job]?.order ?: return true
        return peers.values.all { peer ->
            val isIsolated = now() - peer.contactedAt >= ISOLATION_TIMEOUT
            peer.isUnsupported || peer.acknowledged >= order || isIsolated
        }
    }

    companion object {
        /** Longer than a controller takes to restart, so that a restart leaves no confirmed cancellation unknown. */
        val ISOLATION_TIMEOUT = 15.seconds

        /** Twice the relative drift that two clocks may have. */
        internal const val DRIFT_ALLOWANCE = 0.001

        /** The largest number of cancellations in one message. */
        private const val MAX_ENTRIES = 400
    }
}
