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

/** The core alone: a test hands it events, and sees the actions that it decides. */
abstract class SchedulerDriver(
    settings: SchedulerConfig = config(peerZones = setOf("b")),
    hooks: SchedulerHooks = SchedulerHooks(),
) {
    protected val core = Scheduler(settings, TOKEN, Duration.ZERO, hooks)
    protected var now = Duration.ZERO

    /** The store's revision, which the next stored change increases. */
    protected var revision = 100L
    private val sequences = HashMap<String, Long>()

    protected fun step(body: Scheduler.() -> Unit): List<Action> = core.step(now, now, body)

    /** Lets time pass in ticks; returns all that was decided meanwhile. */
    protected fun wait(time: Duration): List<Action> {
        val actions = ArrayList<Action>()
        val end = now + time
        while (now < end) {
            now += 200.milliseconds
            actions += step { tick() }
        }
        return actions
    }

    private fun zoneOf(machine: String) = if (machine.startsWith("z")) "b" else "a"

    /** The cloud lists these machines, of which those in [failed] have failed. */
    protected fun list(machines: Collection<String>, failed: Set<String> = emptySet()): List<Action> {
        val listed =
            machines.map { machine ->
                val stage = if (machine in failed) MachineStage.FAILED else MachineStage.RUNNING
                ListedMachine(machine, "addr-$machine", "big", zoneOf(machine), false, stage, 100.seconds)
            }
        return step { machinesListed(listed) }
    }

    /** The next heartbeat of a machine. */
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

    /** The leader receives a heartbeat; returns the commands it answers with, and the actions it decides. */
    protected fun say(received: Heartbeat): Pair<List<Command>, List<Action>> {
        var commands: List<Command> = emptyList()
        val actions = step { commands = heartbeatReceived(received) }
        return commands to actions
    }

    protected fun submit(
        spec: JobSpec,
        placements: List<StoredPlacement> = emptyList(),
        last: Long = 0,
        dependencies: List<String> = emptyList(),
    ) = step { jobRecordRead(JobRecord(spec, now, last, BitSet(), placements, dependencies), ++revision) }

    /** Machines of zone a, and [others] of zone b, where this node's controllers have another, report. */
    protected fun started(machines: Int = 1, others: Int = 0): Scheduler {
        step { machineTypesRead(listOf(bigType)) }
        for (number in 1..machines) say(heartbeat("m$number"))
        for (number in 1..others) say(heartbeat("z$number"))
        return core
    }

    protected fun store(actions: List<Action>) = actions.filterIsInstance<StoreChanges>().single()

    /** The transaction under way is carried out. */
    protected fun confirm(): List<Action> = step { transactionEnded(StoreOutcome.Stored(++revision)) }

    /** One machine, one job of one task, and the request that starts it there. */
    protected fun commanded(): SendCommands {
        started()
        submit(job("a"))
        wait(1.seconds)
        return confirm().filterIsInstance<SendCommands>().single()
    }

    protected fun List<Action>.starts() =
        filterIsInstance<SendCommands>()
            .flatMap { it.commands }
            .filterIsInstance<StartTask>()

    /** Machines with one large running task each, so that none is returned for want of work. */
    protected fun busy(machines: Int, others: Int = 0): Map<String, TaskStatus> {
        started(machines, others)
        val large = Resources(14.0, 4.0, 50.0)
        submit(job("a", tasks = machines + others, resourceRequest = large, estimatedDuration = 1000.seconds))
        wait(1.seconds)
        return carriedOut().also { assertEquals(machines + others, it.size) }
    }

    /** What was placed is stored, sent and runs: the task on each machine that was sent one. */
    protected fun carriedOut(): Map<String, TaskStatus> {
        val running =
            confirm().filterIsInstance<SendCommands>().associateWith { request ->
                val command = request.commands.single()
                task(command.key.job, command.key.task, command.attempt, TaskState.RUNNING)
            }
        running.forEach { (request, task) ->
            val machine = request.machine
            step { commandsEnded(machine, request, CommandOutcome.DONE, heartbeat(machine, listOf(task))) }
        }
        return running.mapKeys { it.key.machine }
    }

    /** Heartbeats of the machines keep coming; requests to [unreached] end without an answer, others are answered. */
    protected fun live(time: Duration, running: Map<String, TaskStatus>, unreached: Set<String>): List<Action> {
        val actions = ArrayList<Action>()
        val end = now + time
        while (now < end) {
            for ((machine, task) in running) {
                if (machine in core.machines) actions += say(heartbeat(machine, listOf(task))).second
            }
            val decided = wait(2.seconds)
            actions += decided
            for (action in decided) {
                when (action) {
                    is Probe -> answerProbe(action, running, unreached)
                    is SendCommands -> answerCommands(action, running, unreached)
                    else -> Unit
                }
            }
        }
        return actions
    }

    private fun answerProbe(probe: Probe, running: Map<String, TaskStatus>, unreached: Set<String>) {
        val machine = probe.machine
        if (machine !in running && machine !in unreached) return
        step {
            val task = running[machine]?.takeIf { machine !in unreached }
            probeEnded(machine, task?.let { heartbeat(machine, listOf(it)) })
        }
    }

    private fun answerCommands(request: SendCommands, running: Map<String, TaskStatus>, unreached: Set<String>) {
        val machine = request.machine
        val isReached = machine !in unreached
        val outcome = if (isReached) CommandOutcome.DONE else CommandOutcome.UNKNOWN
        val answer = if (isReached) heartbeat(machine, listOfNotNull(running[machine])) else null
        step { commandsEnded(machine, request, outcome, answer) }
    }

    protected companion object {
        const val TOKEN = 5L
    }
}
