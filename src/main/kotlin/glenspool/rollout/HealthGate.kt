package glenspool.rollout

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What went wrong in a process since its start. */
data class HealthCounts(val takeOvers: Long, val leasesExpired: Long, val refusals: Long, val rejectedWrites: Long) {
    operator fun plus(other: HealthCounts) =
        HealthCounts(
            takeOvers + other.takeOvers,
            leasesExpired + other.leasesExpired,
            refusals + other.refusals,
            rejectedWrites + other.rejectedWrites,
        )

    /** What was added since [earlier] of the same process. */
    operator fun minus(earlier: HealthCounts) =
        HealthCounts(
            takeOvers - earlier.takeOvers,
            leasesExpired - earlier.leasesExpired,
            refusals - earlier.refusals,
            rejectedWrites - earlier.rejectedWrites,
        )

    companion object {
        val NONE = HealthCounts(0, 0, 0, 0)
    }
}

/** A kind of event that has become too frequent. */
data class HealthFailure(val kind: String, val before: Long, val after: Long) {
    override fun toString(): String = "$kind: $after since the last step, $before in the time before it"
}

/**
 * Compares the time since the last step of an upgrade with the time before it. Counts are summed over all members; a
 * process that began anew counts from zero. Samples are kept for as long as they can be compared, and are bounded in
 * number.
 */
class HealthGate(private val limits: HealthLimits) {
    private class Sample(val at: Duration, val total: HealthCounts)

    private val samples = ArrayDeque<Sample>()
    private val lastOfProcess = HashMap<String, Pair<String?, HealthCounts>>()
    private var total = HealthCounts.NONE

    fun add(report: MemberReport) {
        val last = lastOfProcess[report.member]
        val sameProcess = last != null && last.first == report.boot
        total += if (sameProcess) report.health - checkNotNull(last).second else report.health
        lastOfProcess[report.member] = report.boot to report.health
    }

    /** Keeps what has been added until [now]. */
    fun sample(now: Duration) {
        if (samples.lastOrNull()?.let { now - it.at < SAMPLE_EVERY } == true) return
        samples.addLast(Sample(now, total))
        while (samples.size > MAX_SAMPLES) samples.removeFirst()
    }

    /** What is worse since the step at [stepAt] than in the window before it. */
    fun failures(stepAt: Duration, now: Duration): List<HealthFailure> {
        val atStep = totalAt(stepAt)
        val before = atStep - totalAt(stepAt - limits.window)
        val after = total - atStep
        // Of a long time after the step only as much is held against it as was looked at before it.
        val share = ((now - stepAt) / limits.window).coerceIn(MIN_SHARE, Double.MAX_VALUE)
        return listOf(
            HealthFailure("take-overs", before.takeOvers, after.takeOvers),
            HealthFailure("leases that ran out", before.leasesExpired, after.leasesExpired),
            HealthFailure("refused requests", before.refusals, after.refusals),
            HealthFailure("rejected transactions", before.rejectedWrites, after.rejectedWrites),
        ).filter { it.after > limits.tolerated * maxOf(1.0, share) + limits.factor * it.before * share }
    }

    private fun totalAt(at: Duration): HealthCounts = samples.lastOrNull { it.at <= at }?.total ?: samples.firstOrNull()?.total ?: HealthCounts.NONE

    private companion object {
        val SAMPLE_EVERY = 10.seconds
        const val MAX_SAMPLES = 720

        /** Just after a step a single event would look like a very high rate. */
        const val MIN_SHARE = 0.05
    }
}
