package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.MachineType
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration

/** Tells attempts of a task apart: a worker knows ended attempts until it is told to forget them. */
internal data class TaskSlot(val key: TaskKey, val attempt: Long) {
    val job: String get() = key.job
}

/** A task on a worker. [transitionAt]: when it next changes state by itself. */
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

/** A machine and its worker: what is on it, and which faults hold it at present. */
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

    /** The highest fencing token seen. */
    var highestToken = 0L
    val tasks = LinkedHashMap<TaskSlot, WorkerTask>()
    val images = HashSet<String>()

    /** Whether the machine has booted. */
    var isUp = false

    /** Whether the machine was deleted, evicted or has died. */
    var isLost = false
    var partitionedUntil = Duration.ZERO
    var hungUntil = Duration.ZERO

    /** Until then its heartbeats arrive, but no answer and no command reaches it. */
    var unreachableUntil = Duration.ZERO

    /** Until then its heartbeats are lost, but commands reach it. */
    var heartbeatsLostUntil = Duration.ZERO

    /** Until then another node, which does not lead, answers its heartbeats with the worker's own token. */
    var servedByOtherNodeUntil = Duration.ZERO

    /** Until then its zone is cut off, and the packets to it are held. */
    var zonePartitionedUntil = Duration.ZERO

    /** Counts restarts: what was on its way to the machine before is lost with its connections. */
    var restarts = 0
        private set

    /** When the heartbeat was sent whose answer renewed the lease last. */
    var leaseRenewedAt = context.now

    /** When the cloud evicts the machine, once it has given notice of that. */
    var preemptionAt: Duration? = null
    val rentedAt = context.now
    val isHanging: Boolean get() = context.now < hungUntil

    /** Whether a command would reach the worker, apart from [unreachableUntil]. */
    val isReachable: Boolean
        get() = !isLost && isUp && context.now >= partitionedUntil && context.now >= zonePartitionedUntil && !isHanging

    /** Makes the next heartbeat, whether it is sent or answers a request. */
    fun heartbeat(): Heartbeat {
        val statuses =
            tasks.map { (slot, task) -> TaskStatus(slot.key, task.attempt, task.state, task.exit, false) }
        val timeToEviction = preemptionAt?.let { it - context.now }
        return Heartbeat(
            id, "addr-$id", type.name, zone, isSpot,
            incarnation, ++sequence, highestToken, timeToEviction, statuses,
        )
    }

    /** Slots of the tasks that have not ended. */
    fun liveSlots(): Set<TaskSlot> = tasks.filterValues { it.isLive }.keys

    /** The lease expires: all tasks end with the incarnation. */
    fun expireLease() {
        tasks.clear()
        incarnation++
        leaseRenewedAt = context.now
    }

    /** The machine restarts within a moment: nothing is left on it, and its counters begin anew. */
    fun restart() {
        restarts++
        tasks.clear()
        images.clear()
        incarnation = 1
        sequence = 0
        highestToken = 0
    }
}
