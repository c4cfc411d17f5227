package glenspool.core.lifecycle

import glenspool.core.StopCause
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import kotlin.time.Duration

/** How far a placement has come. */
enum class PlacementStage {
    /** Decided and reserved; not stored yet, so no command may be sent. */
    PLANNED,

    /** Stored; the start command may have been sent, so the task may be on its machine. */
    STORED,

    /** A heartbeat has shown the task on its machine. */
    OBSERVED,
}

/**
 * One attempt of a task on one machine. It holds resources, quota and zone from before its start command is sent until
 * there is proof that it is gone.
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

    /** The job's change that has to be stored before the start command may be sent, see [Job.addUrgentChange]. */
    var requiredChange = 0L
        private set

    /** When the start command was sent last; null: it was not, or it was surely not carried out. */
    var startSentAt: Duration? = null
        private set
    val wasStartSent: Boolean get() = startSentAt != null

    /** The start waits until the gang's other tasks have their image; a waiting task gives up after a while. */
    var isDeferred = false

    /** Why the task is stopped; null: it is not. */
    var stopCause: StopCause? = null
        private set
    var stopGrace: Duration = Duration.ZERO
        private set

    /** When the stop command was sent last. */
    var stopSentAt: Duration? = null
        private set

    /** The part of the job's record in which it is stored, see [PlacementParts]. */
    var part = PlacementParts.RECORD

    /** The placement must not be acted on before this change of the job is stored. */
    fun requireStoredChange(change: Long) {
        requiredChange = change
    }

    /** An earlier leader stored it, and may have sent the start. */
    fun markRestored(now: Duration) {
        stage = PlacementStage.STORED
        startSentAt = now
    }

    /** It is stored: the start may be sent. */
    fun markStored() {
        stage = PlacementStage.STORED
    }

    /** The start command is on its way. */
    fun markStartSent(now: Duration) {
        startSentAt = now
    }

    /** The start command was surely not carried out. */
    fun clearStartSent() {
        startSentAt = null
    }

    /** The task is to be started anew under the same placement and attempt. */
    fun resetForRestart() {
        stage = PlacementStage.STORED
        taskState = null
        runningSince = null
        startSentAt = null
    }

    /** A heartbeat shows the task. True if it shows for the first time that the task runs. */
    fun markObserved(state: TaskState, now: Duration): Boolean {
        stage = PlacementStage.OBSERVED
        if (startSentAt == null) startSentAt = now
        taskState = state
        val beginsToRun = state == TaskState.RUNNING && runningSince == null
        if (beginsToRun) runningSince = now
        return beginsToRun
    }

    /** The task is to be stopped, whatever was said before. */
    fun requestStop(cause: StopCause, grace: Duration) {
        stopCause = cause
        stopGrace = grace
        stopSentAt = null
    }

    /** The stop command is on its way. */
    fun markStopSent(now: Duration) {
        stopSentAt = now
    }

    /** As it is stored. */
    fun toStored() = StoredPlacement(task, attempt, machine)

    /** As it is named in the log. */
    override fun toString() = "${key.job}/$task attempt=$attempt"
}
