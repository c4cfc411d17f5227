package glenspool.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The numbers of adverse events in a process since its start. */
data class HealthCounts(val failovers: Long, val expiredLeases: Long, val refusals: Long, val rejectedWrites: Long) {
    /** Returns the sums of both, by kind of event. */
    operator fun plus(other: HealthCounts) =
        HealthCounts(
            failovers + other.failovers,
            expiredLeases + other.expiredLeases,
            refusals + other.refusals,
            rejectedWrites + other.rejectedWrites,
        )

    /** Returns the increase since the [earlier] counts of the same process. */
    operator fun minus(earlier: HealthCounts) =
        HealthCounts(
            failovers - earlier.failovers,
            expiredLeases - earlier.expiredLeases,
            refusals - earlier.refusals,
            rejectedWrites - earlier.rejectedWrites,
        )

    companion object {
        val NONE = HealthCounts(0, 0, 0, 0)
    }
}

/** The kinds of events that are counted. The [label] is shown to operators. */
enum class HealthEvent(val label: String) {
    FAILOVER("take-overs"),
    LEASE_EXPIRY("leases that ran out"),
    REFUSED_REQUEST("refused requests"),
    REJECTED_TRANSACTION("rejected transactions"),
    ;

    /** Returns the number of events of this kind in [counts]. */
    fun countIn(counts: HealthCounts): Long =
        when (this) {
            FAILOVER -> counts.failovers
            LEASE_EXPIRY -> counts.expiredLeases
            REFUSED_REQUEST -> counts.refusals
            REJECTED_TRANSACTION -> counts.rejectedWrites
        }
}

/** An event that is too frequent: how often it occurred [before] the last step of the upgrade and [after] it. */
data class HealthFailure(val event: HealthEvent, val before: Long, val after: Long) {
    override fun toString(): String = "${event.label}: $after since the last step, $before in the time before it"
}

/**
 * Compares the time since the last step of an upgrade with the time before it. Counts are summed over all members; a
 * restarted process counts from zero. The number of samples is bounded.
 */
class HealthGate(private val limits: HealthLimits) {
    private class Sample(val at: Duration, val total: HealthCounts)

    /** The newest counts of one process. [boot] identifies the process. */
    private class ProcessCounts(val boot: String?, val counts: HealthCounts)

    private val samples = ArrayDeque<Sample>()
    private val newestByMember = HashMap<String, ProcessCounts>()
    private var total = HealthCounts.NONE

    /** Adds a member's counts to the totals over all members. */
    fun add(report: MemberReport) {
        val previous = newestByMember[report.member]?.takeIf { it.boot == report.boot }
        total += if (previous != null) report.health - previous.counts else report.health
        newestByMember[report.member] = ProcessCounts(report.boot, report.health)
    }

    /** Samples the counts that have been added until [now], if the last sample is old enough. */
    fun sample(now: Duration) {
        val last = samples.lastOrNull()
        if (last != null && now - last.at < SAMPLE_INTERVAL) return
        samples.addLast(Sample(now, total))
        while (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** Returns the events that are too frequent since the step at [stepAt], compared with the window before it. */
    fun failures(stepAt: Duration, now: Duration): List<HealthFailure> {
        val atStep = totalAt(stepAt)
        val before = atStep - totalAt(stepAt - limits.window)
        val after = total - atStep
        // The time after the step is seldom as long as the window before it, so the limits are scaled by the ratio.
        val scale = ((now - stepAt) / limits.window).coerceIn(MIN_LIMIT_SCALE, Double.MAX_VALUE)
        return HealthEvent.entries
            .map { HealthFailure(it, it.countIn(before), it.countIn(after)) }
            .filter {
                it.after > limits.toleratedEvents * maxOf(1.0, scale) + limits.toleratedFactor * it.before * scale
            }
    }

    private fun totalAt(at: Duration): HealthCounts {
        val sample = samples.lastOrNull { it.at <= at } ?: samples.firstOrNull()
        return sample?.total ?: HealthCounts.NONE
    }

    private companion object {
        val SAMPLE_INTERVAL = 10.seconds
        const val MAX_SAMPLES = 720

        /** Limits the scaling, because just after a step a single event would otherwise look like a very high rate. */
        const val MIN_LIMIT_SCALE = 0.05
    }
}
