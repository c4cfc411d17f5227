package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.MachineType
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import java.util.Random
import kotlin.time.Duration

/** Identifies an attempt of a task. A worker keeps ended attempts until it receives the command to forget them. */
internal data class TaskSlot(val key: TaskKey, val attempt: Long) {
    val job: String get() = key.job
}

/** A task on a worker. [transitionAt] is the time of its next state change without a command. */
internal class WorkerTask(
    val attempt: Long,
    var state: TaskState,
    var transitionAt: Duration,
    var exit: ExitReason? = null,
) {
    val isLive: Boolean get() = exit == null

    fun exit(reason: ExitReason) {
        state = TaskState.EXITED
        exit = reason
    }
}

/** A machine and its worker, with its tasks, its images and its current faults. */
internal class SimulatedWorker(
    private val context: SimulationContext,
    val id: String,
    val type: MachineType,
    val zone: String,
    val isSpot: Boolean,
) {
    var incarnation = 1L
        private set
    private var sequence = 0L

    /** The highest fencing token that the worker has received. */
    var highestToken = 0L
    val tasks = LinkedHashMap<TaskSlot, WorkerTask>()
    val images = HashSet<String>()

    /** Whether the machine has booted. */
    var isUp = false

    /** Whether the machine was deleted or preempted, or was lost by a fault. */
    var isLost = false
    var partitionedUntil = Duration.ZERO
    var hungUntil = Duration.ZERO

    /** The time until which heartbeats of the worker arrive, but no answers and no commands reach it. */
    var unreachableUntil = Duration.ZERO

    /** The time until which heartbeats of the worker are lost, but commands reach it. */
    var heartbeatsLostUntil = Duration.ZERO

    /** The time until which a node that is not the leader answers the heartbeats with the worker's own token. */
    var servedByOtherNodeUntil = Duration.ZERO

    /** The time until which the worker's zone is partitioned and packets to the worker are delayed. */
    var zonePartitionedUntil = Duration.ZERO

    /** Number of restarts. Messages that were in transit before a restart are lost with their connections. */
    var restarts = 0
        private set

    /** The time at which the heartbeat was sent whose answer last renewed the lease. */
    var leaseRenewedAt = context.now

    /** The time at which the cloud preempts the machine, or null if it has not given notice. */
    var preemptionAt: Duration? = null
    val rentedAt = context.now
    val isHanging: Boolean get() = context.now < hungUntil

    /** Whether a command would reach the worker, without regard to [unreachableUntil]. */
    val isReachable: Boolean
        get() = !isLost && isUp && context.now >= partitionedUntil && context.now >= zonePartitionedUntil && !isHanging

    /** Creates the next heartbeat, which is either sent or returned as the answer to a request. */
    fun heartbeat(): Heartbeat {
        val statuses =
            tasks.map { (slot, task) -> TaskStatus(slot.key, task.attempt, task.state, task.exit, false) }
        val timeToPreemption = preemptionAt?.let { it - context.now }
        if (statuses.size > MAX_REPORTED_TASKS) context.recordViolation("$id reports ${statuses.size} tasks")
        return Heartbeat(
            id, "addr-$id", type.name, zone, isSpot,
            incarnation, ++sequence, highestToken, timeToPreemption, statuses,
        )
    }

    /** Returns the slots of the tasks that have not ended. */
    fun liveSlots(): Set<TaskSlot> = tasks.filterValues { it.isLive }.keys

    /** Ends all live tasks of the job as failed. Returns their number. */
    fun failTasksOf(job: String): Int {
        val live = liveSlots().filter { it.job == job }
        live.forEach { tasks.getValue(it).exit(ExitReason.ERROR) }
        return live.size
    }

    /** Ends one of the live tasks as failed, if there is one. */
    fun failRandomTask(random: Random) {
        val live = liveSlots().toList().ifEmpty { return }
        tasks.getValue(live[random.nextInt(live.size)]).exit(ExitReason.ERROR)
    }

    /** Lets the lease expire. All tasks end, and a new incarnation starts. */
    fun expireLease() {
        tasks.clear()
        incarnation++
        leaseRenewedAt = context.now
    }

    /** Restarts the machine immediately. It has no tasks and no images afterwards, and its counters are reset. */
    fun restart() {
        restarts++
        tasks.clear()
        images.clear()
        incarnation = 1
        sequence = 0
        highestToken = 0
    }

    private companion object {
        /** With 100 bytes for a task a report of 64 KiB is full. */
        const val MAX_REPORTED_TASKS = 655
    }
}
