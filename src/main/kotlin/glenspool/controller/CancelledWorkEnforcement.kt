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
import glenspool.worker.WorkerClient
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * While no leader is known, every controller enforces the cancellation deadline on the machines where, by its store
 * cache, cancelled work was placed: it asks the machines, has the work stopped, and in the end deletes the machine.
 * None of this starts anything, so it needs no leadership; the next leader sees machines that are free or gone.
 */
class CancelledWorkEnforcement(
    cancellationDeadline: Duration,
    private val cancellations: Cancellations,
    private val cache: StoreCache,
    private val cloud: CloudClient,
    private val workers: WorkerClient,
    private val isLed: () -> Boolean,
    private val wall: () -> Duration,
) : AutoCloseable {
    private val tracker = CancelledWorkTracker(cancellationDeadline)
    private val remover = CancelledWorkRemover(cloud, workers)
    private val records = JobRecordReader(cache)
    private val pool = CallPool("overdue", THREADS, QUEUED_CALLS)

    /** Machines that are being asked at the moment. */
    private val inProgress = ConcurrentHashMap.newKeySet<String>()

    /** The service thread. */
    fun run() {
        while (true) {
            Thread.sleep(PERIOD.inWholeMilliseconds)
            if (!isLed()) enforce()
        }
    }

    private fun enforce() {
        val due = tracker.machinesToProbe(wall(), cancellations.all(), ::machinesOf)
        if (due.isEmpty()) return
        // Without the cloud a machine's address is not known here, nor can the machine be deleted: the next round asks
        // again.
        val addresses = cloud.listMachines()?.associate { it.id to it.addr }
        log.info("cancelled work without a leader machines={} cloud={}", due.map { it.machine }, addresses != null)
        if (addresses == null) return
        due.forEach { checkInBackground(it, addresses[it.machine].orEmpty()) }
        deleteLate()
    }

    private fun checkInBackground(suspect: SuspectMachine, addr: String) {
        if (!inProgress.add(suspect.machine)) return
        val isAccepted =
            pool.run {
                try {
                    checkMachine(suspect, addr)
                } finally {
                    inProgress.remove(suspect.machine)
                }
            }
        if (!isAccepted) inProgress.remove(suspect.machine)
    }

    /** Asks the machine, and has the cancelled work that it still runs stopped. */
    private fun checkMachine(suspect: SuspectMachine, addr: String) {
        val heartbeat = remover.probe(suspect.machine, addr)
        val stops = tracker.recordProbe(suspect, heartbeat)
        if (heartbeat == null || stops.isEmpty()) return
        // With the worker's own token: it starts nothing, and a cancellation is for ever.
        val commands = SendCommands(suspect.machine, addr, heartbeat.token, heartbeat.incarnation, stops)
        val (outcome, heartbeatAfter) = workers.command(commands)
        log.info(
            "stop machine={} commands={} reason=cancelled-work leading=false outcome={}",
            suspect.machine, stops, outcome,
        )
        if (outcome == CommandOutcome.DONE) tracker.recordProbe(suspect, heartbeatAfter)
    }

    private fun deleteLate() {
        for (machines in tracker.overdueMachines(wall()).chunked(DeleteMachines.MAX_MACHINES)) {
            if (remover.delete(machines)) machines.forEach(tracker::recordDeletion)
        }
    }

    private fun machinesOf(job: String): List<String> {
        val item = cache.get(Keys.job(job)) ?: return emptyList()
        return try {
            val record = cache.atomically { records.read(job, item.value) }
            (record.placements + record.placementParts.values.flatten()).map { it.machine }
        } catch (e: MalformedMessage) {
            log.error("stored record of {} is not readable", job, e)
            emptyList()
        }
    }

    override fun close() = pool.close()

    private companion object {
        val log = loggerOf(CancelledWorkEnforcement::class.java)
        val PERIOD = 1.seconds
        const val THREADS = 16
        const val QUEUED_CALLS = 10_000
    }
}
