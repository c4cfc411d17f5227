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
 * While nobody is known to lead, every controller sees to it that cancelled work is gone in time, wherever its copy of
 * the state says that it was placed: it asks the machines, has the work stopped, and in the end deletes the machine.
 * None of this starts anything, so it needs no leadership; whoever leads next sees machines that are free or gone.
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
    private val work = CancelledWorkTracker(cancellationDeadline)
    private val stored = JobRecordReader(cache)
    private val pool = CallPool("overdue", THREADS, QUEUED)
    private val asked = ConcurrentHashMap.newKeySet<String>()

    fun run() {
        while (true) {
            Thread.sleep(EVERY.inWholeMilliseconds)
            if (!isLed()) look()
        }
    }

    private fun look() {
        val due = work.suspects(wall(), cancellations.all(), ::machinesOf)
        if (due.isEmpty()) return
        // Without the cloud a machine's address is not known here, and it can't be deleted either: it is asked for
        // again.
        val addresses = cloud.listMachines()?.associate { it.id to it.addr }
        log.info("cancelled work without a leader machines={} cloud={}", due.map { it.machine }, addresses != null)
        if (addresses == null) return
        for (s in due) {
            if (!asked.add(s.machine)) continue
            val taken =
                pool.run {
                    try {
                        see(s, addresses[s.machine].orEmpty())
                    } finally {
                        asked.remove(s.machine)
                    }
                }
            if (!taken) asked.remove(s.machine)
        }
        val late = work.overdue(wall())
        for (machines in late.chunked(DeleteMachines.MAX_MACHINES)) {
            val ok = cloud.delete(machines)
            log.info("delete machines={} reason=cancelled-work leading=false ok={}", machines, ok)
            if (ok) machines.forEach(work::deleted)
        }
    }

    private fun machinesOf(job: String): List<String> {
        val item = cache.get(Keys.job(job)) ?: return emptyList()
        return try {
            val record = cache.atomically { stored.read(job, item.value) }
            (record.placements + record.placementParts.values.flatten()).map { it.machine }
        } catch (e: MalformedMessage) {
            log.error("stored record of {} is not readable", job, e)
            emptyList()
        }
    }

    private fun see(s: SuspectMachine, addr: String) {
        val heartbeat = if (addr.isEmpty()) null else workers.probe(addr)?.takeIf { it.machine == s.machine }
        val stops = work.probed(s, heartbeat)
        if (heartbeat == null || stops.isEmpty()) return
        // With the worker's own token: it starts nothing, and a cancellation is for ever.
        val (outcome, after) = workers.command(SendCommands(s.machine, addr, heartbeat.token, heartbeat.incarnation, stops))
        log
            .info("stop machine={} commands={} reason=cancelled-work leading=false outcome={}", s.machine, stops, outcome)
        if (outcome == CommandOutcome.DONE) work.probed(s, after)
    }

    override fun close() = pool.close()

    private companion object {
        val log = loggerOf(CancelledWorkEnforcement::class.java)
        val EVERY = 1.seconds
        const val THREADS = 16
        const val QUEUED = 10_000

        /** So many names a request to the cloud may hold. */
    }
}
