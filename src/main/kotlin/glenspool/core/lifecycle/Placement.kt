package glenspool.core.lifecycle

import glenspool.core.StopCause
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import kotlin.time.Duration

/** The stage of a placement. */
enum class PlacementStage {
    /** The placement was decided and its resources are reserved. It is not stored yet, so no command may be sent. */
    PLANNED,

    /** The placement is stored. The start command may have been sent, so the task may be on its machine. */
    STORED,

    /** A heartbeat has shown the task on its machine. */
    OBSERVED,
}

/**
 * One attempt of a task on one machine. A placement reserves resources, quota and zone from before its start command is
 * sent until there is proof that the task is gone from the machine.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: String, val createdAt: Duration) {
    val key = TaskKey(job.spec.id, task)
    var stage = PlacementStage.PLANNED
        private set

    /** The task's state as last shown by a heartbeat. */
    var taskState: TaskState? = null
        private set
    var runningSince: Duration? = null
        private set

    /** When the start command was last sent; null if it was never sent or was certainly not executed. */
    var startSentAt: Duration? = null
        private set
    val wasStartSent: Boolean get() = startSentAt != null

    /** Since when it waits for its machine to become ready for a restart; null if it does not. */
    var awaitsMachineSince: Duration? = null
        private set

    /** Whether the start waits until the gang's other tasks have their image. A waiting task exits after some time. */
    var isDeferred = false

    /** Why the task is being stopped, or null if it is not. */
    var stopCause: StopCause? = null
        private set
    var stopGrace: Duration = Duration.ZERO
        private set

    /** When the stop command was last sent. */
    var stopSentAt: Duration? = null
        private set

    /** The part of the job's record in which the placement is stored, see [PlacementParts]. */
    var part = PlacementParts.RECORD

    /** Marks the placement as stored by an earlier leader, which may have sent the start command. */
    fun markRestored(now: Duration) {
        stage = PlacementStage.STORED
        startSentAt = now
    }

    /** Marks the placement as stored, so that the start command may be sent. */
    fun markStored() {
        stage = PlacementStage.STORED
    }

    /** Records that the start command was sent. */
    fun markStartSent(now: Duration) {
        startSentAt = now
    }

    /** Records that the start command was certainly not executed. */
    fun clearStartSent() {
        startSentAt = null
    }

    /** Records that the task is missing, and is to be restarted as soon as its machine is ready. */
    fun awaitMachine(now: Duration) {
        if (awaitsMachineSince == null) awaitsMachineSince = now
    }

    /** Prepares another start of the task under the same placement and attempt. */
    fun resetForRestart() {
        awaitsMachineSince = null
        stage = PlacementStage.STORED
        taskState = null
        runningSince = null
        startSentAt = null
    }

    /** Records the state in a heartbeat. Returns whether it shows the task as running for the first time. */
    fun markObserved(state: TaskState, now: Duration): Boolean {
        stage = PlacementStage.OBSERVED
        awaitsMachineSince = null
        if (startSentAt == null) startSentAt = now
        taskState = state
        val beginsToRun = state == TaskState.RUNNING && runningSince == null
        if (beginsToRun) runningSince = now
        return beginsToRun
    }

    /** Requests a stop of the task, which replaces any earlier stop request. */
    fun requestStop(cause: StopCause, grace: Duration) {
        stopCause = cause
        stopGrace = grace
        stopSentAt = null
    }

    /** Records that the stop command was sent. */
    fun markStopSent(now: Duration) {
        stopSentAt = now
    }

    /** Returns the placement in the form in which it is stored. */
    fun toStored() = StoredPlacement(task, attempt, machine)

    /** Identifies the placement in log lines. */
    override fun toString() = "${key.job}/$task attempt=$attempt"
}
