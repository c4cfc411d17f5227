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
 * A made-up fleet that a [Scheduler] of its own leads: it gets places, starts, reports, results, cancellations and
 * lists, in made-up time. Nothing of it leaves this object. It is there to run the code that a leader runs (see
 * `controller.WarmUp`).
 */
class WarmUpFleet(config: SchedulerConfig, hooks: SchedulerHooks = SchedulerHooks()) {
    private class Standing(val attempt: Long, var left: Int)

    private val team = config.teams.maxByOrNull { it.gpusMax ?: Double.MAX_VALUE }?.name ?: ""
    private val zone = config.zones.first()
    private val type = MachineType("any", Resources(8.0, 4.0, 64.0), 100.0, 1.0, 8.0, 2.0, 20.seconds, config.zones)
    private val core = Scheduler(config.copy(peerZones = emptySet(), notes = false), 1, Duration.ZERO, hooks)
    private val sequences = LongArray(MACHINES)
    private val tasks = List(MACHINES) { LinkedHashMap<TaskKey, Standing>() }

    /** The made-up time. */
    var now = Duration.ZERO
        private set
    private var revision = 1L
    private var jobs = 0

    /** What the code outside the core is rehearsed with. */
    var lastHeartbeat: Heartbeat = heartbeat(0)
        private set
    var lastStore: StoreChanges? = null
        private set

    /** Tasks that were started, and jobs that came to their end, so far. */
    var started = 0
        private set
    var ended = 0
        private set

    /** Jobs that are not over. */
    val open: Int get() = core.jobs.size

    init {
        step { machineTypesKnown(listOf(type)) }
    }

    /** A moment of a leader's life: every machine reports, a few jobs come, one is cancelled. */
    fun turn() {
        now += 250.milliseconds
        submit()
        if (jobs % 5 == 0) step { jobCancelled("job-${jobs - 2}", ++revision, now) }
        for (m in 0 until MACHINES) {
            now += 1.milliseconds
            tasks[m].values.forEach { it.left-- }
            lastHeartbeat = heartbeat(m)
            var commands = emptyList<Command>()
            step { commands = heartbeatReceived(lastHeartbeat) }
            commands.forEach { carryOut(m, it) }
        }
        step { tick() }
        if (jobs % 8 ==
            0
        ) {
            step {
                machinesListed(
                    (0 until MACHINES).map {
                        ListedMachine("m$it", "m$it:1", type.name, zone, false, MachineStage.RUNNING, now)
                    },
                )
            }
        }
    }

    private fun submit() {
        val kind = if (jobs % 4 == 3) JobKind.GANG else JobKind.ARRAY
        val spec =
            JobSpec(
                "job-${jobs++}", "any", team, kind, Priority.STANDARD, 1 + jobs % 3, Resources(1.0, 1.0, 4.0), "img-${jobs % 3}", 1.0,
                null, null, false, false, true, 3.seconds, Duration.ZERO, Duration.ZERO, 30.seconds,
            )
        step { jobStored(JobRecord(spec, now, 0, BitSet(), emptyList()), ++revision) }
    }

    private fun heartbeat(m: Int): Heartbeat =
        Heartbeat(
            "m$m", "m$m:1", type.name, zone, false, 1, ++sequences[m], core.token, null,
            tasks[m].entries.map { (k, s) ->
                if (s.left >
                    0
                ) {
                    TaskStatus(k, s.attempt, TaskState.RUNNING, null, false)
                } else {
                    TaskStatus(k, s.attempt, TaskState.EXITED, ExitReason.DONE, false)
                }
            },
        )

    private fun carryOut(m: Int, c: Command) {
        when (c) {
            is StartTask -> if (tasks[m].putIfAbsent(c.key, Standing(c.attempt, TURNS_A_TASK)) == null) started++
            is StopTask -> tasks[m][c.key]?.left = 0
            is ForgetTask -> tasks[m].remove(c.key)
        }
    }

    /** What the core wants is answered at once, as by a world without troubles. */
    private fun step(event: Scheduler.() -> Unit) {
        val open = ArrayDeque(core.step(now, now, event))
        var left = MOST_ANSWERS
        while (open.isNotEmpty() && left-- > 0) {
            val a = open.removeFirst()
            open.addAll(
                when (a) {
                    is StoreChanges -> {
                        lastStore = a
                        ended += a.writes.count { it is StoreFinalState }
                        core.step(now, now) { storeEnded(StoreOutcome.Stored(++revision)) }
                    }
                    is SendCommands -> {
                        val m = a.machine.drop(1).toInt()
                        a.commands.forEach { carryOut(m, it) }
                        core.step(now, now) { commandsEnded(a.machine, a, CommandOutcome.DONE, heartbeat(m)) }
                    }
                    is ScaleOut -> core.step(now, now) { scaleOutRefused(a) }
                    is DeleteMachines -> core.step(now, now) { deletionEnded(a.machines, false) }
                    is Probe -> core.step(now, now) { probeEnded(a.machine, null, false) }
                    is ReadFinalStates -> core.step(now, now) { finalStatesRead(a.jobs, emptyMap()) }
                    is AdvanceFencingToken -> core.step(now, now) { fencingTokenAdvanced(null) }
                    is Resign, is StoreImageLocations, is LogMessage -> emptyList()
                },
            )
        }
    }

    private companion object {
        const val MACHINES = 12
        const val TURNS_A_TASK = 4
        const val MOST_ANSWERS = 50
    }
}
