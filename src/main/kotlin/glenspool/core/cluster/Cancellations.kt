package glenspool.core.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The cancellations that a controller knows, and up to which moment it knows *every* one that a user was told of. No
 * controller may keep a worker's lease beyond the time by which one that it may not know of has to have taken effect;
 * so the moment is moved on only by evidence, and only by such as was asked for after it:
 *
 * - The key-value store was read: every confirmed cancellation is stored.
 * - A controller was asked and sent all it knows. That holds for what this process of it confirmed, and for what
 *   earlier ones did, as far as the moment had come when that process began.
 * - A controller confirms nothing that this one does not know, until it has not reached this one for
 *   [ISOLATION_TIMEOUT]. It says how long ago it did. So a controller that ends, or a network partition, does not stop
 *   the moment at once, and an outage in which nobody can confirm anything never does.
 *
 * [boot] names this process; [keep]: how long a cancellation is kept; [now]: the steady clock, counted from the start
 * of the process; [wallTime]: the time of day. Any thread may call it.
 */
class Cancellations(
    private val boot: String,
    members: Collection<String>,
    private val keep: Duration,
    private val now: () -> Duration,
    private val wallTime: () -> Duration,
) {
    /** [order]: its number in the order in which this process learnt them. */
    private class Known(val cancellation: Cancellation, val order: Long)

    /** What is known of another controller. */
    private class Member(start: Duration) {
        /** Up to which moment everything is known that the member, in any of its processes, confirmed. */
        var coveredUpTo: Duration? = null

        /**
         * When the last message was sent that the member answered; at first this process's start, which is on the safe
         * side.
         */
        var contactedAt = start

        /** The number of the last cancellation that the member has of ours. */
        var acknowledged = 0L

        /** What we have of the member's. */
        var acknowledgement: Acknowledgement? = null

        /** It answers, but is of a version that does not exchange cancellations. */
        var isUnsupported = false
    }

    private val start = now()
    private val known = LinkedHashMap<String, Known>()
    private val members = members.associateWith { Member(start) }
    private var lastOrder = 0L

    /** Up to which moment everything is known that earlier processes of this node confirmed. */
    private var ownCoveredUpTo: Duration? = null

    /** False: it is known already. */
    @Synchronized
    fun add(cancellation: Cancellation): Boolean {
        if (cancellation.job in known || isExpired(cancellation)) return false
        removeExpired()
        known[cancellation.job] = Known(cancellation, ++lastOrder)
        return true
    }

    private fun isExpired(cancellation: Cancellation) = wallTime() - cancellation.at > keep

    /** They are in about the order in which they were stored; one that stays a little longer does no harm. */
    private fun removeExpired() {
        val oldestFirst = known.values.iterator()
        while (oldestFirst.hasNext() && isExpired(oldestFirst.next().cancellation)) oldestFirst.remove()
    }

    /** Whether the job is known to be cancelled. */
    @Synchronized
    fun contains(job: String): Boolean = job in known

    /** All that are known, oldest first. */
    @Synchronized
    fun all(): List<Cancellation> = known.values.map { it.cancellation }

    /** The key-value store answered a read of the present state that was sent at [sent]. */
    @Synchronized
    fun recordStoreRead(sent: Duration) = coverAll(sent)

    private fun coverAll(upTo: Duration) {
        ownCoveredUpTo = later(ownCoveredUpTo, upTo)
        for (member in members.values) member.coveredUpTo = later(member.coveredUpTo, upTo)
    }

    private fun later(known: Duration?, moment: Duration) = if (known == null || moment > known) moment else known

    /**
     * The moment up to which this controller knows every confirmed cancellation; null: it can't say. It may lie ahead:
     * until then nobody confirms one that this controller does not know.
     */
    @Synchronized
    fun completeUpTo(): Duration? {
        val own = ownCoveredUpTo ?: return null
        // What this process confirms it knows; earlier ones ended before it began.
        var moment = if (own >= start) Duration.INFINITE else own
        for (member in members.values) moment = minOf(moment, member.coveredUpTo ?: return null)
        return moment
    }

    /** What has to be sent to [name] now. */
    @Synchronized
    fun updateFor(name: String): CancellationUpdate {
        val member = members.getValue(name)
        return updateAfter(member, member.acknowledged)
    }

    /** Applies what [name] sends by itself, and answers it. Null: it is no member. */
    @Synchronized
    fun reply(name: String, update: CancellationUpdate): CancellationReply? {
        val member = members[name] ?: return null
        val learnt = apply(member, update)
        return CancellationReply(updateAfter(member, acknowledgedBy(update)), learnt)
    }

    /** The number of the last cancellation of this process that the sender has. */
    private fun acknowledgedBy(update: CancellationUpdate): Long =
        update.acknowledgement?.takeIf { it.boot == boot }?.upTo ?: 0L

    private fun updateAfter(member: Member, base: Long): CancellationUpdate {
        val missing = known.values.filter { it.order > base }
        val sent = missing.take(MAX_ENTRIES)
        val isWhole = sent.size == missing.size
        return CancellationUpdate(
            boot = boot,
            uptime = now() - start,
            entries = sent.map { it.cancellation },
            base = base,
            upTo = if (isWhole) lastOrder else sent.last().order,
            whole = isWhole,
            // A moment that lies ahead holds for this controller alone.
            completeAge = completeUpTo()?.let { maxOf(Duration.ZERO, now() - it) },
            contactAge = now() - member.contactedAt,
            acknowledgement = member.acknowledgement,
        )
    }

    /**
     * Entries are true whenever they come; nothing else in a message that nobody asked for counts, since it may be
     * minutes old.
     */
    private fun apply(member: Member, update: CancellationUpdate): List<Cancellation> {
        val learnt = update.entries.filter { add(it) }
        val before = member.acknowledgement?.takeIf { it.boot == update.boot }?.upTo ?: 0L
        if (update.base <= before) member.acknowledgement = Acknowledgement(update.boot, maxOf(before, update.upTo))
        return learnt
    }

    /** [name] answered with [update] what was sent to it at [asked]. What was not known before is returned. */
    @Synchronized
    fun applyReply(name: String, update: CancellationUpdate, asked: Duration): List<Cancellation> {
        val member = members.getValue(name)
        member.isUnsupported = false
        member.contactedAt = asked
        member.acknowledged = acknowledgedBy(update)
        val learnt = apply(member, update)
        if (hasEverything(member, update)) cover(member, update, asked)
        return learnt
    }

    private fun hasEverything(member: Member, update: CancellationUpdate): Boolean {
        val acknowledgement = member.acknowledgement ?: return false
        return update.whole && acknowledgement.boot == update.boot && acknowledgement.upTo >= update.upTo
    }

    private fun cover(member: Member, update: CancellationUpdate, asked: Duration) {
        update.completeAge?.let { coverAll(asked - it * (1 + DRIFT)) }
        // It began at this moment at the latest, and its earlier processes had ended.
        val began = now() - update.uptime * (1 - DRIFT)
        val coveredUpTo = member.coveredUpTo
        if (coveredUpTo == null || coveredUpTo < began) return
        val lastContact = asked - update.contactAge * (1 + DRIFT)
        val nothingConfirmedUntil = lastContact + ISOLATION_TIMEOUT * (1 - DRIFT) - MARGIN
        member.coveredUpTo = later(coveredUpTo, maxOf(asked, nothingConfirmedUntil))
    }

    /**
     * [name] is of a version that does not exchange cancellations; it can't be waited for, and nothing is known of what
     * it confirms.
     */
    @Synchronized
    fun markUnsupported(name: String) {
        members.getValue(name).isUnsupported = true
    }

    /** Whether [name] lacks something that this controller knows. */
    @Synchronized
    fun needsUpdate(name: String): Boolean =
        members.getValue(name).let { !it.isUnsupported && it.acknowledged < lastOrder }

    /**
     * Whether a user may be told that the job is cancelled: every other controller knows it, or has had
     * [ISOLATION_TIMEOUT] to find out that it hears nothing.
     */
    @Synchronized
    fun mayConfirm(job: String): Boolean {
        // One that was stored so long ago that it is not kept any more was sent to all that could receive it.
        val order = known[job]?.order ?: return true
        return members.values.all { member ->
            val isIsolated = now() - member.contactedAt >= ISOLATION_TIMEOUT
            member.isUnsupported || member.acknowledged >= order || isIsolated
        }
    }

    companion object {
        /** Longer than a controller takes to be back, so that one that ends and returns leaves nothing unknown. */
        val ISOLATION_TIMEOUT = 15.seconds
        private val MARGIN = 50.milliseconds

        /** Twice what two clocks may drift apart. */
        private const val DRIFT = 0.001

        /** The largest number of cancellations in one message. */
        private const val MAX_ENTRIES = 400
    }
}
