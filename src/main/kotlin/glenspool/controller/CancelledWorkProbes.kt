package glenspool.controller

import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.core.cluster.SuspectMachine
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.http.CallPool
import glenspool.logging.loggerOf
import glenspool.worker.WorkerCalls

/**
 * Probes machines for cancelled work and stops it where it still runs. Each thread takes the most urgent machine that
 * is left, so that the order is that of the deadlines, however many machines hang. Thread-safe.
 */
internal class CancelledWorkProbes(
    private val tracker: CancelledWorkTracker,
    private val remover: CancelledWorkRemover,
    private val workers: WorkerCalls,
    private val addresses: MachineAddresses,
    private val metrics: CancelledWorkMetrics,
) : AutoCloseable {
    private val pool = CallPool("cancelled-work", MAX_PROBES, MAX_PROBES)

    /** Starts threads for the machines that are left to probe, up to [MAX_PROBES] with those that run already. */
    fun start() {
        while (pool.runningCalls < MAX_PROBES) {
            val first = takeNext() ?: return
            if (!pool.tryExecute { probeFrom(first) }) return tracker.releaseProbe(first)
        }
    }

    private fun takeNext(): SuspectMachine? = tracker.takeProbe { addresses.of(it.machine) != null }

    private fun probeFrom(first: SuspectMachine) {
        var next: SuspectMachine? = first
        while (next != null && !Thread.currentThread().isInterrupted) {
            probe(next)
            next = takeNext()
        }
    }

    private fun probe(suspect: SuspectMachine) {
        val addr = addresses.of(suspect.machine).orEmpty()
        var heartbeat: Heartbeat? = null
        try {
            heartbeat = remover.probe(suspect.machine, addr)
        } catch (e: RuntimeException) {
            log.error("probe of machine {} failed with an exception and counts as unanswered", suspect.machine, e)
        }
        metrics.countProbe(isAnswered = heartbeat != null)
        val stops = tracker.recordProbe(suspect, heartbeat)
        if (heartbeat != null && stops.isNotEmpty()) stop(suspect, addr, heartbeat, stops)
    }

    private fun stop(suspect: SuspectMachine, addr: String, heartbeat: Heartbeat, stops: List<StopTask>) {
        // The worker's own token is enough, because stops start nothing and a cancellation is never revoked.
        val commands = SendCommands(suspect.machine, addr, heartbeat.token, heartbeat.incarnation, stops)
        val (outcome, heartbeatAfter) = workers.sendCommands(commands)
        log.info(
            "stop machine={} commands={} reason=cancelled-work leading=false outcome={}",
            suspect.machine, stops, outcome,
        )
        if (outcome == CommandOutcome.DONE && heartbeatAfter != null) tracker.recordHeartbeat(suspect, heartbeatAfter)
    }

    override fun close() = pool.close()

    private companion object {
        val log = loggerOf(CancelledWorkProbes::class.java)

        /** A machine that hangs blocks a thread for the 3 s timeout of its probe, and hundreds may hang together. */
        const val MAX_PROBES = 128
    }
}
