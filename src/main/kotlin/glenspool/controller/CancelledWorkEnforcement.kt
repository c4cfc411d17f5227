package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.DeleteMachines
import glenspool.core.cluster.Cancellations
import glenspool.core.cluster.CancelledWorkDeadline
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.core.cluster.OverdueMachine
import glenspool.core.cluster.SuspectMachine
import glenspool.http.CallPool
import glenspool.logging.InvariantLog
import glenspool.logging.loggerOf
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.MalformedMessage
import glenspool.worker.WorkerCalls
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Enforces the cancellation deadline while no leader is known. Every controller then probes the machines on which,
 * according to its store cache, cancelled work was placed, stops the work that still runs there, and finally deletes
 * the machines on which it could not be stopped. None of this starts anything, so it needs no leadership. The next
 * leader finds these machines either free or deleted. The controller that led until then reports the machines on which
 * it knows of overdue cancelled work, stored or not.
 *
 * Deletions, probes and the cloud's list do not wait for each other, because hanging machines and a slow cloud delay
 * each of them by seconds, while the deadline does not move.
 */
class CancelledWorkEnforcement(
    private val cancellationDeadline: Duration,
    private val cancellations: Cancellations,
    private val cache: StoreCache,
    private val cloud: CloudClient,
    workers: WorkerCalls,
    private val hasLeader: () -> Boolean,
    private val wallTime: () -> Duration,
    private val metrics: CancelledWorkMetrics,
    /** Called with machines whose deletion the cloud has confirmed. */
    onDeleted: (List<String>) -> Unit,
) : AutoCloseable {
    private val tracker = CancelledWorkTracker(cancellationDeadline)
    private val remover = CancelledWorkRemover(cloud, workers)
    private val addresses = MachineAddresses(cloud)
    private val deletions = CancelledWorkDeletions(tracker, remover, metrics, onDeleted)
    private val probes = CancelledWorkProbes(tracker, remover, workers, addresses, metrics)
    private val records = JobRecordReader(cache)
    private val listPool = CallPool("cancelled-work-list", 1, 1)
    private val isReadingList = AtomicBoolean()

    private class Report(val suspect: SuspectMachine, val expiresAt: Duration)

    /** Machines that were reported lately. */
    private val reports = ConcurrentHashMap<String, Report>()

    /** The body of the service thread. */
    fun run() {
        logCapacity()
        while (true) {
            Thread.sleep(CHECK_INTERVAL.inWholeMilliseconds)
            if (!hasLeader() || reports.isNotEmpty()) enforce()
            metrics.logTotalsIfDue()
        }
    }

    private fun logCapacity() {
        val machines = deletableMachines(cancellationDeadline, cloud.requestsPerSecond)
        if (machines > 0) {
            log.info("cancelled work without a leader: at most {} hanging machines can be deleted in time", machines)
        } else {
            log.warn("cancelled work without a leader: no hanging machine is sure to be deleted in time")
        }
    }

    /** Adds machines with overdue work to the suspects until they would have been reported again. */
    fun report(overdue: List<OverdueMachine>) {
        for (machine in overdue) {
            addresses.remember(machine.machine, machine.addr)
            val suspect = SuspectMachine(machine.machine, machine.jobs, since = wallTime() - machine.elapsed)
            reports[machine.machine] = Report(suspect, expiresAt = wallTime() + REPORT_VALIDITY)
        }
    }

    private fun enforce() {
        reports.values.removeIf { it.expiresAt < wallTime() }
        val placed = if (hasLeader()) emptyList() else cancellations.all()
        val suspects = tracker.update(wallTime(), placed, reports.values.map { it.suspect }, ::machinesOf)
        if (suspects.isEmpty()) return addresses.clear()
        metrics.logRound(tracker.counts(wallTime()))
        log.debug("machines suspected of cancelled work: {}", suspects.map { it.machine })
        tracker.missedDeadlines(wallTime()).forEach(::reportMissedDeadline)
        deletions.start(tracker.overdueMachines(wallTime()))
        probes.start()
        if (suspects.any { addresses.of(it.machine) == null }) readListInBackground()
    }

    private fun reportMissedDeadline(suspect: SuspectMachine) {
        val details = "machine=${suspect.machine} jobs=${suspect.jobs} cancelled-for=${wallTime() - suspect.since}"
        InvariantLog.report("cancelled-work-past-deadline", details)
    }

    private fun readListInBackground() {
        if (!isReadingList.compareAndSet(false, true)) return
        val isAccepted =
            listPool.tryExecute {
                try {
                    metrics.countList(isComplete = addresses.readList())
                } finally {
                    isReadingList.set(false)
                }
            }
        if (!isAccepted) isReadingList.set(false)
    }

    private fun machinesOf(job: String): List<String> {
        val item = cache.get(Keys.job(job)) ?: return emptyList()
        return try {
            val record = cache.atomically { records.read(job, item.value) }
            (record.placements + record.placementParts.values.flatten()).map { it.machine }
        } catch (e: MalformedMessage) {
            log.error("stored record of job {} could not be decoded, its machines are not checked", job, e)
            emptyList()
        }
    }

    override fun close() = listOf(deletions, probes, listPool).forEach { it.close() }

    companion object {
        private val log = loggerOf(CancelledWorkEnforcement::class.java)
        private val CHECK_INTERVAL = 1.seconds
        private val REPORT_VALIDITY = CancelledWorkDeadline.REPORT_INTERVAL * 2

        /**
         * Returns how many machines a controller can delete between the last probe and [deadline] with
         * [requestsPerSecond] requests to the cloud, if each takes the cloud as long as a request may.
         */
        fun deletableMachines(deadline: Duration, requestsPerSecond: Double): Int {
            val timeToSend = CancelledWorkTracker.timeForDeletions(deadline) - CHECK_INTERVAL - CloudClient.TIMEOUT
            val requests = (timeToSend.toDouble(DurationUnit.SECONDS) * requestsPerSecond).toInt()
            return maxOf(requests, 0) * DeleteMachines.MAX_MACHINES
        }
    }
}
