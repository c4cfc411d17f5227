package glenspool.simulation

import glenspool.core.Action
import glenspool.core.CommandOutcome
import glenspool.core.Probe
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
import glenspool.core.SendCommands
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.HeartbeatPosition
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Drives the scheduler alone. A test passes events to it and receives the resulting actions. */
abstract class SchedulerDriver(
    settings: SchedulerConfig = config(peerZones = setOf("b")),
    hooks: SchedulerHooks = SchedulerHooks(),
) {
    protected val core = Scheduler(settings, TOKEN, Duration.ZERO, hooks)
    protected var now = Duration.ZERO

    /** The store's revision, which each stored change increments. */
    protected var revision = 100L
    private val sequences = HashMap<String, Long>()

    /** A probe of the machine, which was sent now, has ended. */
    protected fun Scheduler.probeEnded(machine: String, heartbeat: Heartbeat?, wasSent: Boolean = true) {
        val sentAfter = machines[machine]?.position ?: HeartbeatPosition(0, 0)
        probeEnded(Probe(machine, "addr-$machine", sentAfter), heartbeat, wasSent)
    }

    protected fun step(body: Scheduler.() -> Unit): List<Action> = core.step(now, now, body)

    /** Advances the time in ticks. Returns the actions of all ticks. */
    protected fun advanceTime(time: Duration): List<Action> {
        val actions = ArrayList<Action>()
        val end = now + time
        while (now < end) {
            now += 200.milliseconds
            actions += step { tick() }
        }
        return actions
    }

    private fun zoneOf(machine: String) = if (machine.startsWith("z")) "b" else "a"

    /** Applies a list of the cloud with these machines, of which those in [failed] have failed. */
    protected fun applyCloudList(machines: Collection<String>, failed: Set<String> = emptySet()): List<Action> {
        val listed =
            machines.map { machine ->
                val stage = if (machine in failed) MachineStage.FAILED else MachineStage.RUNNING
                ListedMachine(machine, "addr-$machine", "big", zoneOf(machine), false, stage, 100.seconds)
            }
        return step { machinesListed(listed) }
    }

    /** Creates the next heartbeat of a machine. */
    protected fun heartbeat(
        machine: String,
        tasks: List<TaskStatus> = emptyList(),
        token: Long = TOKEN,
        incarnation: Long = 1,
    ): Heartbeat {
        val sequence = sequences.merge(machine, 1, Long::plus) ?: 1
        val zone = zoneOf(machine)
        return Heartbeat(machine, "addr-$machine", "big", zone, false, incarnation, sequence, token, null, tasks)
    }

    protected fun task(
        job: String,
        number: Int,
        attempt: Long,
        state: TaskState,
        exit: ExitReason? = null,
    ): TaskStatus {
        val key = TaskKey(job, number)
        return TaskStatus(key, attempt, state, exit, false)
    }

    /** Delivers a heartbeat. Returns the commands in the reply and the resulting actions. */
    protected fun receiveHeartbeat(heartbeat: Heartbeat): Pair<List<Command>, List<Action>> {
        var commands: List<Command> = emptyList()
        val actions = step { commands = heartbeatReceived(heartbeat) }
        return commands to actions
    }

    protected fun submit(
        spec: JobSpec,
        placements: List<StoredPlacement> = emptyList(),
        lastAttempt: Long = 0,
        dependencies: List<String> = emptyList(),
    ) = step { jobRecordRead(JobRecord(spec, now, lastAttempt, BitSet(), placements, dependencies), ++revision) }

    /** Delivers heartbeats of machines in zone a, and of [peerZoneMachines] in zone b, which has another controller. */
    protected fun registerMachines(machines: Int = 1, peerZoneMachines: Int = 0): Scheduler {
        step { machineTypesRead(listOf(bigType)) }
        for (number in 1..machines) receiveHeartbeat(heartbeat("m$number"))
        for (number in 1..peerZoneMachines) receiveHeartbeat(heartbeat("z$number"))
        return core
    }

    protected fun singleStoreChanges(actions: List<Action>) = actions.filterIsInstance<StoreChanges>().single()

    /** Reports that the transaction in progress was committed. */
    protected fun confirmTransaction(): List<Action> = step { transactionEnded(StoreOutcome.Stored(++revision)) }

    /** Registers one machine and submits a job of one task. Returns the request that starts the task, unanswered. */
    protected fun sendSingleStart(): SendCommands {
        registerMachines()
        submit(job("a"))
        advanceTime(1.seconds)
        return confirmTransaction().filterIsInstance<SendCommands>().single()
    }

    protected fun List<Action>.starts() =
        filterIsInstance<SendCommands>()
            .flatMap { it.commands }
            .filterIsInstance<StartTask>()

    /** Registers machines and starts one large task on each, so that no machine is returned because it is idle. */
    protected fun startBusyMachines(machines: Int, peerZoneMachines: Int = 0): Map<String, TaskStatus> {
        registerMachines(machines, peerZoneMachines)
        val large = Resources(14.0, 4.0, 50.0)
        submit(job("a", tasks = machines + peerZoneMachines, resourceRequest = large, estimatedDuration = 1000.seconds))
        advanceTime(1.seconds)
        return executePlacements().also { assertEquals(machines + peerZoneMachines, it.size) }
    }

    /** Commits the placements and executes the resulting starts. Returns the running task by machine. */
    protected fun executePlacements(): Map<String, TaskStatus> {
        val running =
            confirmTransaction().filterIsInstance<SendCommands>().associateWith { request ->
                val command = request.commands.single()
                task(command.key.job, command.key.task, command.attempt, TaskState.RUNNING)
            }
        running.forEach { (request, task) ->
            val machine = request.machine
            step { commandsEnded(machine, request, CommandOutcome.DONE, heartbeat(machine, listOf(task))) }
        }
        return running.mapKeys { it.key.machine }
    }

    /** Advances the time while machines send heartbeats. Only requests to [unreachable] machines are not answered. */
    protected fun runWithHeartbeats(
        time: Duration,
        running: Map<String, TaskStatus>,
        unreachable: Set<String>,
    ): List<Action> {
        val actions = ArrayList<Action>()
        val end = now + time
        while (now < end) {
            for ((machine, task) in running) {
                if (machine in core.machines) actions += receiveHeartbeat(heartbeat(machine, listOf(task))).second
            }
            val tickActions = advanceTime(2.seconds)
            actions += tickActions
            for (action in tickActions) {
                when (action) {
                    is Probe -> answerProbe(action, running, unreachable)
                    is SendCommands -> answerCommands(action, running, unreachable)
                    else -> Unit
                }
            }
        }
        return actions
    }

    private fun answerProbe(probe: Probe, running: Map<String, TaskStatus>, unreachable: Set<String>) {
        val machine = probe.machine
        if (machine !in running && machine !in unreachable) return
        step {
            val task = running[machine]?.takeIf { machine !in unreachable }
            probeEnded(machine, task?.let { heartbeat(machine, listOf(it)) })
        }
    }

    private fun answerCommands(request: SendCommands, running: Map<String, TaskStatus>, unreachable: Set<String>) {
        val machine = request.machine
        val isReachable = machine !in unreachable
        val outcome = if (isReachable) CommandOutcome.DONE else CommandOutcome.UNKNOWN
        val answer = if (isReachable) heartbeat(machine, listOfNotNull(running[machine])) else null
        step { commandsEnded(machine, request, outcome, answer) }
    }

    protected companion object {
        const val TOKEN = 5L
    }
}
