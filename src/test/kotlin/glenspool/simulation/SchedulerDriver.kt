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

/** The core alone, driven by hand: events go in, what it wants done comes out. */
abstract class SchedulerDriver(
    settings: SchedulerConfig = config(peerZones = setOf("b")),
    hooks: SchedulerHooks = SchedulerHooks(),
) {
    protected val core = Scheduler(settings, TOKEN, Duration.ZERO, hooks)
    protected var now = Duration.ZERO
    protected var revision = 100L
    private val sequences = HashMap<String, Long>()

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
            machinesListed(
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

    protected fun heartbeat(
        machine: String,
        tasks: List<TaskStatus> = emptyList(),
        token: Long = TOKEN,
        incarnation: Long = 1,
    ) = Heartbeat(machine, "addr-$machine", "big", homeOf(machine), false, incarnation, sequences.merge(machine, 1, Long::plus) ?: 1, token, null, tasks)

    protected fun task(job: String, n: Int, attempt: Long, state: TaskState, exit: ExitReason? = null) = TaskStatus(TaskKey(job, n), attempt, state, exit, false)

    protected fun say(r: Heartbeat): Pair<List<Command>, List<Action>> {
        var commands: List<Command> = emptyList()
        val actions = step { commands = heartbeatReceived(r) }
        return commands to actions
    }

    protected fun submit(
        spec: JobSpec,
        placements: List<StoredPlacement> = emptyList(),
        last: Long = 0,
        dependencies: List<String> = emptyList(),
    ) = step { jobStored(JobRecord(spec, now, last, BitSet(), placements, dependencies), ++revision) }

    /** Machines of zone a, and of zone b where this node's controllers have another. */
    protected fun started(machines: Int = 1, others: Int = 0): Scheduler {
        step { machineTypesKnown(listOf(bigType)) }
        for (i in 1..machines) say(heartbeat("m$i"))
        for (i in 1..others) say(heartbeat("z$i"))
        return core
    }

    protected fun store(actions: List<Action>) = actions.filterIsInstance<StoreChanges>().single()

    protected fun confirm(): List<Action> = step { storeEnded(StoreOutcome.Stored(++revision)) }

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
        submit(job("a", tasks = machines + others, resourceRequest = Resources(14.0, 4.0, 50.0), estimatedDuration = 1000.seconds))
        wait(1.seconds)
        return carriedOut().also { assertEquals(machines + others, it.size) }
    }

    /** What was placed is stored, sent and runs: the task on each machine that was sent one. */
    protected fun carriedOut(): Map<String, TaskStatus> {
        val running =
            confirm().filterIsInstance<SendCommands>().associateWith { d ->
                d.commands.single().let { task(it.key.job, it.key.task, it.attempt, TaskState.RUNNING) }
            }
        running.forEach { (d, t) ->
            step { commandsEnded(d.machine, d, CommandOutcome.DONE, heartbeat(d.machine, listOf(t))) }
        }
        return running.mapKeys { it.key.machine }
    }

    /** Reports of the machines keep coming; requests to [unreached] end without an answer, others are answered. */
    protected fun live(d: Duration, running: Map<String, TaskStatus>, unreached: Set<String>): List<Action> {
        val all = ArrayList<Action>()
        val end = now + d
        while (now < end) {
            for ((m, t) in running) if (m in core.machines) all += say(heartbeat(m, listOf(t))).second
            val acts = wait(2.seconds)
            all += acts
            for (a in acts) {
                when (a) {
                    is Probe ->
                        if (a.machine in running ||
                            a.machine in unreached
                        ) {
                            step {
                                probeEnded(
                                    a.machine,
                                    running[a.machine]
                                        ?.takeIf {
                                            a.machine !in unreached
                                        }?.let { heartbeat(a.machine, listOf(it)) },
                                )
                            }
                        }
                    is SendCommands -> {
                        val out = a.machine in unreached
                        val answer = if (out) null else heartbeat(a.machine, listOfNotNull(running[a.machine]))
                        step {
                            commandsEnded(a.machine, a, if (out) CommandOutcome.UNKNOWN else CommandOutcome.DONE, answer)
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
