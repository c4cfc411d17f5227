package glenspool.simulation

import glenspool.core.CommandOutcome
import glenspool.core.Probe
import glenspool.core.Scheduler
import glenspool.core.SendCommands
import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Delivers commands and probes of a leader to workers. They may be lost, delayed or refused. */
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
                context.after(CONNECT_TIMEOUT) { requestEnded(request, scheduler, CommandOutcome.NOT_SENT) }
            context.now < worker.unreachableUntil ->
                context.after(REQUEST_TIMEOUT) {
                    leader.stepIfLeading(scheduler) {
                        val outcome = if (context.chance(0.5)) CommandOutcome.UNKNOWN else CommandOutcome.NOT_SENT
                        commandsEnded(request.machine, request, outcome, null)
                    }
                }
            isDelayed(worker) -> deliverLate(worker, request, scheduler)
            else -> deliver(worker, request, scheduler)
        }
    }

    private fun isDelayed(worker: SimulatedWorker): Boolean =
        context.now < worker.partitionedUntil ||
            context.now < worker.zonePartitionedUntil ||
            worker.isHanging ||
            context.chance(context.faults.delayedCommands)

    /** Delivers the request at the end of the fault or up to a minute later, mostly long after the sender's timeout. */
    private fun deliverLate(worker: SimulatedWorker, request: SendCommands, scheduler: Scheduler) {
        val restarts = worker.restarts
        val faultEndsAt = maxOf(worker.partitionedUntil, worker.zonePartitionedUntil, worker.hungUntil)
        val delay = maxOf(faultEndsAt - context.now, Duration.ZERO) + context.random.nextInt(60).seconds
        context.after(delay) { if (isSameProcess(worker, restarts)) execution.execute(worker, request) }
        context.after(REQUEST_TIMEOUT) { requestEnded(request, scheduler, CommandOutcome.UNKNOWN) }
    }

    private fun deliver(worker: SimulatedWorker, request: SendCommands, scheduler: Scheduler) {
        val restarts = worker.restarts
        context.after(context.networkDelay()) {
            if (!isSameProcess(worker, restarts)) {
                context.after(REQUEST_TIMEOUT) { requestEnded(request, scheduler, CommandOutcome.UNKNOWN) }
                return@after
            }
            val outcome = if (execution.execute(worker, request)) CommandOutcome.DONE else CommandOutcome.REFUSED
            val heartbeat = worker.heartbeat()
            if (context.chance(context.faults.messageLoss)) {
                context.after(REQUEST_TIMEOUT) { requestEnded(request, scheduler, CommandOutcome.UNKNOWN) }
            } else {
                context.after(context.networkDelay()) { requestEnded(request, scheduler, outcome, heartbeat) }
            }
        }
    }

    /** Whether the worker is running and its number of restarts is still [restarts]. */
    private fun isSameProcess(worker: SimulatedWorker, restarts: Int): Boolean {
        val isRunning = !worker.isLost && !worker.isHanging
        return isRunning && worker.restarts == restarts
    }

    private fun requestEnded(
        request: SendCommands,
        scheduler: Scheduler,
        outcome: CommandOutcome,
        heartbeat: Heartbeat? = null,
    ) {
        leader.stepIfLeading(scheduler) { commandsEnded(request.machine, request, outcome, heartbeat) }
    }

    private companion object {
        val CONNECT_TIMEOUT = 800.milliseconds
        val REQUEST_TIMEOUT = 3.seconds
    }
}
