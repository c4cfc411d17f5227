package glenspool.core.cluster

import glenspool.core.CommandOutcome
import glenspool.core.OverloadMonitor
import glenspool.core.ProposedOrder
import glenspool.core.SchedulingContext
import glenspool.core.SendCommands
import glenspool.core.StopCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.Command
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.withoutCause
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Queues the commands for machines and sends them, with one request to a machine at a time. Only machines with queued
 * commands are scanned.
 */
class CommandQueue(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val overload: OverloadMonitor,
) {
    private val machinesWithCommands = LinkedHashSet<Machine>()
    private val machinesWithUnansweredStarts = LinkedHashSet<Machine>()

    /** Whether the last [flush] deferred starts; the next one then sends the most urgent starts first. */
    private var hasDeferredStarts = false

    /** Queues a command for the next request to the machine. */
    fun add(machine: Machine, command: Command) {
        machine.requests.add(command)
        machinesWithCommands.add(machine)
    }

    /** Stops a task. A cancellation overrides any other cause; otherwise the first cause is kept. */
    fun stop(placement: Placement, cause: StopCause, grace: Duration) {
        val overrides = cause == StopCause.CANCELLED && placement.stopCause != StopCause.CANCELLED
        if (placement.stopCause != null && !overrides) return
        context.log { "stop task=$placement machine=${placement.machine} reason=$cause grace=$grace" }
        placement.requestStop(cause, grace)
        val machine = cluster.machines[placement.machine] ?: return
        if (placement.stage == PlacementStage.PLANNED) return
        add(machine, StopTask(placement.key, placement.attempt, grace, cause))
        placement.markStopSent(context.now)
    }

    /** Sends the queued commands that may be sent now. */
    fun flush() {
        if (machinesWithCommands.isEmpty()) return
        val machines =
            if (hasDeferredStarts) machinesWithCommands.sortedWith(byUrgency) else machinesWithCommands.toList()
        hasDeferredStarts = false
        for (machine in machines) {
            context.workCounters.commandScans++
            if (machine.requests.pendingCommands.isEmpty() || machine.isDeleting) {
                machinesWithCommands.remove(machine)
            } else if (canSendTo(machine)) {
                sendPending(machine)
            }
        }
    }

    private fun canSendTo(machine: Machine): Boolean {
        val requests = machine.requests
        val isAddressed = machine.addr.isNotEmpty() && machine.isTrusted
        return !requests.isInFlight && isAddressed && context.now >= requests.nextRequestAt
    }

    private fun sendPending(machine: Machine) {
        val commands = takeCommands(machine)
        // Deferred commands stay queued and are sent as soon as they are admitted.
        if (machine.requests.pendingCommands.isEmpty()) {
            machinesWithCommands.remove(machine)
        } else {
            hasDeferredStarts = true
        }
        if (commands.isNotEmpty()) send(machine, commands)
    }

    /**
     * Orders machines by the most urgent job with a queued start there: the highest priority first, then the job that
     * has to start earliest.
     */
    private val byUrgency =
        compareByDescending<Machine> { machine ->
            jobsWithPendingStarts(machine).maxOfOrNull { it.effectivePriority }
        }.thenBy { machine -> jobsWithPendingStarts(machine).minOfOrNull { deadlines.latestStart(it) } }

    private fun jobsWithPendingStarts(machine: Machine): List<Job> =
        machine.requests.pendingCommands
            .filterIsInstance<StartTask>()
            .mapNotNull { cluster.jobs[it.key.job] }

    /**
     * Empties the machine's queue and returns the commands that are still wanted and may be sent now; starts that are
     * not admitted stay queued.
     */
    private fun takeCommands(machine: Machine): List<Command> {
        val wanted = withoutRepeats(machine.requests.pendingCommands.filter { isStillWanted(machine, it) })
        val (admitted, deferred) =
            wanted.partition { command ->
                command !is StartTask ||
                    context.hooks.gate.admits(ProposedOrder(command.cause, machine.id, command.key))
            }
        machine.requests.replacePending(deferred)
        admitted.filterIsInstance<StartTask>().forEach { startSent(machine, it) }
        return admitted
    }

    private fun withoutRepeats(commands: List<Command>): List<Command> =
        if (commands.size > 1) commands.distinctBy { it.withoutCause() } else commands

    private fun isStillWanted(machine: Machine, command: Command): Boolean {
        if (command !is StartTask) return true
        val placement = machine.placements[command.key] ?: return false
        val isStored = placement.stage != PlacementStage.PLANNED
        return placement.attempt == command.attempt && isStored && placement.stopCause == null
    }

    private fun startSent(machine: Machine, start: StartTask) {
        machine.requests.starts.add(
            SentStart(start.key, start.attempt, context.token, machine.incarnation, context.now),
        )
        machinesWithUnansweredStarts.add(machine)
        machine.placements[start.key]?.markStartSent(context.now)
    }

    /** Sends commands immediately; a request without commands passes the leader's token to the worker. */
    fun send(machine: Machine, commands: List<Command>, incarnation: Long = machine.incarnation) {
        machine.requests.requestSent(context.now)
        context.countOrders(commands)
        context.addAction(SendCommands(machine.id, machine.addr, context.token, incarnation, commands))
    }

    /** Applies the outcome of a request to the machine. */
    fun requestEnded(machine: Machine, request: SendCommands, outcome: CommandOutcome) {
        val requests = machine.requests
        requests.requestEnded()
        when (outcome) {
            CommandOutcome.DONE, CommandOutcome.REFUSED -> machine.reachability.recordReachable(context.now)
            CommandOutcome.NOT_SENT, CommandOutcome.UNKNOWN -> recordNoResponse(machine)
            CommandOutcome.NOT_TRIED -> Unit
        }
        if (outcome == CommandOutcome.UNKNOWN) {
            requests.delayRequestsUntil(context.now + NO_RESPONSE_RETRY_DELAY)
            return
        }
        if (outcome == CommandOutcome.DONE) {
            request.starts.forEach { requests.starts.markExecuted(it.key, it.attempt, requests.sentAt) }
        }
        // Starts of a request that was executed remain here if they were withheld from it.
        requests.starts.dropUnexecuted(requests.sentAt)
        if (outcome == CommandOutcome.DONE) return
        request.starts.forEach { markStartNotExecuted(machine, it) }
        if (outcome == CommandOutcome.REFUSED && request.token < context.token) {
            // The token was advanced while the request was in flight.
            request.commands.forEach { add(machine, it) }
        } else {
            requests.delayRequestsUntil(context.now + FAILURE_RETRY_DELAY)
        }
    }

    private fun recordNoResponse(machine: Machine) {
        if (!overload.isOverloaded) machine.reachability.recordNoResponse(machine.requests.sentAt ?: context.now)
    }

    private fun markStartNotExecuted(machine: Machine, start: StartTask) {
        val placement = machine.placements[start.key] ?: return
        if (placement.attempt == start.attempt && placement.stage == PlacementStage.STORED) placement.clearStartSent()
    }

    /** Whether a start was unanswered for longer than [START_TIMEOUT], so the fencing token should be advanced. */
    fun hasStaleStart(): Boolean {
        val remaining = machinesWithUnansweredStarts.iterator()
        while (remaining.hasNext()) {
            val machine = remaining.next()
            val starts = machine.requests.starts.unanswered
            if (starts.isEmpty() || machine.id !in cluster.machines) {
                remaining.remove()
            } else if (starts.any { context.now - it.sentAt > START_TIMEOUT }) {
                return true
            }
        }
        return false
    }

    private companion object {
        val START_TIMEOUT = 1.seconds
        val NO_RESPONSE_RETRY_DELAY = 1.seconds
        val FAILURE_RETRY_DELAY = 500.milliseconds
    }
}
