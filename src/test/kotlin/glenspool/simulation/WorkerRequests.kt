package glenspool.simulation

import glenspool.core.CommandOutcome
import glenspool.core.Probe
import glenspool.core.Scheduler
import glenspool.core.SendCommands
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
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
    /** A request that the process of a worker has executed; [restarts] identifies the process. */
    private class ExecutedRequest(val worker: SimulatedWorker, val restarts: Int, val request: SendCommands)

    private val executedRequests = ArrayList<ExecutedRequest>()

    fun probe(probe: Probe, scheduler: Scheduler) {
        val worker = fleet[probe.machine]
        context.after(context.networkDelay()) {
            val isAnswered = worker != null && worker.isReachable && context.now >= worker.unreachableUntil
            val heartbeat = if (isAnswered) worker.heartbeat() else null
            leader.stepIfLeading(scheduler) { probeEnded(probe, heartbeat) }
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
            if (outcome == CommandOutcome.DONE) recordExecuted(ExecutedRequest(worker, restarts, request))
            val heartbeat = worker.heartbeat()
            if (context.chance(context.faults.messageLoss)) {
                context.after(REQUEST_TIMEOUT) { requestEnded(request, scheduler, CommandOutcome.UNKNOWN) }
            } else {
                context.after(context.networkDelay()) { requestEnded(request, scheduler, outcome, heartbeat) }
            }
        }
    }

    private fun recordExecuted(executed: ExecutedRequest) {
        executedRequests.add(executed)
        // No number is drawn without this fault, so that the runs of other seeds stay the same.
        if (context.faults.repeatedCommands == 0.0 || !context.chance(context.faults.repeatedCommands)) return
        val longestDelay = if (context.chance(0.3)) SHORT_COPY_DELAY else context.config.lease * MAX_COPY_DELAY_LEASES
        context.after(longestDelay * context.random.nextDouble()) { deliverCopy(executed) }
    }

    /**
     * Delivers a copy of a request that was executed and answered. Returns the number of tasks that it starts; each is
     * a violation, since the task was started by the request itself. Connections do not outlive a worker's process.
     */
    private fun deliverCopy(executed: ExecutedRequest): Int {
        if (!isSameProcess(executed.worker, executed.restarts)) return 0
        return executeCopy(executed)
    }

    private fun executeCopy(executed: ExecutedRequest): Int {
        val startsBefore = execution.startCount
        execution.execute(executed.worker, executed.request)
        val starts = execution.startCount - startsBefore
        if (starts > 0) context.recordViolation("started_again ${executed.worker.id} ${executed.request.commands}")
        return starts
    }

    /** Delivers a copy of each request that a worker's running process has executed. Returns the number of starts. */
    fun deliverCopies(): Int = executedRequests.toList().sumOf(::deliverCopy)

    /** Like [deliverCopies], and copies also arrive at processes that were started after the request was executed. */
    fun deliverCopiesAcrossRestarts(): Int = executedRequests.filter { !it.worker.isLost }.sumOf(::executeCopy)

    /** Whether a worker has executed a request with several commands. */
    fun hasExecutedSeveralCommandsAtOnce(): Boolean = executedRequests.any { it.request.commands.size > 1 }

    /** Whether a worker has executed a request that starts one task and stops another. */
    fun hasExecutedStartAndStopAtOnce(): Boolean =
        executedRequests.any { executed ->
            executed.request.starts.isNotEmpty() &&
                executed.request.commands.any { it is StopTask }
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
        val SHORT_COPY_DELAY = 1.seconds
        const val MAX_COPY_DELAY_LEASES = 5.0
    }
}
