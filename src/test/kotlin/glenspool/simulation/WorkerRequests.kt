package glenspool.simulation

import glenspool.core.CommandOutcome
import glenspool.core.Probe
import glenspool.core.Scheduler
import glenspool.core.SendCommands
import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Requests that a leader sends to workers: commands and probes, which may be lost, held up or refused. */
internal class WorkerRequests(
    private val context: SimulationContext,
    private val fleet: SimulatedFleet,
    private val leader: SimulatedLeader,
    private val execution: TaskExecution,
) {
    fun probe(probe: Probe, scheduler: Scheduler) {
        val worker = fleet[probe.machine]
        context.after(context.networkDelay()) {
            val isAnswered = worker != null && worker.isReachable && context.now >= worker.unreachableUntil
            val heartbeat = if (isAnswered) worker.heartbeat() else null
            leader.stepIfLeading(scheduler) { probeEnded(probe.machine, heartbeat) }
        }
    }

    fun send(request: SendCommands, scheduler: Scheduler) {
        val worker = fleet[request.machine]
        when {
            worker == null || worker.isLost || !worker.isUp ->
                context.after(NO_CONNECTION_AFTER) { ended(request, scheduler, CommandOutcome.NOT_SENT) }
            context.now < worker.unreachableUntil ->
                context.after(TIMEOUT) {
                    leader.stepIfLeading(scheduler) {
                        val outcome = if (context.chance(0.5)) CommandOutcome.UNKNOWN else CommandOutcome.NOT_SENT
                        commandsEnded(request.machine, request, outcome, null)
                    }
                }
            isHeldUp(worker) -> deliverLate(worker, request, scheduler)
            else -> deliver(worker, request, scheduler)
        }
    }

    private fun isHeldUp(worker: SimulatedWorker): Boolean =
        context.now < worker.partitionedUntil ||
            context.now < worker.zonePartitionedUntil ||
            worker.isHanging ||
            context.chance(context.faults.delayedCommands)

    /** Delivers when the cut ends or up to a minute later, when the sender has long given up. */
    private fun deliverLate(worker: SimulatedWorker, request: SendCommands, scheduler: Scheduler) {
        val restarts = worker.restarts
        val heldUntil = maxOf(worker.partitionedUntil, worker.zonePartitionedUntil, worker.hungUntil)
        val delay = maxOf(heldUntil - context.now, Duration.ZERO) + context.random.nextInt(60).seconds
        context.after(delay) { if (isSameProcess(worker, restarts)) execution.execute(worker, request) }
        context.after(TIMEOUT) { ended(request, scheduler, CommandOutcome.UNKNOWN) }
    }

    private fun deliver(worker: SimulatedWorker, request: SendCommands, scheduler: Scheduler) {
        val restarts = worker.restarts
        context.after(context.networkDelay()) {
            if (!isSameProcess(worker, restarts)) {
                context.after(TIMEOUT) { ended(request, scheduler, CommandOutcome.UNKNOWN) }
                return@after
            }
            val outcome = if (execution.execute(worker, request)) CommandOutcome.DONE else CommandOutcome.REFUSED
            val heartbeat = worker.heartbeat()
            if (context.chance(context.faults.messageLoss)) {
                context.after(TIMEOUT) { ended(request, scheduler, CommandOutcome.UNKNOWN) }
            } else {
                context.after(context.networkDelay()) { ended(request, scheduler, outcome, heartbeat) }
            }
        }
    }

    /** Whether the worker runs, and has not restarted since the given count. */
    private fun isSameProcess(worker: SimulatedWorker, restarts: Int): Boolean {
        val isRunning = !worker.isLost && !worker.isHanging
        return isRunning && worker.restarts == restarts
    }

    private fun ended(
        request: SendCommands,
        scheduler: Scheduler,
        outcome: CommandOutcome,
        heartbeat: Heartbeat? = null,
    ) {
        leader.stepIfLeading(scheduler) { commandsEnded(request.machine, request, outcome, heartbeat) }
    }

    private companion object {
        val NO_CONNECTION_AFTER = 800.milliseconds
        val TIMEOUT = 3.seconds
    }
}
