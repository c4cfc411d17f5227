package glenspool.standin

import glenspool.core.Action
import glenspool.core.Direct
import glenspool.core.DirectOutcome
import glenspool.core.Probe
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
import glenspool.core.Store
import glenspool.core.StoreOutcome
import glenspool.core.model.Amount
import glenspool.core.model.Command
import glenspool.core.model.Exit
import glenspool.core.model.Intent
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Report
import glenspool.core.model.ReportedTask
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import org.junit.jupiter.api.Assertions.assertEquals
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The core alone, driven by hand: events go in, what it wants done comes out. */
abstract class Driven(
    settings: SchedulerConfig = config(peerZones = setOf("b")),
    hooks: SchedulerHooks = SchedulerHooks(),
) {
    protected val core = Scheduler(settings, TOKEN, Duration.ZERO, hooks)
    protected var now = Duration.ZERO
    protected var revision = 100L
    private val seqs = HashMap<String, Long>()

    protected fun step(body: Scheduler.() -> Unit): List<Action> = core.step(now, now, body)

    protected fun wait(d: Duration): List<Action> {
        val all = ArrayList<Action>()
        val end = now + d
        while (now < end) {
            now += 200.milliseconds
            all += step { tick() }
        }
        return all
    }

    private fun homeOf(machine: String) = if (machine.startsWith("z")) "b" else "a"

    /** What the cloud's list says of the machines. */
    protected fun list(machines: Collection<String>, failed: Set<String> = emptySet()): List<Action> =
        step {
            listed(
                machines.map {
                    ListedMachine(
                        it, "addr-$it", "big", homeOf(it), false,
                        if (it in
                            failed
                        ) {
                            MachineStage.FAILED
                        } else {
                            MachineStage.RUNNING
                        },
                        100.seconds,
                    )
                },
            )
        }

    protected fun report(
        machine: String,
        tasks: List<ReportedTask> = emptyList(),
        token: Long = TOKEN,
        session: Long = 1,
    ) =
        Report(machine, "addr-$machine", "big", homeOf(machine), false, session, seqs.merge(machine, 1, Long::plus) ?: 1, token, null, tasks)

    protected fun task(job: String, n: Int, attempt: Long, state: TaskState, exit: Exit? = null) =
        ReportedTask(TaskKey(job, n), attempt, state, exit, false)

    protected fun say(r: Report): Pair<List<Command>, List<Action>> {
        var commands: List<Command> = emptyList()
        val actions = step { commands = reported(r) }
        return commands to actions
    }

    protected fun submit(
        spec: JobSpec,
        intents: List<Intent> = emptyList(),
        last: Long = 0,
        needs: List<String> = emptyList(),
    ) = step { jobStored(JobRecord(spec, now, last, BitSet(), intents, needs), ++revision) }

    /** Machines of zone a, and of zone b where this node's controllers have another. */
    protected fun started(machines: Int = 1, others: Int = 0): Scheduler {
        step { typesKnown(listOf(bigType)) }
        for (i in 1..machines) say(report("m$i"))
        for (i in 1..others) say(report("z$i"))
        return core
    }

    protected fun store(actions: List<Action>) = actions.filterIsInstance<Store>().single()

    protected fun confirm(): List<Action> = step { stored(StoreOutcome.Stored(++revision)) }

    /** One machine, one job of one task, and the request that starts it there. */
    protected fun commanded(): Direct {
        started()
        submit(job("a"))
        wait(1.seconds)
        return confirm().filterIsInstance<Direct>().single()
    }

    protected fun List<Action>.starts() =
        filterIsInstance<Direct>()
            .flatMap { it.commands }
            .filterIsInstance<StartTask>()

    /** Machines with one large running task each, so that none is returned for want of work. */
    protected fun busy(machines: Int, others: Int = 0): Map<String, ReportedTask> {
        started(machines, others)
        submit(job("a", tasks = machines + others, need = Amount(14.0, 4.0, 50.0), estimate = 1000.seconds))
        wait(1.seconds)
        return carriedOut().also { assertEquals(machines + others, it.size) }
    }

    /** What was placed is stored, sent and runs: the task on each machine that was sent one. */
    protected fun carriedOut(): Map<String, ReportedTask> {
        val running =
            confirm().filterIsInstance<Direct>().associateWith { d ->
                d.commands.single().let { task(it.key.job, it.key.task, it.attempt, TaskState.RUNNING) }
            }
        running.forEach { (d, t) ->
            step { directEnded(d.machine, d, DirectOutcome.DONE, report(d.machine, listOf(t))) }
        }
        return running.mapKeys { it.key.machine }
    }

    /** Reports of the machines keep coming; requests to [unreached] end without an answer, others are answered. */
    protected fun live(d: Duration, running: Map<String, ReportedTask>, unreached: Set<String>): List<Action> {
        val all = ArrayList<Action>()
        val end = now + d
        while (now < end) {
            for ((m, t) in running) if (m in core.machines) all += say(report(m, listOf(t))).second
            val acts = wait(2.seconds)
            all += acts
            for (a in acts) {
                when (a) {
                    is Probe ->
                        if (a.machine in running ||
                            a.machine in unreached
                        ) {
                            step {
                                probed(
                                    a.machine,
                                    running[a.machine]
                                        ?.takeIf {
                                            a.machine !in unreached
                                        }?.let { report(a.machine, listOf(it)) },
                                )
                            }
                        }
                    is Direct -> {
                        val out = a.machine in unreached
                        val answer = if (out) null else report(a.machine, listOfNotNull(running[a.machine]))
                        step {
                            directEnded(a.machine, a, if (out) DirectOutcome.UNKNOWN else DirectOutcome.DONE, answer)
                        }
                    }
                    else -> Unit
                }
            }
        }
        return all
    }

    protected companion object {
        const val TOKEN = 5L
    }
}
