package glenspool.core.lifecycle

import glenspool.core.CHUNK
import glenspool.core.CHUNKED_ABOVE
import glenspool.core.JobWrite
import glenspool.core.Scheduler
import glenspool.core.StartCause
import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.StoreOutcome
import glenspool.core.UpdateJobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What is stored when. The state service takes few changes a second, shared by acceptance at every node, so the
 * leader spends a share of them by urgency: places of critical work first, then ends of jobs, other places, and last
 * what only saves work after a failure. All that a job has to say goes into one change.
 */
class RecordWriteScheduler(private val core: Scheduler) {
    private val dirty = LinkedHashSet<Job>()
    private var busy = false
    private var pausedUntil = core.startedAt
    private var storing: List<JobWrite> = emptyList()
    private val burst = maxOf(core.config.writeRps * LEADER_SHARE, core.config.txnOps.toDouble())
    private var tokens = burst
    private var filledAt = core.startedAt

    fun touched(job: Job) {
        dirty.add(job)
    }

    /** A change was too large: until one has been stored again each job's goes alone, so that it holds up no other. */
    private var oneByOne = false

    private enum class Urgency { CRITICAL_PLACE, END, PLACE, RESULT }

    private fun urgency(job: Job): Urgency? =
        when {
            job.finished || job.writeInFlight || job.storeAfter > core.now -> null
            job.changes > job.storedChanges && job.effectivePriority == Priority.CRITICAL && !job.cancelled -> Urgency.CRITICAL_PLACE
            finishable(job) -> Urgency.END
            job.waitsForDependencies -> null
            job.changes > job.storedChanges -> Urgency.PLACE
            job.storeLaterSince != null && !job.cancelled -> Urgency.RESULT
            else -> null
        }

    fun flush() {
        if (busy || dirty.isEmpty() || core.now < pausedUntil) return
        fill()
        if (tokens < 1.0) return
        val due = ArrayList<Pair<Urgency, Job>>()
        val each = dirty.iterator()
        while (each.hasNext()) {
            val job = each.next()
            core.workCounters.storeScans++
            val u = urgency(job)
            if (u == null) {
                if (!job.writeInFlight && job.storeAfter <= core.now) each.remove()
                continue
            }
            if (u != Urgency.RESULT || job.storeLaterSince.let { it != null && core.now - it > SOFT_DELAY }) due.add(u to job)
        }
        if (due.isEmpty()) return
        due.sortWith(
            compareBy<Pair<Urgency, Job>> { it.first }.thenByDescending { it.second.effectivePriority }.thenBy {
                if (it.first ==
                    Urgency.RESULT
                ) {
                    it.second.storeLaterSince
                } else {
                    it.second.waitingSince
                }
            },
        )
        val writes = ArrayList<JobWrite>()
        var ops = 0
        for ((u, job) in due) {
            val w = writeFor(job)
            val cost = opsOf(w)
            if (ops + cost > core.config.txnOps || oneByOne && writes.isNotEmpty()) break
            // Results never use the last of the budget: a place that somebody waits for may come at any moment.
            val reserve = if (u == Urgency.RESULT) minOf(burst / 2, burst - cost) else 0.0
            if (tokens - ops - cost < reserve) break
            ops += cost
            writes.add(w)
            job.writeInFlight = true
            if (w is UpdateJobRecord) job.storeLaterSince = null
        }
        if (writes.isEmpty()) return
        tokens -= ops
        busy = true
        storing = writes
        core.act(StoreChanges(writes))
    }

    private fun fill() {
        tokens = minOf(burst, tokens + core.config.writeRps * LEADER_SHARE * ((core.now - filledAt) / 1.seconds))
        filledAt = core.now
    }

    fun ended(outcome: StoreOutcome) {
        busy = false
        val writes = storing
        storing = emptyList()
        for (w in writes) {
            if (w is StoreFinalState && outcome is StoreOutcome.Stored) core.chains.ended(w.id, w.end)
            val job = core.job(w.id) ?: continue
            job.writeInFlight = false
            if (outcome is StoreOutcome.Stored) {
                confirm(job, w, outcome.revision)
            } else {
                // What it would have stored is still to be stored, its results too.
                job.storeLater(core.now)
            }
        }
        if (outcome is StoreOutcome.Stored) oneByOne = false else pausedUntil = core.now + RETRY
        if (outcome is StoreOutcome.TooLarge) tooLarge(writes, outcome.descriptionParts)
    }

    /** Asking for the same again would never end: the one at fault is found, waits, and is told to the operators. */
    private fun tooLarge(writes: List<JobWrite>, descriptionParts: Map<String, Int>) {
        core.limitsLowered()
        oneByOne = true
        for ((id, n) in descriptionParts) core.job(id)?.descriptionParts = n
        val w = writes.singleOrNull() ?: return
        if (w.id in descriptionParts) return
        core.job(w.id)?.storeAfter = core.now + TOO_LARGE_PAUSE
        core.note(important = true) { "too-large job=${w.id}: its change does not fit the state service's limits" }
    }

    private fun confirm(job: Job, w: JobWrite, revision: Long) {
        if (revision > job.version) job.version = revision
        when (w) {
            is StoreFinalState -> core.jobGone(job.spec.id)
            is UpdateJobRecord -> {
                core.hooks.observer.jobStored(w.record)
                if (w.whole) job.storedChanges = w.change else job.storeLater(core.now)
                job.parts.stored(w.parts)
                job.markStored(w)
                if (w.record.done.cardinality() > 0 &&
                    job.spec.tasks > CHUNKED_ABOVE &&
                    job.dirtyChunks().isNotEmpty()
                ) {
                    job.storeLater(core.now)
                }
                for (p in job.placements.values.toList()) {
                    if (p.step != PlacementStage.PLANNED ||
                        p.storedAt > w.change ||
                        p.part != PlacementParts.RECORD &&
                        p.part !in w.parts
                    ) {
                        continue
                    }
                    if (job.cancelled) {
                        core.drop(p)
                        continue
                    }
                    p.step = PlacementStage.STORED
                    if (!p.deferred) {
                        core.machines[p.machine]?.let {
                            core.commands
                                .add(it, StartTask(p.key, p.attempt, StartCause.PLACED))
                        }
                    }
                }
            }
        }
    }

    private fun finishable(job: Job): Boolean = job.abortedBy != null || (job.cancelled && job.placements.isEmpty() && job.orphans.isEmpty()) || job.complete

    private fun writeFor(job: Job): JobWrite {
        if (job.complete && !job.cancelled) return StoreFinalState(job.spec.id, job.version, null, job.spec.tasks)
        if (finishable(job)) return StoreFinalState(job.spec.id, job.version, job.cancelVersion, job.spec.tasks, job.abortedBy)
        // A part that does not fit into one transaction follows in the next.
        val chunks = job.dirtyChunks().take(core.config.txnOps - 1)
        val room = core.config.txnOps - 1 - chunks.size
        if (core.maySplit) job.parts.relieve(job.placements.values, room)
        val parts = job.parts.toStore(room)
        return UpdateJobRecord(
            job.spec.id,
            job.version,
            job.record(),
            chunks,
            job.changes,
            job.placements.values.any { it.step == PlacementStage.PLANNED },
            parts,
            parts.size == job.parts.dirtyCount,
        )
    }

    private fun opsOf(w: JobWrite): Int =
        when (w) {
            is UpdateJobRecord -> 1 + w.chunks.size + w.parts.size
            is StoreFinalState -> 2 + (if (w.cancelVersion != null) 1 else 0)
        }

    private companion object {
        /** The rest is for acceptance and cancellation, which every node stores by itself. */
        const val LEADER_SHARE = 0.8
        val SOFT_DELAY: Duration = 1500.milliseconds
        val RETRY: Duration = 150.milliseconds
        val TOO_LARGE_PAUSE: Duration = 30.seconds
    }
}

/** Of a large job only the chunks that were written: a worker may forget a result only when its own bit is stored. */
private fun Job.markStored(w: UpdateJobRecord) {
    if (spec.tasks <= CHUNKED_ABOVE) {
        storedDone.or(w.record.done)
        return
    }
    for (c in w.chunks) {
        var t = w.record.done.nextSetBit(c * CHUNK)
        while (t in 0 until (c + 1) * CHUNK) {
            storedDone.set(t)
            t = w.record.done.nextSetBit(t + 1)
        }
    }
}

private fun Job.dirtyChunks(): List<Int> {
    if (spec.tasks <= CHUNKED_ABOVE) return emptyList()
    val chunks = LinkedHashSet<Int>()
    var t = done.nextSetBit(0)
    while (t >= 0) {
        if (!storedDone[t]) chunks.add(t / CHUNK)
        t = done.nextSetBit(t + 1)
    }
    return chunks.take(2)
}
