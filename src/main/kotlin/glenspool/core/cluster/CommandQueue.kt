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

/** Commands on their way to machines: one request to a machine at a time; only machines with commands are looked at. */
class CommandQueue(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val overload: OverloadMonitor,
) {
    private val machinesWithCommands = LinkedHashSet<Machine>()
    private val machinesWithUnconfirmedStarts = LinkedHashSet<Machine>()

    /** Whether starts had to wait at the last [flush]: the most urgent go first then. */
    private var wereStartsHeld = false

    /** Lets a command wait for the next request to the machine. */
    fun add(machine: Machine, command: Command) {
        machine.requests.add(command)
        machinesWithCommands.add(machine)
    }

    /** Stops a task. A cancellation overrides any other cause; otherwise the first one stands. */
    fun stop(placement: Placement, cause: StopCause, grace: Duration) {
        val overrides = cause == StopCause.CANCELLED && placement.stopCause != StopCause.CANCELLED
        if (placement.stopCause != null && !overrides) return
        context.log { "stop task=$placement machine=${placement.machine} reason=$cause grace=$grace" }
        placement.stopRequested(cause, grace)
        val machine = cluster.machines[placement.machine] ?: return
        if (placement.stage == PlacementStage.PLANNED) return
        add(machine, StopTask(placement.key, placement.attempt, grace, cause))
        placement.stopSent(context.now)
    }

    /** Sends what may be sent now. */
    fun flush() {
        if (machinesWithCommands.isEmpty()) return
        val machines =
            if (wereStartsHeld) machinesWithCommands.sortedWith(byUrgency) else machinesWithCommands.toList()
        wereStartsHeld = false
        for (machine in machines) {
            context.workCounters.commandScans++
            if (machine.requests.pendingCommands.isEmpty() || machine.isDeleting) {
                machinesWithCommands.remove(machine)
            } else if (mayBeSent(machine)) {
                sendPending(machine)
            }
        }
    }

    private fun mayBeSent(machine: Machine): Boolean {
        val requests = machine.requests
        val isAddressed = machine.addr.isNotEmpty() && machine.isTrusted
        return !requests.isInFlight && isAddressed && context.now >= requests.nextRequestAt
    }

    private fun sendPending(machine: Machine) {
        val commands = takeCommands(machine)
        // What is held back goes out as soon as it may.
        if (machine.requests.pendingCommands.isEmpty()) {
            machinesWithCommands.remove(machine)
        } else {
            wereStartsHeld = true
        }
        if (commands.isNotEmpty()) send(machine, commands)
    }

    /** By the most urgent job that waits for a start there: highest priority, then the one that has to start first. */
    private val byUrgency =
        compareByDescending<Machine> { machine ->
            jobsWithPendingStarts(machine).maxOfOrNull { it.effectivePriority }
        }.thenBy { machine -> jobsWithPendingStarts(machine).minOfOrNull { deadlines.latestStart(it) } }

    private fun jobsWithPendingStarts(machine: Machine): List<Job> =
        machine.requests.pendingCommands
            .filterIsInstance<StartTask>()
            .mapNotNull { cluster.jobs[it.key.job] }

    /** The machine's commands that are still wanted and may be sent now; starts that have to wait stay with it. */
    private fun takeCommands(machine: Machine): List<Command> {
        val wanted = withoutRepeats(machine.requests.pendingCommands.filter { isStillWanted(machine, it) })
        val (admitted, held) =
            wanted.partition { command ->
                command !is StartTask ||
                    context.hooks.gate.admits(ProposedOrder(command.cause, machine.id, command.key))
            }
        machine.requests.replacePending(held)
        admitted.filterIsInstance<StartTask>().forEach { startSent(machine, it) }
        return admitted
    }

    private fun withoutRepeats(commands: List<Command>) =
        if (commands.size >
            1
        ) {
            commands.distinctBy { it.withoutCause() }
        } else {
            commands
        }

    private fun isStillWanted(machine: Machine, command: Command): Boolean {
        if (command !is StartTask) return true
        val placement = machine.placements[command.key] ?: return false
        val isStored = placement.stage != PlacementStage.PLANNED
        return placement.attempt == command.attempt && isStored && placement.stopCause == null
    }

    private fun startSent(machine: Machine, start: StartTask) {
        val unconfirmed =
            UnconfirmedStart(start.key, start.attempt, context.token, machine.incarnation, context.now)
        machine.requests.startSent(unconfirmed)
        machinesWithUnconfirmedStarts.add(machine)
        machine.placements[start.key]?.startSent(context.now)
    }

    /** Sends commands at once; with none, the request tells the worker the leader's token. */
    fun send(machine: Machine, commands: List<Command>) {
        machine.requests.requestSent(context.now)
        context.countOrders(commands)
        context.act(SendCommands(machine.id, machine.addr, context.token, machine.incarnation, commands))
    }

    /** A request to the machine has ended. */
    fun requestEnded(machine: Machine, request: SendCommands, outcome: CommandOutcome) {
        val requests = machine.requests
        requests.requestEnded()
        when (outcome) {
            CommandOutcome.DONE, CommandOutcome.REFUSED -> machine.reachability.recordReachable(context.now)
            CommandOutcome.NOT_SENT, CommandOutcome.UNKNOWN -> noteNoAnswer(machine)
            CommandOutcome.NOT_TRIED -> Unit
        }
        if (outcome == CommandOutcome.UNKNOWN) {
            requests.delayRequestsUntil(context.now + PAUSE_AFTER_NO_ANSWER)
            return
        }
        requests.confirmLastRequest(request.token, request.incarnation)
        if (outcome == CommandOutcome.DONE) return
        requests.delayRequestsUntil(context.now + PAUSE_AFTER_REFUSAL)
        request.commands.filterIsInstance<StartTask>().forEach { startNotCarriedOut(machine, it) }
    }

    private fun noteNoAnswer(machine: Machine) {
        if (!overload.isOverloaded) machine.reachability.recordNoResponse(machine.requests.sentAt ?: context.now)
    }

    private fun startNotCarriedOut(machine: Machine, start: StartTask) {
        val placement = machine.placements[start.key] ?: return
        if (placement.attempt == start.attempt && placement.stage == PlacementStage.STORED) placement.startNotSent()
    }

    /** Whether a start has been without an answer for so long that the fencing token should be advanced. */
    fun hasStaleStart(): Boolean {
        val remaining = machinesWithUnconfirmedStarts.iterator()
        while (remaining.hasNext()) {
            val machine = remaining.next()
            val starts = machine.requests.unconfirmedStarts
            if (starts.isEmpty() || machine.id !in cluster.machines) {
                remaining.remove()
            } else if (starts.any { context.now - it.since > START_TIMEOUT }) {
                return true
            }
        }
        return false
    }

    private companion object {
        val START_TIMEOUT = 1.seconds
        val PAUSE_AFTER_NO_ANSWER = 1.seconds
        val PAUSE_AFTER_REFUSAL = 500.milliseconds
    }
}
