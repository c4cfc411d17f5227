package glenspool.core

import glenspool.core.model.Amount
import glenspool.core.model.Command
import glenspool.core.model.Exit
import glenspool.core.model.ForgetTask
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Report
import glenspool.core.model.ReportedTask
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A made-up fleet that a [Scheduler] of its own leads: it gets places, starts, reports, results, cancellations and
 * lists, in made-up time. Nothing of it leaves this object. It is there to run the code that a leader runs (see
 * `controller.WarmUp`).
 */
class Rehearsing(config: SchedulerConfig, hooks: SchedulerHooks = SchedulerHooks()) {
    private class Standing(val attempt: Long, var left: Int)

    private val team = config.teams.maxByOrNull { it.gpusMax ?: Double.MAX_VALUE }?.name ?: ""
    private val zone = config.zones.first()
    private val type = MachineType("any", Amount(8.0, 4.0, 64.0), 100.0, 1.0, 8.0, 2.0, 20.seconds, config.zones)
    private val core = Scheduler(config.copy(peerZones = emptySet(), notes = false), 1, Duration.ZERO, hooks)
    private val seqs = LongArray(MACHINES)
    private val tasks = List(MACHINES) { LinkedHashMap<TaskKey, Standing>() }

    /** The made-up time. */
    var now = Duration.ZERO
        private set
    private var revision = 1L
    private var jobs = 0

    /** What the code outside the core is rehearsed with. */
    var lastReport: Report = report(0)
        private set
    var lastStore: Store? = null
        private set

    /** Tasks that were started, and jobs that came to their end, so far. */
    var started = 0
        private set
    var ended = 0
        private set

    /** Jobs that are not over. */
    val open: Int get() = core.jobs.size

    init {
        step { typesKnown(listOf(type)) }
    }

    /** A moment of a leader's life: every machine reports, a few jobs come, one is cancelled. */
    fun turn() {
        now += 250.milliseconds
        submit()
        if (jobs % 5 == 0) step { jobCancelled("job-${jobs - 2}", ++revision, now) }
        for (m in 0 until MACHINES) {
            now += 1.milliseconds
            tasks[m].values.forEach { it.left-- }
            lastReport = report(m)
            var commands = emptyList<Command>()
            step { commands = reported(lastReport) }
            commands.forEach { carryOut(m, it) }
        }
        step { tick() }
        if (jobs % 8 ==
            0
        ) {
            step {
                listed(
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
                "job-${jobs++}", "any", team, kind, Priority.STANDARD, 1 + jobs % 3, Amount(1.0, 1.0, 4.0), "img-${jobs % 3}", 1.0,
                null, null, false, false, true, 3.seconds, Duration.ZERO, Duration.ZERO, 30.seconds,
            )
        step { jobStored(JobRecord(spec, now, 0, BitSet(), emptyList()), ++revision) }
    }

    private fun report(m: Int): Report =
        Report(
            "m$m", "m$m:1", type.name, zone, false, 1, ++seqs[m], core.token, null,
            tasks[m].entries.map { (k, s) ->
                if (s.left >
                    0
                ) {
                    ReportedTask(k, s.attempt, TaskState.RUNNING, null, false)
                } else {
                    ReportedTask(k, s.attempt, TaskState.EXITED, Exit.DONE, false)
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
                    is Store -> {
                        lastStore = a
                        ended += a.writes.count { it is FinishJob }
                        core.step(now, now) { stored(StoreOutcome.Stored(++revision)) }
                    }
                    is Direct -> {
                        val m = a.machine.drop(1).toInt()
                        a.commands.forEach { carryOut(m, it) }
                        core.step(now, now) { directEnded(a.machine, a, DirectOutcome.DONE, report(m)) }
                    }
                    is Rent -> core.step(now, now) { rentRefused(a) }
                    is Delete -> core.step(now, now) { deletionEnded(a.machines, false) }
                    is Probe -> core.step(now, now) { probed(a.machine, null, false) }
                    is AskEnds -> core.step(now, now) { endsRead(a.jobs, emptyMap()) }
                    is RaiseToken -> core.step(now, now) { tokenRaised(null) }
                    is Resign, is SaveImages, is Note -> emptyList()
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
