package glenspool.core.lifecycle

import glenspool.core.StopCause
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import it.unimi.dsi.fastutil.ints.Int2ObjectRBTreeMap
import java.util.BitSet
import kotlin.time.Duration

/** How far a placement has come. */
enum class PlacementStage {
    /** Decided and reserved; not stored yet, so no command may be sent. */
    PLANNED,

    /** Stored; the start command may have been sent, so the task may be on its machine. */
    STORED,

    /** A report has shown the task on its machine. */
    OBSERVED,
}

/**
 * One attempt of a task on one machine. It holds room, team limit and zone from before its start command is
 * sent until there is proof that it is gone.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: String, val since: Duration) {
    var step = PlacementStage.PLANNED
    var state: TaskState? = null

    /** The job's change count that has to be stored before the start command may be sent. */
    var storedAt = 0L
    var startSent: Duration? = null

    /** The start waits until the gang's other tasks have their image; a waiting task gives up after a while. */
    var deferred = false
    var runningSince: Duration? = null
    var stop: StopCause? = null
    var stopGrace: Duration = Duration.ZERO
    var stopSent: Duration? = null

    /** Where it is stored, see [PlacementParts]. */
    var part = PlacementParts.RECORD
    val key = TaskKey(job.spec.id, task)
}

/**
 * A live job as the leader knows it. [touched] is told of every change that may have to be stored, so that nobody
 * has to look through all jobs for those that changed.
 */
class Job(
    record: JobRecord,
    var version: Long,
    val parts: PlacementParts = PlacementParts(Int.MAX_VALUE, Int.MAX_VALUE),
    private val touched: (Job) -> Unit = {},
) {
    val spec: JobSpec = record.spec
    val submitted: Duration = record.submitted

    /** So many pieces hold its description, stored apart from the record. */
    var descriptionParts = record.descriptionParts

    /** It waits for other jobs: none of its tasks may have a place. Every way to a start asks [waitingCount]. */
    var waitsForDependencies = record.dependencies.isNotEmpty()

    /** When the last job that it needed was done, by the time of day. */
    var dependenciesDoneAt: Duration? = record.dependenciesDoneAt

    /** The cancelled job that it needs, directly or through others: it can only be closed. */
    var abortedBy: String? = null

    /** The highest priority of the jobs that need it. */
    var inheritedPriority: Priority? = null

    /** By when it should be done so that those that need it can meet their deadlines, by the time of day. */
    var inheritedDeadline: Duration? = null
    val done: BitSet = record.done.clone() as BitSet
    private var doneCount = done.cardinality()

    /** Done bits that are known to be stored; only these tasks may be forgotten by their workers. */
    val storedDone: BitSet = record.done.clone() as BitSet
    var lastAttempt: Long = record.lastAttempt
    private val placed = Int2ObjectRBTreeMap<Placement>()

    /** Placements of tasks that are not done; kept as a count, since every round asks for it. */
    private var placedOpen = 0
    val placements: Map<Int, Placement> get() = placed
    var cancelVersion: Long? = null
    var cancelledAt: Duration? = null

    /** Counts changes that must be stored; [storedChanges] is the last stored one. */
    var changes = 0L
    var storedChanges = 0L
    var storeLaterSince: Duration? = null
    var writeInFlight = false
    var finished = false

    /** Its change was too large for the state service: it is not tried again before this. */
    var storeAfter: Duration = Duration.ZERO

    /** Tasks that are on machines without a placement of ours (an earlier leader's remains). */
    val orphans = HashMap<TaskKey, MutableSet<String>>()
    val failedOn = LinkedHashSet<String>()
    var notBefore: Duration? = null

    /** Room is being made for it on a machine with its image until about then; set once in its life. */
    var resourcesExpectedBy: Duration? = null
    var gangAttempt: Long? = null
    var gangStarted = false

    /** When the job became known here, in steady time. */
    var knownSince: Duration = Duration.ZERO

    val cancelled: Boolean get() = cancelVersion != null
    val complete: Boolean get() = spec.kind != JobKind.SERVICE && doneCount >= spec.tasks

    /** Something that must be stored before the work can go on. */
    fun storeSoon(): Long {
        touched(this)
        return ++changes
    }

    /** Something that should be stored within a while. */
    fun storeLater(now: Duration) {
        if (storeLaterSince == null) storeLaterSince = now
        touched(this)
    }

    fun markDirty() = touched(this)

    /** Whether any of its tasks ever had a place or a result. */
    val hasStarted: Boolean get() = lastAttempt > 0

    fun placementOf(task: Int): Placement? = placed.get(task)

    /** [storedOn]: the shelf where its place is stored already; null for a new one. */
    fun place(p: Placement, storedOn: Int? = null, maySplit: Boolean = false) {
        unplace(p.task)
        if (storedOn != null) parts.put(p, storedOn) else parts.add(p, maySplit)
        placed.put(p.task, p)
        if (!done[p.task]) placedOpen++
    }

    /** Whether places lie apart from the record. */
    val isSplit: Boolean get() = placed.values.any { it.part != PlacementParts.RECORD }

    /** Brings such places back into the record as far as it has room. Whether any was moved. */
    fun mergeParts(): Boolean = parts.mergeIntoRecord(placed.values)

    fun unplace(task: Int) {
        val old = placed.remove(task) ?: return
        parts.remove(old)
        if (!done[old.task]) placedOpen--
    }

    /** The task's result is known. */
    fun finishTask(task: Int) {
        if (done[task]) return
        if (placed.containsKey(task)) placedOpen--
        done.set(task)
        doneCount++
    }

    fun finishAllTasks() {
        for (t in 0 until spec.tasks) finishTask(t)
    }

    /** Tasks that are neither done nor placed, lowest first, at most [limit]. */
    fun waiting(limit: Int): List<Int> {
        if (waitingCount() <= 0) return emptyList()
        val result = ArrayList<Int>(minOf(limit, 16))
        var t = done.nextClearBit(0)
        while (t < spec.tasks && result.size < limit) {
            if (!placed.containsKey(t) && (orphans.isEmpty() || TaskKey(spec.id, t) !in orphans)) result.add(t)
            t = done.nextClearBit(t + 1)
        }
        return result
    }

    /** How many tasks wait for a place; those that are somewhere without a place of ours count as waiting. */
    fun waitingCount(): Int = if (cancelled || finished || waitsForDependencies) 0 else spec.tasks - doneCount - placedOpen

    fun record() =
        JobRecord(
            spec,
            submitted,
            lastAttempt,
            done.clone() as BitSet,
            PlacementParts.storedPlacements(placed.values, PlacementParts.RECORD),
            emptyList(),
            dependenciesDoneAt,
            placed.values
                .filter { it.part != PlacementParts.RECORD }
                .groupBy({ it.part }, { StoredPlacement(it.task, it.attempt, it.machine) }),
            descriptionParts,
        )

    /**
     * What stopping it now would throw away: the [fetch] of its image as far as it has come, and progress not saved.
     */
    fun lossOf(p: Placement, now: Duration, fetch: Duration): Duration {
        val ran = p.runningSince?.let { now - it } ?: return minOf(now - p.since, fetch)
        return fetch + if (spec.checkpointInterval > Duration.ZERO) minOf(ran, spec.checkpointInterval) else ran
    }

    /** A job counts as much as any that needs it. */
    val effectivePriority: Priority get() = inheritedPriority?.let { maxOf(it, spec.priority) } ?: spec.priority

    /** Times other than its deadline count from here. */
    val waitingSince: Duration get() = dependenciesDoneAt ?: submitted

    /** By when it should be done, if anybody said so: it, or jobs that need it. */
    val dueBy: Duration? get() = spec.deadline?.let { d -> minOf(submitted + d, inheritedDeadline ?: (submitted + d)) } ?: inheritedDeadline
    val resourceRequest: Resources get() = spec.resourceRequest
}
