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
import glenspool.core.model.StoredPlacement
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which changes are stored when. The key-value store accepts few changes a second, which the leader shares with
 * job acceptance at every controller. The leader uses its share by urgency: placements of critical work first, then
 * final states, then other placements, and last changes that only save work after a failure. All changes of a job are
 * written together. [onJobEnded] is called for jobs whose final state was stored.
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
    private var nextWriteAt = context.startedAt

    /** Whether each job is stored alone, so that a too large change blocks no other, until a write succeeds again. */
    private var storesOneByOne = false

    /** The urgency of a job's changes, most urgent first. */
    private enum class Urgency { CRITICAL_PLACEMENT, FINAL_STATE, PLACEMENT, RESULT }

    private class DueWrite(val urgency: Urgency, val job: Job) {
        val waitingSince: Duration?
            get() = if (urgency == Urgency.RESULT) job.storeState.deferredChangeSince else job.waitingSince
    }

    /** Reports that the job may have changes to store. */
    fun markDirty(job: Job) {
        dirty.add(job)
    }

    private fun urgencyOf(job: Job): Urgency? {
        if (job.isFinished || job.storeState.isWriteInFlight || job.storeState.notBefore > now) return null
        val hasUrgentChanges = job.storeState.hasUrgentChanges
        val isCritical = job.effectivePriority == Priority.CRITICAL && !job.isCancelled
        return when {
            hasUrgentChanges && isCritical -> Urgency.CRITICAL_PLACEMENT
            canBeClosed(job) -> Urgency.FINAL_STATE
            job.waitsForDependencies -> null
            hasUrgentChanges -> Urgency.PLACEMENT
            job.storeState.deferredChangeSince != null && !job.isCancelled -> Urgency.RESULT
            else -> null
        }
    }

    /** Stores the most urgent changes, as far as the budget allows. */
    fun flush() {
        if (isTransactionInFlight || dirty.isEmpty() || now < nextWriteAt) return
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
        for (write in writes) writeEnded(write, outcome)
        if (outcome is StoreOutcome.Stored) storesOneByOne = false else nextWriteAt = now + RETRY_DELAY
        if (outcome is StoreOutcome.TooLarge) tooLarge(writes, outcome.descriptionParts)
    }

    private fun writeEnded(write: JobWrite, outcome: StoreOutcome) {
        if (write is StoreFinalState && outcome is StoreOutcome.Stored) {
            dependencies.jobEnded(write.id, write.finalState)
        }
        val job = dependencies.findJob(write.id) ?: return
        job.storeState.writeEnded()
        if (outcome !is StoreOutcome.Stored) {
            // The changes of the failed write, including results, remain to be stored.
            job.addDeferredChange(now)
            return
        }
        if (outcome.revision > job.version) job.version = outcome.revision
        when (write) {
            is StoreFinalState -> onJobEnded(job.spec.id)
            is UpdateJobRecord -> recordStored(job, write)
        }
    }

    /** Isolates, delays and logs the job whose change is too large. Otherwise it would be retried without end. */
    private fun tooLarge(writes: List<JobWrite>, descriptionParts: Map<String, Int>) {
        // The store's limits are lowered only when every controller has the new version.
        splitting.markSupportedByAll()
        storesOneByOne = true
        for ((id, parts) in descriptionParts) dependencies.findJob(id)?.descriptionPartCount = parts
        val write = writes.singleOrNull() ?: return
        if (write.id in descriptionParts) return
        dependencies.findJob(write.id)?.storeState?.notBefore = now + TOO_LARGE_RETRY_DELAY
        context.log(isImportant = true) {
            "too-large job=${write.id}: its change exceeds the store's limits and is retried later"
        }
    }

    private fun recordStored(job: Job, write: UpdateJobRecord) {
        context.hooks.observer.jobRecordStored(write.record)
        if (write.includesAllDirtyParts) job.storeState.markStored(write.lastChange) else job.addDeferredChange(now)
        job.parts.markStored(write.parts)
        job.markDoneStored(write)
        if (job.hasUnstoredChunksAfter(write)) job.addDeferredChange(now)
        val planned = job.placements.values.filter { it.stage == PlacementStage.PLANNED }
        if (planned.isEmpty()) return
        val stored = storedPlacements(write)
        planned.filter { it.toStored() in stored }.forEach(::placementStored)
    }

    /** The placements that the write has stored, without those of parts that it left out. */
    private fun storedPlacements(write: UpdateJobRecord): Set<StoredPlacement> {
        val stored = HashSet(write.record.placements)
        for (part in write.parts.keys) stored.addAll(write.record.placementParts[part].orEmpty())
        return stored
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

    private fun canBeClosed(job: Job): Boolean {
        val isCancelledAndRemoved = job.isCancelled && job.placements.isEmpty() && job.orphans.isEmpty()
        return job.abortedBy != null || isCancelledAndRemoved || job.isComplete
    }

    private fun writeFor(job: Job): JobWrite {
        val id = job.spec.id
        if (job.isComplete && !job.isCancelled) return StoreFinalState(id, job.version, null, job.spec.tasks)
        if (canBeClosed(job)) return StoreFinalState(id, job.version, job.cancelVersion, job.spec.tasks, job.abortedBy)
        return recordUpdate(job)
    }

    /**
     * Creates the update of a job's record. Parts that do not fit into one transaction follow in the next one, except
     * those without which the record must not be stored.
     */
    private fun recordUpdate(job: Job): UpdateJobRecord {
        val changesBesidesRecord = config.txnOps - 1
        if (splitting.isAllowed) job.parts.shrinkRecord(job.placements.values, changesBesidesRecord)
        val chunks = job.dirtyChunks().take(changesBesidesRecord - job.parts.requiredCount)
        val parts = job.parts.partsToStore(changesBesidesRecord - chunks.size)
        return UpdateJobRecord(
            id = job.spec.id,
            version = job.version,
            record = job.record(),
            chunks = chunks,
            lastChange = job.storeState.urgentChanges,
            requiresUncancelled = job.placements.values.any { it.stage == PlacementStage.PLANNED },
            parts = parts,
            includesAllDirtyParts = parts.size == job.parts.dirtyCount,
        )
    }

    private fun changesOf(write: JobWrite): Int =
        when (write) {
            is UpdateJobRecord -> 1 + write.chunks.size + write.parts.size
            // The final state is put, and the record is removed, as is the cancellation if there is one.
            is StoreFinalState -> if (write.cancelVersion == null) 2 else 3
        }

    private companion object {
        /** Orders by urgency, then by priority, then by waiting time. */
        val byUrgency: Comparator<DueWrite> =
            compareBy<DueWrite> { it.urgency }
                .thenByDescending { it.job.effectivePriority }
                .thenBy { it.waitingSince }

        /** Results are collected for this long, so that they need fewer changes. */
        val RESULT_DELAY: Duration = 1500.milliseconds
        val RETRY_DELAY: Duration = 150.milliseconds
        val TOO_LARGE_RETRY_DELAY: Duration = 30.seconds
    }
}
