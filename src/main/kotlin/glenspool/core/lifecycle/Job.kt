package glenspool.core.lifecycle

import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import it.unimi.dsi.fastutil.ints.Int2ObjectRBTreeMap
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's state of a live job. [onDirty] is called for every change that may have to be stored, so that changed
 * jobs are found without a scan of all jobs.
 */
class Job(
    record: JobRecord,
    /** The version of the job's record in the key-value store. */
    var version: Long,
    val parts: PlacementParts = PlacementParts(Int.MAX_VALUE, Int.MAX_VALUE),
    private val onDirty: (Job) -> Unit = {},
) {
    val spec: JobSpec = record.spec
    val resourceRequest: Resources get() = spec.resourceRequest

    /** The wall-clock time at which the job was accepted. */
    val submittedAt: Duration = record.submittedAt

    /** The monotonic time at which this leader read the job, or its dependencies were done. */
    var knownSince: Duration = Duration.ZERO

    /** The number of parts that hold the job's description outside the record. */
    var descriptionPartCount = record.descriptionPartCount

    // Dependencies, see JobDependencies.

    /** Whether dependencies are not done yet. No task may be placed before; [waitingTaskCount] is 0 until then. */
    var waitsForDependencies = record.dependencies.isNotEmpty()
        private set

    /** The wall-clock time at which the last dependency was done. */
    var dependenciesDoneAt: Duration? = record.dependenciesDoneAt
        private set

    /** The cancelled job on which this job depends, directly or indirectly. An aborted job can only be closed. */
    var abortedBy: String? = null
        private set

    /** The highest priority of the jobs that depend on this job. */
    var inheritedPriority: Priority? = null
        private set

    /** The wall-clock time by which the job should be done so that its dependents can meet their deadlines. */
    var inheritedDeadline: Duration? = null
        private set

    // Tasks.

    /** Tasks that are done. */
    val done: BitSet = record.done.clone() as BitSet
    private var doneCount = done.cardinality()

    /** Tasks that are known to be stored as done. Workers may forget only these. */
    val storedDone: BitSet = record.done.clone() as BitSet

    /** The highest attempt number of any task of the job so far. */
    var lastAttempt: Long = record.lastAttempt
        private set
    private val placed = Int2ObjectRBTreeMap<Placement>()

    /** The number of placements of tasks that are not done. It is cached because every placement round needs it. */
    private var placedNotDone = 0

    /** Placements by task number, in ascending order. */
    val placements: Map<Int, Placement> get() = placed

    /** Orphaned tasks, which run without a placement, and their machines. */
    val orphans = HashMap<TaskKey, MutableSet<String>>()

    // Cancellation and end.

    /** The version of the job's cancellation in the key-value store, or null if it is not cancelled. */
    var cancelVersion: Long? = null
        private set

    /** The monotonic time at which the job was cancelled. */
    var cancelledAt: Duration? = null
        private set

    /** Whether the job's final state is stored. */
    var isFinished = false
        private set

    /** Which changes of the job are stored, and which remain to be stored. */
    val storeState = JobStoreState()

    // Placement.

    /** Machines on which a task of the job failed. */
    val machinesWithFailures = LinkedHashSet<String>()

    /** The time before which no task is placed, or null if there is no retry delay. */
    var retryAfter: Duration? = null

    /** The estimated time by which resources are freed for the job on a machine with its image; set at most once. */
    var resourcesExpectedBy: Duration? = null

    /** The attempt number that the tasks of a placed gang share. */
    var gangAttempt: Long? = null

    /** Whether all tasks of the gang's attempt ran at the same time. */
    var gangStarted = false

    val isCancelled: Boolean get() = cancelVersion != null

    /** Whether the job is neither cancelled nor finished. */
    val isLive: Boolean get() = !isCancelled && !isFinished

    /** Whether all tasks of the job are done, which never holds for a service. */
    val isComplete: Boolean get() = spec.kind != JobKind.SERVICE && doneCount >= spec.tasks

    /** Whether any task of the job ever had a placement or a result. */
    val hasStarted: Boolean get() = lastAttempt > 0

    /** The higher of the job's own priority and the priorities of the jobs that depend on it. */
    val effectivePriority: Priority get() = inheritedPriority?.let { maxOf(it, spec.priority) } ?: spec.priority

    /** The start of the job's waiting time. Only its deadline counts from the submission instead. */
    val waitingSince: Duration get() = dependenciesDoneAt ?: submittedAt

    /** The wall-clock time by which the job should be done, from its own deadline and those of its dependents. */
    val dueBy: Duration?
        get() {
            val own = spec.deadline?.let { submittedAt + it } ?: return inheritedDeadline
            return inheritedDeadline?.let { minOf(own, it) } ?: own
        }

    /** The grace period that a stopped task needs to write a checkpoint. */
    val checkpointGrace: Duration get() = spec.checkpointDuration + STOP_DELIVERY_MARGIN

    /** Adds a change that must be stored before work can continue. Returns the number of the change. */
    fun addUrgentChange(): Long {
        markDirty()
        return storeState.addUrgentChange()
    }

    /** Adds a change that may be stored with a delay. */
    fun addDeferredChange(now: Duration) {
        storeState.addDeferredChange(now)
        markDirty()
    }

    /** Reports that the job may have changes to store. */
    fun markDirty() = onDirty(this)

    /** All dependencies are done, so the job's tasks may be placed from now on. */
    fun dependenciesDone(wallTime: Duration, now: Duration) {
        waitsForDependencies = false
        dependenciesDoneAt = wallTime
        knownSince = now
    }

    /** Aborts the job because the job [by], on which it depends directly or indirectly, was cancelled. */
    fun abort(by: String) {
        abortedBy = by
        markDirty()
    }

    /** Sets the priority and deadline inherited from dependents. Returns whether either has changed. */
    fun inherit(priority: Priority?, deadline: Duration?): Boolean {
        if (priority == inheritedPriority && deadline == inheritedDeadline) return false
        inheritedPriority = priority
        inheritedDeadline = deadline
        return true
    }

    /** Marks the job as cancelled. The cancellation is stored under [version] since [at], a monotonic time. */
    fun cancel(version: Long, at: Duration) {
        cancelVersion = version
        cancelledAt = at
    }

    /** Updates the [version] of a cancellation that was stored again. */
    fun updateCancelVersion(version: Long) {
        cancelVersion = version
    }

    /** Marks the job's final state as stored. */
    fun markFinished() {
        isFinished = true
    }

    /** Returns a new attempt number. */
    fun newAttempt(): Long = ++lastAttempt

    /** Returns the task's placement, if it has one. */
    fun placementOf(task: Int): Placement? = placed.get(task)

    /** Adds a new placement. [maySplit]: whether it may be stored outside the record. */
    fun addPlacement(placement: Placement, maySplit: Boolean) {
        removePlacement(placement.task)
        parts.add(placement, maySplit)
        add(placement)
    }

    /** Adds a placement that is already stored in [part]. */
    fun restore(placement: Placement, part: Int) {
        removePlacement(placement.task)
        parts.put(placement, part)
        add(placement)
    }

    private fun add(placement: Placement) {
        placed.put(placement.task, placement)
        if (!done[placement.task]) placedNotDone++
    }

    /** Removes the task's placement, if it has one. */
    fun removePlacement(task: Int) {
        val removed = placed.remove(task) ?: return
        parts.remove(removed)
        if (!done[task]) placedNotDone--
    }

    /** Whether placements are stored outside the record. */
    val isSplit: Boolean get() = placed.values.any { it.part != PlacementParts.RECORD }

    /** Moves placements back into the record as far as it has space. Returns whether any was moved. */
    fun mergeParts(): Boolean = parts.mergeIntoRecord(placed.values)

    /** Marks the task as done because its result is known. */
    fun markTaskDone(task: Int) {
        if (done[task]) return
        if (placed.containsKey(task)) placedNotDone--
        done.set(task)
        doneCount++
    }

    /** Marks all tasks as done because their results are known. */
    fun markAllTasksDone() {
        for (task in 0 until spec.tasks) markTaskDone(task)
    }

    /** Returns up to [limit] tasks that are neither done nor placed nor orphaned, in ascending order. */
    fun waitingTasks(limit: Int): List<Int> {
        if (waitingTaskCount() <= 0) return emptyList()
        val result = ArrayList<Int>(minOf(limit, INITIAL_LIST_CAPACITY))
        var task = done.nextClearBit(0)
        while (task < spec.tasks && result.size < limit) {
            if (!placed.containsKey(task) && !isOrphaned(task)) result.add(task)
            task = done.nextClearBit(task + 1)
        }
        return result
    }

    private fun isOrphaned(task: Int) = orphans.isNotEmpty() && TaskKey(spec.id, task) in orphans

    /** Whether any task waits to be placed. */
    fun hasWaitingTask(): Boolean = waitingTasks(1).isNotEmpty()

    /** Returns the number of tasks that wait to be placed. Orphaned tasks count as waiting. */
    fun waitingTaskCount(): Int {
        if (isCancelled || isFinished || waitsForDependencies) return 0
        return spec.tasks - doneCount - placedNotDone
    }

    /** Returns the record to be stored for the job. */
    fun record() =
        JobRecord(
            spec = spec,
            submittedAt = submittedAt,
            lastAttempt = lastAttempt,
            done = done.clone() as BitSet,
            placements = placed.values.filter { it.part == PlacementParts.RECORD }.map { it.toStored() },
            dependencies = emptyList(),
            dependenciesDoneAt = dependenciesDoneAt,
            placementParts =
                placed.values
                    .filter { it.part != PlacementParts.RECORD }
                    .groupBy({ it.part }, { it.toStored() }),
            descriptionPartCount = descriptionPartCount,
        )

    /**
     * Returns the time of work that is lost if the task is stopped now: the fetch of its image up to now, and progress
     * without a checkpoint. [fetch]: how long a fetch usually takes.
     */
    fun lostWork(placement: Placement, now: Duration, fetch: Duration): Duration {
        val runTime = placement.runningSince?.let { now - it } ?: return minOf(now - placement.createdAt, fetch)
        val hasCheckpoints = spec.checkpointInterval > Duration.ZERO
        return fetch + if (hasCheckpoints) minOf(runTime, spec.checkpointInterval) else runTime
    }

    private companion object {
        /** The time from the decision to stop a task until its worker receives the command. */
        val STOP_DELIVERY_MARGIN = 2.seconds
        const val INITIAL_LIST_CAPACITY = 16
    }
}
