package glenspool.core.lifecycle

import glenspool.core.model.Amount
import glenspool.core.model.Intent
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import it.unimi.dsi.fastutil.ints.Int2ObjectRBTreeMap
import java.util.BitSet
import kotlin.time.Duration

/** How far a placement has come. */
enum class Step {
    /** Decided and reserved; not stored yet, so no command may be sent. */
    INTENDED,

    /** Stored; the start command may have been sent, so the task may be on its machine. */
    ORDERED,

    /** A report has shown the task on its machine. */
    SEEN,
}

/** Why a task is being stopped. */
enum class StopReason { CANCELLED, PREEMPTED, NOTICE, RETURNING, GANG_BROKEN, MOVED }

/**
 * One attempt of a task on one machine. It holds room, team limit and zone from before its start command is
 * sent until there is proof that it is gone.
 */
class Placement(val job: Job, val task: Int, val attempt: Long, val machine: String, val since: Duration) {
    var step = Step.INTENDED
    var state: TaskState? = null

    /** The job's change count that has to be stored before the start command may be sent. */
    var storedAt = 0L
    var startSent: Duration? = null

    /** The start waits until the gang's other tasks have their image; a waiting task gives up after a while. */
    var deferred = false
    var runningSince: Duration? = null
    var stop: StopReason? = null
    var stopGrace: Duration = Duration.ZERO
    var stopSent: Duration? = null
    val key = TaskKey(job.spec.id, task)
}

/** A live job as the leader knows it. */
class Job(record: JobRecord, var version: Long) {
    val spec: JobSpec = record.spec
    val submitted: Duration = record.submitted
    val done: BitSet = record.done.clone() as BitSet

    /** Done bits that are known to be stored; only these tasks may be forgotten by their workers. */
    val storedDone: BitSet = record.done.clone() as BitSet
    var lastAttempt: Long = record.lastAttempt
    val placements = Int2ObjectRBTreeMap<Placement>()
    var cancelVersion: Long? = null
    var cancelledAt: Duration? = null

    /** Counts changes that must be stored; [saved] is the last stored one. */
    var changes = 0L
    var saved = 0L
    var softSince: Duration? = null
    var writing = false
    var finished = false

    /** Tasks that are on machines without a placement of ours (an earlier leader's remains). */
    val strays = HashMap<TaskKey, MutableSet<String>>()
    val failedOn = LinkedHashSet<String>()
    var notBefore: Duration? = null

    /** Room is being made for it on a machine with its image until about then; set once in its life. */
    var roomComing: Duration? = null
    var gangAttempt: Long? = null
    var gangStarted = false

    /** When the job became known here, in steady time. */
    var seenAt: Duration = Duration.ZERO

    val cancelled: Boolean get() = cancelVersion != null
    val complete: Boolean get() = spec.kind != JobKind.SERVICE && done.cardinality() >= spec.tasks

    fun changed(): Long = ++changes

    fun soft(now: Duration) {
        if (softSince == null) softSince = now
    }

    /** Tasks that are neither done nor placed, lowest first, at most [limit]. */
    fun waiting(limit: Int): List<Int> {
        if (cancelled || finished) return emptyList()
        val result = ArrayList<Int>()
        var t = done.nextClearBit(0)
        while (t < spec.tasks && result.size < limit) {
            if (!placements.containsKey(t) && TaskKey(spec.id, t) !in strays) result.add(t)
            t = done.nextClearBit(t + 1)
        }
        return result
    }

    fun waitingCount(): Int =
        if (cancelled || finished) 0 else spec.tasks - done.cardinality() - placements.values.count { !done[it.task] }

    fun record() = JobRecord(
        spec,
        submitted,
        lastAttempt,
        done.clone() as BitSet,
        placements.values.map { Intent(it.task, it.attempt, it.machine) },
    )

    /** Preempting this loses little: work that saves, is young or waits for its image. */
    fun lossOf(p: Placement, now: Duration): Duration {
        val ran = p.runningSince?.let { now - it } ?: return Duration.ZERO
        return if (spec.checkpoint > Duration.ZERO) minOf(ran, spec.checkpoint) else ran
    }

    val rank: Priority get() = spec.priority
    val need: Amount get() = spec.need
}
