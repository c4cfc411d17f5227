package glenspool.core.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A stored cancellation. [at]: when it was stored, by the time of day; [version]: of its key. */
data class Cancellation(val job: String, val at: Duration, val version: Long)

/**
 * Which of a process's cancellations another one has: those up to [upTo] in the order in which process [boot] learnt
 * them.
 */
data class Acknowledgement(val boot: String, val upTo: Long)

/** What one node tells another. All spans count back from the moment at which it was made. */
data class CancellationUpdate(
    /** The process that tells; a node that is back is another one. */
    val boot: String,
    val uptime: Duration,
    /** Those that the teller learnt after [base], up to [upTo]. */
    val entries: List<Cancellation>,
    val base: Long,
    val upTo: Long,
    /** Whether the teller knows no more than that. */
    val whole: Boolean,
    /** How long ago the moment is up to which the teller knows all confirmed cancellations; null: it can't say. */
    val completeAge: Duration?,
    /** How long ago the teller sent what the hearer answered last. */
    val contactAge: Duration,
    /** What the teller has of the hearer's. */
    val acknowledgement: Acknowledgement?,
)

/**
 * The cancellations that a node knows, and up to which moment it knows *every* one that a user was told of. No node may
 * keep a worker's lease beyond the time by which one that it may not know of has to have taken effect; so the moment is
 * moved on only by evidence, and only by such as was asked for after it:
 *
 * - The state service was read: every confirmed cancellation is stored.
 * - A node was asked and told all it knows. That holds for what this process of it confirmed, and for what earlier ones
 *   did, as far as the moment had come when that process began.
 * - A node confirms nothing that this one has not heard of, until it has not reached this one for [ALONE]. It says how
 *   long ago it did. So a node that ends, or a cut, does not stop the moment at once, and an outage in which nobody can
 *   confirm anything never does.
 *
 * [now] is the steady clock, counted from the start of the process; [wall] the time of day.
 */
class Cancellations(
    private val boot: String,
    members: Collection<String>,
    private val keep: Duration,
    private val now: () -> Duration,
    private val wall: () -> Duration,
) {
    private class Known(val it: Cancellation, val order: Long)

    private class Member(start: Duration) {
        /** Up to which moment all is known that the member, in any of its processes, confirmed. */
        var covered: Duration? = null

        /**
         * When the last message was sent that the member answered; at first this process's start, which is on the safe
         * side.
         */
        var contact = start

        /** What the member has of ours. */
        var acknowledged = 0L
        var acknowledgement: Acknowledgement? = null

        /** It answers, but is of a version that knows nothing of this. */
        var old = false
    }

    private val start = now()
    private val known = LinkedHashMap<String, Known>()
    private val members = members.associateWith { Member(start) }
    private var last = 0L

    /** The same for earlier processes of this node. */
    private var ownCovered: Duration? = null

    /** False: it is known already. */
    @Synchronized
    fun add(c: Cancellation): Boolean {
        if (c.job in known || wall() - c.at > keep) return false
        prune()
        known[c.job] = Known(c, ++last)
        return true
    }

    private fun prune() {
        // Learnt in about the order in which they were stored; one that stays a little longer does no harm.
        val each = known.values.iterator()
        while (each.hasNext() && wall() - each.next().it.at > keep) each.remove()
    }

    @Synchronized
    fun knows(job: String): Boolean = job in known

    @Synchronized
    fun all(): List<Cancellation> = known.values.map { it.it }

    /** The state service answered a read of the present state that was sent at [sent]. */
    @Synchronized
    fun stateRead(sent: Duration) = coveredForAll(sent)

    private fun coveredForAll(moment: Duration) {
        ownCovered = later(ownCovered, moment)
        for (m in members.values) m.covered = later(m.covered, moment)
    }

    private fun later(a: Duration?, b: Duration) = if (a == null || b > a) b else a

    /**
     * The moment up to which this node knows every confirmed cancellation; null: it can't say. It may lie ahead: until
     * then nobody confirms one that this node has not heard of.
     */
    @Synchronized
    fun complete(): Duration? {
        val own = ownCovered ?: return null
        // What this process confirms it knows; earlier ones ended before it began.
        var moment = if (own >= start) Duration.INFINITE else own
        for (m in members.values) moment = minOf(moment, m.covered ?: return null)
        return moment
    }

    /** What [member] has to be told now. */
    @Synchronized
    fun updateFor(member: String): CancellationUpdate =
        updateAfter(members.getValue(member), members.getValue(member).acknowledged)

    /** Takes in what [member] says by itself, and answers it. */
    @Synchronized
    fun answer(member: String, update: CancellationUpdate): Pair<CancellationUpdate, List<Cancellation>>? {
        val m = members[member] ?: return null
        val fresh = take(m, update)
        return updateAfter(m, update.acknowledgement?.takeIf { it.boot == boot }?.upTo ?: 0L) to fresh
    }

    private fun updateAfter(m: Member, base: Long): CancellationUpdate {
        val missing = known.values.filter { it.order > base }
        val sent = missing.take(MOST)
        val whole = sent.size == missing.size
        return CancellationUpdate(
            boot, now() - start, sent.map { it.it }, base, if (whole) last else sent.last().order, whole,
            // What lies ahead holds for this node alone.
            complete()?.let { maxOf(Duration.ZERO, now() - it) }, now() - m.contact, m.acknowledgement,
        )
    }

    /**
     * Entries are true whenever they come; nothing else in a message that nobody asked for counts, since it may be
     * minutes old.
     */
    private fun take(m: Member, update: CancellationUpdate): List<Cancellation> {
        val fresh = update.entries.filter { add(it) }
        val before = m.acknowledgement?.takeIf { it.boot == update.boot }?.upTo ?: 0L
        if (update.base <= before) m.acknowledgement = Acknowledgement(update.boot, maxOf(before, update.upTo))
        return fresh
    }

    /** [member] answered with [update] what was sent to it at [asked]. What was not known before is returned. */
    @Synchronized
    fun answered(member: String, update: CancellationUpdate, asked: Duration): List<Cancellation> {
        val m = members.getValue(member)
        m.old = false
        m.contact = asked
        m.acknowledged = update.acknowledgement?.takeIf { it.boot == boot }?.upTo ?: 0L
        val fresh = take(m, update)
        if (!update.whole || m.acknowledgement.let { it?.boot != update.boot || it.upTo < update.upTo }) return fresh
        update.completeAge?.let { coveredForAll(asked - it * (1 + DRIFT)) }
        // It began at this moment at the latest, and its earlier processes had ended.
        val began = now() - update.uptime * (1 - DRIFT)
        if (m.covered.let { it != null && it >= began }) {
            m.covered =
                later(
                    m.covered,
                    maxOf(
                        asked,
                        asked - update.contactAge * (1 + DRIFT) + ISOLATION_TIMEOUT * (1 - DRIFT) - MARGIN,
                    ),
                )
        }
        return fresh
    }

    /**
     * [member] is of a version that neither tells nor hears; it can't be waited for, and nothing is known of what it
     * confirms.
     */
    @Synchronized
    fun isOld(member: String) {
        members.getValue(member).old = true
    }

    /** Whether [member] lacks something that this node knows. */
    @Synchronized
    fun lacks(member: String): Boolean = members.getValue(member).let { !it.old && it.acknowledged < last }

    /**
     * Whether a user may be told that the job is cancelled: every other node has heard of it, or has had [ALONE] to
     * find out that it hears nothing.
     */
    @Synchronized
    fun confirmable(job: String): Boolean {
        // One that was stored so long ago that it is not kept any more was told to all that could hear.
        val order = known[job]?.order ?: return true
        return members.values.all { it.old || it.acknowledged >= order || now() - it.contact >= ISOLATION_TIMEOUT }
    }

    companion object {
        /** Longer than a controller takes to be back, so that one that ends and returns leaves nothing unknown. */
        val ISOLATION_TIMEOUT = 15.seconds
        private val MARGIN = 50.milliseconds

        /** Twice what two clocks may drift apart. */
        private const val DRIFT = 0.001
        private const val MOST = 400
    }
}
