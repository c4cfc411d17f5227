package glenspool.core

import glenspool.core.model.Heartbeat
import glenspool.core.model.HeartbeatPosition
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A scheduler whose actions are executed immediately on a fleet without faults, with counts of these actions. */
class LargeFleet(hooks: SchedulerHooks = SchedulerHooks()) {
    val core = Scheduler(config(), TOKEN, Duration.ZERO, hooks)
    var now = Duration.ZERO

    /** The running and exited tasks of each machine that was ever sent one. */
    val tasksByMachine = HashMap<String, HashMap<TaskKey, TaskStatus>>()
    var storedChanges = 0
        private set
    var startedTasks = 0
        private set
    var deletedMachines = 0
        private set
    var probes = 0
        private set
    private var revision = 10L
    private val sequences = HashMap<String, Long>()

    fun nextRevision(): Long = ++revision

    fun step(body: Scheduler.() -> Unit) {
        val pending = ArrayDeque(core.step(now, now, body))
        while (true) {
            when (val action = pending.removeFirstOrNull() ?: return) {
                is StoreChanges -> pending.addAll(store(action))
                is SendCommands -> pending.addAll(execute(action))
                is DeleteMachines -> deletedMachines += action.machines.size
                is Probe -> probes++
                else -> Unit
            }
        }
    }

    private fun store(changes: StoreChanges): List<Action> {
        storedChanges += changes.writes.sumOf { write -> if (write is StoreFinalState) 2 else 1 }
        return core.step(now, now) { transactionEnded(StoreOutcome.Stored(nextRevision())) }
    }

    private fun execute(request: SendCommands): List<Action> {
        for (command in request.commands) {
            if (command !is StartTask) continue
            startedTasks++
            val tasks = tasksByMachine.getOrPut(request.machine) { HashMap() }
            tasks[command.key] = TaskStatus(command.key, command.attempt, TaskState.RUNNING, null, false)
        }
        return core.step(now, now) {
            commandsEnded(request.machine, request, CommandOutcome.DONE, heartbeat(request.machine))
        }
    }

    fun heartbeat(machine: String): Heartbeat {
        val zone = if (machine.hashCode() % 2 == 0) "a" else "b"
        val sequence = sequences.merge(machine, 1, Long::plus) ?: 1
        val tasks = tasksByMachine[machine]?.values?.toList().orEmpty()
        return Heartbeat(machine, "addr-$machine", "big", zone, false, 1, sequence, TOKEN, null, tasks)
    }

    /** Delivers the answer of a machine to a probe. */
    fun answerProbe(machine: String) =
        step {
            val sentAfter = machines[machine]?.position ?: HeartbeatPosition(0, 0)
            probeEnded(Probe(machine, machine, sentAfter), heartbeat(machine))
        }

    fun sendHeartbeat(machine: String) = step { heartbeatReceived(heartbeat(machine)) }

    fun submit(spec: JobSpec) = step { jobRecordRead(JobRecord(spec, now, 0, BitSet(), emptyList()), nextRevision()) }

    /** Stores a job with one task running on each of [machines]. */
    fun submitRunning(spec: JobSpec, machines: List<String>) {
        val placements = machines.mapIndexed { index, machine -> StoredPlacement(index, index + 1L, machine) }
        step { jobRecordRead(JobRecord(spec, now, machines.size.toLong(), BitSet(), placements), nextRevision()) }
        for (placement in placements) {
            val key = TaskKey(spec.id, placement.task)
            val status = TaskStatus(key, placement.attempt, TaskState.RUNNING, null, false)
            tasksByMachine[placement.machine] = hashMapOf(key to status)
        }
    }

    /** Lists the machines, each of which runs a task that needs all of it. */
    fun startFull(machines: List<String>) {
        step { machineTypesRead(listOf(bigType)) }
        machines.chunked(8).forEachIndexed { number, machinesOfJob ->
            val wholeMachine = Resources(14.0, 4.0, 50.0)
            val spec = job("j$number", tasks = 8, resourceRequest = wholeMachine, estimatedDuration = 1000.seconds)
            submitRunning(spec, machinesOfJob)
        }
        list(machines)
    }

    /** Delivers a list of the cloud with these machines. */
    fun list(machines: List<String>) {
        val listed =
            machines.map { ListedMachine(it, "addr-$it", "big", "a", false, MachineStage.RUNNING, 100.seconds) }
        step { machinesListed(listed) }
    }

    /** Simulates half a minute with twice as many tasks as fit, each of which takes a quarter of a machine. */
    fun fill(machines: Int, jobs: Int) {
        step { machineTypesRead(listOf(bigType)) }
        for (number in 1..machines) sendHeartbeat("m$number")
        for (number in 1..jobs) {
            submit(
                job(
                    "j$number", tasks = 8, resourceRequest = Resources(4.0, 1.0, 16.0), image = "i${number % 7}",
                    priority = Priority.entries[number % 2], estimatedDuration = 100.seconds,
                ),
            )
        }
        repeat(120) { round ->
            now += 250.milliseconds
            if (round % 4 == 0) tasksByMachine.keys.toList().forEach(::sendHeartbeat)
            step { tick() }
        }
    }

    companion object {
        const val TOKEN = 5L
    }
}
