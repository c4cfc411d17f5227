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
 * A live job as the leader knows it. [onDirty] is told of every change that may have to be stored, so that nobody has
 * to look through all jobs for those that changed.
 */
class Job(
    record: JobRecord,
    /** The version of its record in the key-value store. */
    var version: Long,
    val parts: PlacementParts = PlacementParts(Int.MAX_VALUE, Int.MAX_VALUE),
    private val onDirty: (Job) -> Unit = {},
) {
    val spec: JobSpec = record.spec
    val resourceRequest: Resources get() = spec.resourceRequest

    /** When it was accepted, as a time of day. */
    val submittedAt: Duration = record.submittedAt

    /** When the job became known here, in steady time. */
    var knownSince: Duration = Duration.ZERO

    /** The number of parts that hold its description, stored apart from the record. */
    var descriptionPartCount = record.descriptionPartCount

    // Dependencies, see JobDependencies.

    /** None of its tasks may be placed before its dependencies are done; [waitingTaskCount] holds that. */
    var waitsForDependencies = record.dependencies.isNotEmpty()
        private set

    /** When the last dependency was done, by the time of day. */
    var dependenciesDoneAt: Duration? = record.dependenciesDoneAt
        private set

    /** The cancelled job that it depends on, directly or through others: it can only be closed. */
    var abortedBy: String? = null
        private set

    /** The highest priority of the jobs that depend on it. */
    var inheritedPriority: Priority? = null
        private set

    /** By when it should be done so that its dependents can meet their deadlines, by the time of day. */
    var inheritedDeadline: Duration? = null
        private set

    // Tasks.

    /** Tasks that are done. */
    val done: BitSet = record.done.clone() as BitSet
    private var doneCount = done.cardinality()

    /** Tasks that are known to be stored as done; only these may be forgotten by their workers. */
    val storedDone: BitSet = record.done.clone() as BitSet

    /** The highest attempt number so far. */
    var lastAttempt: Long = record.lastAttempt
        private set
    private val placed = Int2ObjectRBTreeMap<Placement>()

    /** Placements of tasks that are not done; kept as a count, since every placement round asks for it. */
    private var placedNotDone = 0

    /** Placements by task, in order. */
    val placements: Map<Int, Placement> get() = placed

    /** Tasks that are on machines without a placement, and those machines. */
    val orphans = HashMap<TaskKey, MutableSet<String>>()

    // Cancellation and end.

    /** The version of its cancellation in the key-value store; null: it is not cancelled. */
    var cancelVersion: Long? = null
        private set

    /** When it was cancelled, in steady time. */
    var cancelledAt: Duration? = null
        private set

    /** Whether its final state is stored. */
    var isFinished = false
        private set

    /** What of it is stored, and what is still to be stored. */
    val storeState = JobStoreState()

    // Placing.

    /** Machines on which a task of it failed. */
    val failedMachines = LinkedHashSet<String>()

    /** No task is placed before this time; null: at any time. */
    var retryAfter: Duration? = null

    /** Resources are being freed for it on a machine with its image until about then; set once in its life. */
    var resourcesExpectedBy: Duration? = null

    /** The attempt number that the tasks of a placed gang share. */
    var gangAttempt: Long? = null

    /** Whether all tasks of the gang's attempt ran at the same time. */
    var gangStarted = false

    val isCancelled: Boolean get() = cancelVersion != null

    /** Whether it is neither cancelled nor over. */
    val isLive: Boolean get() = !isCancelled && !isFinished

    /** Whether all of its tasks are done. */
    val isComplete: Boolean get() = spec.kind != JobKind.SERVICE && doneCount >= spec.tasks

    /** Whether any of its tasks ever had a placement or a result. */
    val hasStarted: Boolean get() = lastAttempt > 0

    /** A job counts as much as any that depends on it. */
    val effectivePriority: Priority get() = inheritedPriority?.let { maxOf(it, spec.priority) } ?: spec.priority

    /** Times other than its deadline count from here. */
    val waitingSince: Duration get() = dependenciesDoneAt ?: submittedAt

    /** By when it should be done, by its own deadline or that of dependents, by the time of day. */
    val dueBy: Duration?
        get() {
            val own = spec.deadline?.let { submittedAt + it } ?: return inheritedDeadline
            return inheritedDeadline?.let { minOf(own, it) } ?: own
        }

    /** The grace that a stopped task needs to write a checkpoint. */
    val checkpointGrace: Duration get() = spec.checkpointDuration + GRACE_MARGIN

    /** Something that must be stored before the work can go on; the number of this change. */
    fun addUrgentChange(): Long {
        markDirty()
        return storeState.addUrgentChange()
    }

    /** Something that should be stored within a while. */
    fun addDeferredChange(now: Duration) {
        storeState.addDeferredChange(now)
        markDirty()
    }

    /** It may have something to store. */
    fun markDirty() = onDirty(this)

    /** All dependencies are done: from now on it is like any other job. */
    fun dependenciesDone(wallTime: Duration, now: Duration) {
        waitsForDependencies = false
        dependenciesDoneAt = wallTime
        knownSince = now
    }

    /** A job that it depends on was cancelled. */
    fun abort(by: String) {
        abortedBy = by
        markDirty()
    }

    /** Takes over priority and deadline from dependents. True if either has changed. */
    fun inherit(priority: Priority?, deadline: Duration?): Boolean {
        if (priority == inheritedPriority && deadline == inheritedDeadline) return false
        inheritedPriority = priority
        inheritedDeadline = deadline
        return true
    }

    /** Its cancellation was stored under [version], at [at] in steady time. */
    fun cancel(version: Long, at: Duration) {
        cancelVersion = version
        cancelledAt = at
    }

    /** Its cancellation is now stored under [version]. */
    fun updateCancelVersion(version: Long) {
        cancelVersion = version
    }

    /** Its final state is stored. */
    fun markFinished() {
        isFinished = true
    }

    /** A new attempt number. */
    fun newAttempt(): Long = ++lastAttempt

    /** The task's placement, if it has one. */
    fun placementOf(task: Int): Placement? = placed.get(task)

    /** Adds a new placement; [maySplit]: whether it may be stored apart from the record. */
    fun addPlacement(placement: Placement, maySplit: Boolean) {
        removePlacement(placement.task)
        parts.add(placement, maySplit)
        add(placement)
    }

    /** Adds a placement that is stored in [part] already. */
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

    /** Whether placements are stored apart from the record. */
    val isSplit: Boolean get() = placed.values.any { it.part != PlacementParts.RECORD }

    /** Brings such placements back into the record as far as it has space. Whether any was moved. */
    fun mergeParts(): Boolean = parts.mergeIntoRecord(placed.values)

    /** The task's result is known. */
    fun markTaskDone(task: Int) {
        if (done[task]) return
        if (placed.containsKey(task)) placedNotDone--
        done.set(task)
        doneCount++
    }

    /** The results of all tasks are known. */
    fun markAllTasksDone() {
        for (task in 0 until spec.tasks) markTaskDone(task)
    }

    /** Tasks that are neither done nor placed nor orphaned, lowest first, at most [limit]. */
    fun waitingTasks(limit: Int): List<Int> {
        if (waitingTaskCount() <= 0) return emptyList()
        val result = ArrayList<Int>(minOf(limit, INITIAL_LIST_SIZE))
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

    /** How many tasks wait to be placed; orphaned ones count as waiting. */
    fun waitingTaskCount(): Int =
        if (isCancelled ||
            isFinished ||
            waitsForDependencies
        ) {
            0
        } else {
            spec.tasks - doneCount - placedNotDone
        }

    /** The job as it has to be stored. */
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
     * What stopping the task now would lose: the fetch of its image as far as it has come, and progress without a
     * checkpoint. [fetch]: how long a fetch usually takes.
     */
    fun lostWork(placement: Placement, now: Duration, fetch: Duration): Duration {
        val runTime = placement.runningSince?.let { now - it } ?: return minOf(now - placement.createdAt, fetch)
        val hasCheckpoints = spec.checkpointInterval > Duration.ZERO
        return fetch + if (hasCheckpoints) minOf(runTime, spec.checkpointInterval) else runTime
    }

    private companion object {
        /** From the decision to stop a task until its worker has been told. */
        val GRACE_MARGIN = 2.seconds
        const val INITIAL_LIST_SIZE = 16
    }
}
