package glenspool.controller

import com.codahale.metrics.Counter
import com.codahale.metrics.MetricRegistry
import glenspool.core.cluster.SuspectCounts
import glenspool.logging.InvariantLog
import glenspool.logging.loggerOf
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Counts what is done to end cancelled work while there is no leader, and logs the totals once a minute if they have
 * changed. The counters are created at their first use, since most processes never need them. Thread-safe.
 *
 * @property uptime the time since the node's start
 */
class CancelledWorkMetrics(private val uptime: () -> Duration) {
    private val registry by lazy { MetricRegistry() }
    private var loggedAt = Duration.ZERO
    private var lastTotals = NO_TOTALS

    /** Counts a probe and whether it was answered. */
    fun countProbe(isAnswered: Boolean) = counter(if (isAnswered) "probes-answered" else "probes-unanswered").inc()

    /** Counts a request for pages of the cloud's list of machines. */
    fun countList(isComplete: Boolean) = counter(if (isComplete) "lists-read" else "lists-failed").inc()

    /** Counts the machines of one deletion request. */
    fun countDeletion(machines: Int, isDeleted: Boolean) =
        counter(if (isDeleted) "machines-deleted" else "machines-not-deleted").inc(machines.toLong())

    /** Returns the value of the counter [name]. */
    fun count(name: String): Long = counter(name).count

    private fun counter(name: String): Counter = registry.counter(name)

    /** Logs the state of a round. */
    fun logRound(counts: SuspectCounts) =
        log.info(
            "cancelled work without a leader suspects={} unprobed={} overdue={} oldest-s={}",
            counts.suspects, counts.unprobed, counts.overdue,
            counts.oldestAge.toString(DurationUnit.SECONDS, AGE_DECIMALS),
        )

    /** Logs the totals if they have changed since they were last logged a minute ago or earlier. */
    @Synchronized
    fun logTotalsIfDue() {
        if (uptime() - loggedAt < LOG_INTERVAL) return
        loggedAt = uptime()
        val counts = registry.counters.entries.joinToString(" ") { (name, counter) -> "$name=${counter.count}" }
        val totals = "invariant-violations=${InvariantLog.violationCount} $counts"
        if (totals != lastTotals) log.info("cancelled work totals {}", totals)
        lastTotals = totals
    }

    private companion object {
        val log = loggerOf(CancelledWorkMetrics::class.java)
        val LOG_INTERVAL = 60.seconds
        const val AGE_DECIMALS = 1

        /** The totals of a process that has counted nothing, which are not logged. */
        const val NO_TOTALS = "invariant-violations=0 "
    }
}
