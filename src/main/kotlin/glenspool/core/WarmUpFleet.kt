package glenspool.core

import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A simulated fleet with a separate [Scheduler] that processes placements, starts, heartbeats, results, cancellations
 * and machine lists in simulated time, without effects outside this object. Its purpose is to warm up the code that a
 * leader runs, see `controller.WarmUp`.
 */
class WarmUpFleet(config: SchedulerConfig, hooks: SchedulerHooks = SchedulerHooks()) {
    private class SimulatedTask(val attempt: Long, var remainingCycles: Int)

    private val team = config.teams.maxByOrNull { it.gpusMax ?: Double.MAX_VALUE }?.name ?: ""
    private val zone = config.zones.first()
    private val type = MachineType("any", Resources(8.0, 4.0, 64.0), 100.0, 1.0, 8.0, 2.0, 20.seconds, config.zones)
    private val scheduler =
        Scheduler(config.copy(peerZones = emptySet(), logsDetails = false), 1, Duration.ZERO, hooks)
    private val sequences = LongArray(MACHINES)
    private val tasks = List(MACHINES) { LinkedHashMap<TaskKey, SimulatedTask>() }

    /** The simulated time. */
    var now = Duration.ZERO
        private set
    private var revision = 1L
    private var jobCount = 0

    /** The last heartbeat, used to warm up code outside the scheduler. */
    var lastHeartbeat: Heartbeat = heartbeat(0)
        private set

    /** The last changes to store, used to warm up code outside the scheduler. */
    var lastStoreChanges: StoreChanges? = null
        private set

    /** The number of tasks that were started so far. */
    var startedTasks = 0
        private set

    /** The number of jobs whose final state was stored so far. */
    var endedJobs = 0
        private set

    /** The number of jobs without a final state. */
    val liveJobs: Int get() = scheduler.jobs.size

    init {
        step { machineTypesRead(listOf(type)) }
    }

    /**
     * Runs one cycle of a leader's work: a job is submitted, one may be cancelled, every machine sends a heartbeat, and
     * time passes.
     */
    fun runCycle() {
        now += CYCLE
        submit()
        if (jobCount % JOBS_PER_CANCELLATION == 0) step { jobCancelled("job-${jobCount - 2}", ++revision, now) }
        for (machine in 0 until MACHINES) sendHeartbeat(machine)
        step { tick() }
        // Workers may forget exited tasks only after that, and heartbeats would become long.
        if (jobCount % JOBS_PER_TOKEN_ADVANCE == 0) step { fencingTokenAdvanced(token + 1) }
        if (jobCount % JOBS_PER_LIST == 0) step { machinesListed(List(MACHINES, ::listed)) }
    }

    private fun listed(machine: Int) =
        ListedMachine("m$machine", "m$machine:1", type.name, zone, false, MachineStage.RUNNING, now)

    private fun sendHeartbeat(machine: Int) {
        now += 1.milliseconds
        tasks[machine].values.forEach { it.remainingCycles-- }
        lastHeartbeat = heartbeat(machine)
        var commands = emptyList<Command>()
        step { commands = heartbeatReceived(lastHeartbeat) }
        commands.forEach { execute(machine, it) }
    }

    private fun submit() {
        val spec =
            JobSpec(
                id = "job-${jobCount++}",
                jobClass = "any",
                team = team,
                kind = if (jobCount % JOBS_PER_GANG == 0) JobKind.GANG else JobKind.ARRAY,
                priority = Priority.STANDARD,
                tasks = 1 + jobCount % MAX_TASKS,
                resourceRequest = Resources(1.0, 1.0, 4.0),
                image = "img-${jobCount % IMAGES}",
                imageGb = 1.0,
                types = null,
                zone = null,
                sameZone = false,
                spread = false,
                spot = true,
                estimatedDuration = 3.seconds,
                checkpointInterval = Duration.ZERO,
                checkpointDuration = Duration.ZERO,
                deadline = 30.seconds,
            )
        step { jobRecordRead(JobRecord(spec, now, 0, BitSet(), emptyList()), ++revision) }
    }

    private fun heartbeat(machine: Int): Heartbeat =
        Heartbeat(
            machine = "m$machine",
            addr = "m$machine:1",
            type = type.name,
            zone = zone,
            spot = false,
            incarnation = 1,
            sequence = ++sequences[machine],
            token = scheduler.token,
            preemptionNotice = null,
            tasks = tasks[machine].entries.map { (key, task) -> status(key, task) },
        )

    private fun status(key: TaskKey, task: SimulatedTask): TaskStatus {
        val isRunning = task.remainingCycles > 0
        val state = if (isRunning) TaskState.RUNNING else TaskState.EXITED
        return TaskStatus(key, task.attempt, state, if (isRunning) null else ExitReason.DONE, false)
    }

    private fun execute(machine: Int, command: Command) {
        val tasksOnMachine = tasks[machine]
        when (command) {
            is StartTask -> {
                val task = SimulatedTask(command.attempt, CYCLES_PER_TASK)
                if (tasksOnMachine.putIfAbsent(command.key, task) == null) startedTasks++
            }
            is StopTask -> tasksOnMachine[command.key]?.remainingCycles = 0
            is ForgetTask -> tasksOnMachine.remove(command.key)
        }
    }

    /** Runs one step of the scheduler and answers all resulting actions immediately, as in a cluster without faults. */
    private fun step(event: Scheduler.() -> Unit) {
        val pending = ArrayDeque(scheduler.step(now, now, event))
        var remainingAnswers = MAX_ANSWERS
        while (pending.isNotEmpty() && remainingAnswers-- > 0) {
            val answer = answerTo(pending.removeFirst()) ?: continue
            pending.addAll(scheduler.step(now, now, answer))
        }
    }

    private fun answerTo(action: Action): (Scheduler.() -> Unit)? =
        when (action) {
            is StoreChanges -> {
                lastStoreChanges = action
                endedJobs += action.writes.count { it is StoreFinalState }
                ({ transactionEnded(StoreOutcome.Stored(++revision)) })
            }
            is SendCommands -> {
                val machine = action.machine.drop(1).toInt()
                action.commands.forEach { execute(machine, it) }
                ({ commandsEnded(action.machine, action, CommandOutcome.DONE, heartbeat(machine)) })
            }
            is ScaleOut -> ({ scaleOutRefused(action) })
            is DeleteMachines -> ({ deletionEnded(action.machines, false) })
            is Probe -> ({ probeEnded(action, null, false) })
            is ReadFinalStates -> ({ finalStatesRead(action.jobs, emptyMap()) })
            is AdvanceFencingToken -> ({ fencingTokenAdvanced(token + 1) })
            is Resign, is StoreImageLocations, is ReportViolation, is LogMessage -> null
        }

    private companion object {
        const val MACHINES = 12
        val CYCLE = 250.milliseconds
        const val CYCLES_PER_TASK = 4
        const val MAX_ANSWERS = 50
        const val JOBS_PER_CANCELLATION = 5
        const val JOBS_PER_GANG = 4
        const val JOBS_PER_LIST = 8
        const val JOBS_PER_TOKEN_ADVANCE = 8
        const val MAX_TASKS = 3
        const val IMAGES = 3
    }
}
