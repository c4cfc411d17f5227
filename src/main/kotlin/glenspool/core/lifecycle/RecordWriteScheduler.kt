package glenspool.core.lifecycle

import glenspool.core.JobWrite
import glenspool.core.SchedulingContext
import glenspool.core.StartCause
import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.StoreOutcome
import glenspool.core.UpdateJobRecord
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.CommandQueue
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides what is stored when. The key-value store takes few changes a second, shared by acceptance at every
 * controller, so the leader spends a share of them by urgency: placements of critical work first, then final states,
 * other placements, and last what only saves work after a failure. All that a job has to store goes into one change.
 * [onJobEnded] is told of jobs whose final state was stored.
 */
class RecordWriteScheduler(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val dependencies: JobDependencies,
    private val splitting: RecordSplitting,
    private val onJobEnded: (String) -> Unit,
) {
    private val config get() = context.config
    private val now: Duration get() = context.now
    private val dirty = LinkedHashSet<Job>()
    private val budget = WriteBudget(config, context.startedAt)
    private var isTransactionInFlight = false
    private var writesInFlight: List<JobWrite> = emptyList()
    private var pausedUntil = context.startedAt

    /** A change was too large: until one has been stored again each job's goes alone, so that it holds up no other. */
    private var storesOneByOne = false

    /** What a job has to store, most urgent first. */
    private enum class Urgency { CRITICAL_PLACEMENT, FINAL_STATE, PLACEMENT, RESULT }

    private class DueWrite(val urgency: Urgency, val job: Job) {
        val waitingSince: Duration?
            get() = if (urgency == Urgency.RESULT) job.storeState.deferredChangeSince else job.waitingSince
    }

    /** The job may have something to store. */
    fun markDirty(job: Job) {
        dirty.add(job)
    }

    private fun urgencyOf(job: Job): Urgency? {
        if (job.isFinished || job.storeState.isWriteInFlight || job.storeState.notBefore > now) return null
        val hasPlacements = job.storeState.hasUrgentChanges
        val isCritical = job.effectivePriority == Priority.CRITICAL && !job.isCancelled
        return when {
            hasPlacements && isCritical -> Urgency.CRITICAL_PLACEMENT
            mayBeClosed(job) -> Urgency.FINAL_STATE
            job.waitsForDependencies -> null
            hasPlacements -> Urgency.PLACEMENT
            job.storeState.deferredChangeSince != null && !job.isCancelled -> Urgency.RESULT
            else -> null
        }
    }

    /** Stores what is most urgent, if the budget allows it. */
    fun flush() {
        if (isTransactionInFlight || dirty.isEmpty() || now < pausedUntil) return
        budget.refill(now)
        if (!budget.allowsAnyChange) return
        val writes = chooseWrites(dueWrites())
        if (writes.isEmpty()) return
        isTransactionInFlight = true
        writesInFlight = writes
        context.addAction(StoreChanges(writes))
    }

    private fun dueWrites(): List<DueWrite> {
        val due = ArrayList<DueWrite>()
        val remaining = dirty.iterator()
        while (remaining.hasNext()) {
            val job = remaining.next()
            context.workCounters.storeScans++
            val urgency = urgencyOf(job)
            if (urgency == null) {
                if (!job.storeState.isWriteInFlight && job.storeState.notBefore <= now) remaining.remove()
            } else if (urgency != Urgency.RESULT || isResultDue(job)) {
                due.add(DueWrite(urgency, job))
            }
        }
        due.sortWith(byUrgency)
        return due
    }

    private fun isResultDue(job: Job) = job.storeState.deferredChangeSince.let { it != null && now - it > RESULT_DELAY }

    private fun chooseWrites(due: List<DueWrite>): List<JobWrite> {
        val writes = ArrayList<JobWrite>()
        var changes = 0
        for (next in due) {
            val write = writeFor(next.job)
            val cost = changesOf(write)
            if (changes + cost > config.txnOps || storesOneByOne && writes.isNotEmpty()) break
            if (!budget.allows(changes, cost, isResult = next.urgency == Urgency.RESULT)) break
            changes += cost
            writes.add(write)
            next.job.storeState.writeStarted(includesResults = write is UpdateJobRecord)
        }
        budget.spend(changes)
        return writes
    }

    /** A transaction has ended. */
    fun transactionEnded(outcome: StoreOutcome) {
        isTransactionInFlight = false
        val writes = writesInFlight
        writesInFlight = emptyList()
        for (write in writes) ended(write, outcome)
        if (outcome is StoreOutcome.Stored) storesOneByOne = false else pausedUntil = now + RETRY
        if (outcome is StoreOutcome.TooLarge) tooLarge(writes, outcome.descriptionParts)
    }

    private fun ended(write: JobWrite, outcome: StoreOutcome) {
        if (write is StoreFinalState && outcome is StoreOutcome.Stored) {
            dependencies.jobEnded(write.id, write.finalState)
        }
        val job = dependencies.findJob(write.id) ?: return
        job.storeState.writeEnded()
        if (outcome !is StoreOutcome.Stored) {
            // What it would have stored is still to be stored, its results too.
            job.addDeferredChange(now)
            return
        }
        if (outcome.revision > job.version) job.version = outcome.revision
        when (write) {
            is StoreFinalState -> onJobEnded(job.spec.id)
            is UpdateJobRecord -> recordStored(job, write)
        }
    }

    /** Asking for the same again would never end: the job at fault is found, waits, and is logged. */
    private fun tooLarge(writes: List<JobWrite>, descriptionParts: Map<String, Int>) {
        // The limits are lowered only when every controller is new.
        splitting.markSupportedByAll()
        storesOneByOne = true
        for ((id, parts) in descriptionParts) dependencies.findJob(id)?.descriptionPartCount = parts
        val write = writes.singleOrNull() ?: return
        if (write.id in descriptionParts) return
        dependencies.findJob(write.id)?.storeState?.notBefore = now + TOO_LARGE_PAUSE
        context.log(isImportant = true) { "too-large job=${write.id}: its change exceeds the store's limits" }
    }

    private fun recordStored(job: Job, write: UpdateJobRecord) {
        context.hooks.observer.jobRecordStored(write.record)
        if (write.includesAllChanges) job.storeState.markStored(write.lastChange) else job.addDeferredChange(now)
        job.parts.markStored(write.parts)
        job.markDoneStored(write)
        if (job.hasUnstoredChunksAfter(write)) job.addDeferredChange(now)
        for (placement in job.placements.values.toList()) {
            if (isStoredBy(write, placement)) placementStored(placement)
        }
    }

    private fun isStoredBy(write: UpdateJobRecord, placement: Placement): Boolean {
        if (placement.stage != PlacementStage.PLANNED || placement.requiredChange > write.lastChange) return false
        return placement.part == PlacementParts.RECORD || placement.part in write.parts
    }

    private fun placementStored(placement: Placement) {
        if (placement.job.isCancelled) {
            cluster.removePlacement(placement)
            return
        }
        placement.markStored()
        if (placement.isDeferred) return
        val machine = cluster.machines[placement.machine] ?: return
        commands.add(machine, StartTask(placement.key, placement.attempt, StartCause.PLACED))
    }

    private fun mayBeClosed(job: Job): Boolean {
        val isCancelledAndGone = job.isCancelled && job.placements.isEmpty() && job.orphans.isEmpty()
        return job.abortedBy != null || isCancelledAndGone || job.isComplete
    }

    private fun writeFor(job: Job): JobWrite {
        val id = job.spec.id
        if (job.isComplete && !job.isCancelled) return StoreFinalState(id, job.version, null, job.spec.tasks)
        if (mayBeClosed(job)) return StoreFinalState(id, job.version, job.cancelVersion, job.spec.tasks, job.abortedBy)
        return recordUpdate(job)
    }

    /** What does not fit into one transaction follows in the next. */
    private fun recordUpdate(job: Job): UpdateJobRecord {
        val chunks = job.dirtyChunks().take(config.txnOps - 1)
        val maxParts = config.txnOps - 1 - chunks.size
        if (splitting.isAllowed) job.parts.shrinkRecord(job.placements.values, maxParts)
        val parts = job.parts.partsToStore(maxParts)
        return UpdateJobRecord(
            id = job.spec.id,
            version = job.version,
            record = job.record(),
            chunks = chunks,
            lastChange = job.storeState.urgentChanges,
            requiresUncancelled = job.placements.values.any { it.stage == PlacementStage.PLANNED },
            parts = parts,
            includesAllChanges = parts.size == job.parts.dirtyCount,
        )
    }

    private fun changesOf(write: JobWrite): Int =
        when (write) {
            is UpdateJobRecord -> 1 + write.chunks.size + write.parts.size
            // The final state is put and the record removed, and the cancellation too if there is one.
            is StoreFinalState -> if (write.cancelVersion == null) 2 else 3
        }

    private companion object {
        /** Within one urgency by priority, then by how long it has waited. */
        val byUrgency: Comparator<DueWrite> =
            compareBy<DueWrite> { it.urgency }
                .thenByDescending { it.job.effectivePriority }
                .thenBy { it.waitingSince }

        /** Results gather for this long, so that they go into fewer changes. */
        val RESULT_DELAY: Duration = 1500.milliseconds
        val RETRY: Duration = 150.milliseconds
        val TOO_LARGE_PAUSE: Duration = 30.seconds
    }
}
