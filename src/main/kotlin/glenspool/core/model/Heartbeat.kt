package glenspool.core.model

import kotlin.time.Duration

/** The state of a task on a machine, as its worker reports it. */
enum class TaskState { FETCHING, WAITING, RUNNING, CHECKPOINTING, EXITED }

/** Why a task exited, or was refused. */
enum class ExitReason {
    DONE,
    STOPPED,

    /** Another task of its gang was lost. */
    GANG_BROKEN,

    /** The other tasks of its gang were not ready in time. */
    GANG_INCOMPLETE,
    ERROR,

    /** Refused: the machine has not enough free resources. */
    INSUFFICIENT_RESOURCES,

    /** Refused: another attempt of the task is on the machine. */
    ALREADY_PRESENT,

    /** Refused: the job or task is unknown to the worker. */
    UNKNOWN,
}

/** One task in a heartbeat. [checkpointed]: whether the task saved its progress when it was stopped. */
data class TaskStatus(
    val key: TaskKey,
    val attempt: Long,
    val state: TaskState,
    val exit: ExitReason?,
    val checkpointed: Boolean,
)

/** Orders the messages of one worker process by [incarnation], then by [sequence]; the higher one is newer. */
data class HeartbeatPosition(val incarnation: Long, val sequence: Long) : Comparable<HeartbeatPosition> {
    override fun compareTo(other: HeartbeatPosition): Int =
        compareValuesBy(this, other, HeartbeatPosition::incarnation, HeartbeatPosition::sequence)
}

/** A worker's heartbeat with the status of its tasks. */
data class Heartbeat(
    val machine: String,
    val addr: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** Increases whenever the worker's lease expires; commands to an earlier incarnation are invalid. */
    val incarnation: Long,
    /** Orders the heartbeats of one incarnation. */
    val sequence: Long,
    /** The highest fencing token that the worker has seen. */
    val token: Long,
    /** The time until the cloud preempts the machine, or null without a preemption notice. */
    val preemptionNotice: Duration?,
    val tasks: List<TaskStatus>,
) {
    val position: HeartbeatPosition get() = HeartbeatPosition(incarnation, sequence)
}
