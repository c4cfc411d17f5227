package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.core.CommandOutcome
import glenspool.core.DeleteMachines
import glenspool.core.SendCommands
import glenspool.core.cluster.Cancellations
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.core.cluster.SuspectMachine
import glenspool.http.CallPool
import glenspool.logging.loggerOf
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.MalformedMessage
import glenspool.worker.WorkerCalls
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Enforces the cancellation deadline while no leader is known. Every controller then probes the machines on which,
 * according to its store cache, cancelled work was placed, stops the work that still runs there, and finally deletes
 * the machines on which it could not be stopped. None of this starts anything, so it needs no leadership. The next
 * leader finds these machines either free or deleted.
 */
class CancelledWorkEnforcement(
    cancellationDeadline: Duration,
    private val cancellations: Cancellations,
    private val cache: StoreCache,
    private val cloud: CloudClient,
    private val workers: WorkerCalls,
    private val hasLeader: () -> Boolean,
    private val wallTime: () -> Duration,
    private val metrics: CancelledWorkMetrics,
) : AutoCloseable {
    private val tracker = CancelledWorkTracker(cancellationDeadline)
    private val remover = CancelledWorkRemover(cloud, workers)
    private val records = JobRecordReader(cache)
    private val pool = CallPool("overdue", CHECK_THREADS, MAX_QUEUED_CHECKS)

    /** Machines that are being checked at the moment. */
    private val inProgress = ConcurrentHashMap.newKeySet<String>()

    /** The body of the service thread. */
    fun run() {
        while (true) {
            Thread.sleep(CHECK_INTERVAL.inWholeMilliseconds)
            if (!hasLeader()) enforce()
            metrics.logTotalsIfDue()
        }
    }

    private fun enforce() {
        val suspects = tracker.machinesToProbe(wallTime(), cancellations.all(), ::machinesOf)
        if (suspects.isEmpty()) return
        // Without the cloud's list the machines' addresses are unknown, and without the cloud no machine can be
        // deleted. The next round asks the cloud again.
        val addresses = cloud.listMachines()?.associate { it.id to it.addr }
        metrics.countList(isComplete = addresses != null)
        metrics.logRound(tracker.counts(wallTime()), pool.queuedCalls)
        log.debug("machines suspected of cancelled work: {}", suspects.map { it.machine })
        if (addresses == null) return
        suspects.forEach { checkInBackground(it, addresses[it.machine].orEmpty()) }
        deleteOverdue()
    }

    private fun checkInBackground(suspect: SuspectMachine, addr: String) {
        if (!inProgress.add(suspect.machine)) return
        val isAccepted =
            pool.tryExecute {
                try {
                    checkMachine(suspect, addr)
                } finally {
                    inProgress.remove(suspect.machine)
                }
            }
        if (isAccepted) return
        inProgress.remove(suspect.machine)
        metrics.countRefusedProbe()
    }

    /** Probes the machine and stops the cancelled work that it still runs. */
    private fun checkMachine(suspect: SuspectMachine, addr: String) {
        val heartbeat = remover.probe(suspect.machine, addr)
        metrics.countProbe(isAnswered = heartbeat != null)
        val stops = tracker.recordProbe(suspect, heartbeat)
        if (heartbeat == null || stops.isEmpty()) return
        // The worker's own token is enough, because stops start nothing and a cancellation is never revoked.
        val commands = SendCommands(suspect.machine, addr, heartbeat.token, heartbeat.incarnation, stops)
        val (outcome, heartbeatAfter) = workers.sendCommands(commands)
        log.info(
            "stop machine={} commands={} reason=cancelled-work leading=false outcome={}",
            suspect.machine, stops, outcome,
        )
        if (outcome == CommandOutcome.DONE) tracker.recordProbe(suspect, heartbeatAfter)
    }

    private fun deleteOverdue() {
        for (machines in tracker.overdueMachines(wallTime()).chunked(DeleteMachines.MAX_MACHINES)) {
            val isDeleted = remover.delete(machines)
            metrics.countDeletion(machines.size, isDeleted)
            if (isDeleted) machines.forEach(tracker::recordDeletion)
        }
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

    override fun close() = pool.close()

    private companion object {
        val log = loggerOf(CancelledWorkEnforcement::class.java)
        val CHECK_INTERVAL = 1.seconds
        const val CHECK_THREADS = 16
        const val MAX_QUEUED_CHECKS = 10_000
    }
}
