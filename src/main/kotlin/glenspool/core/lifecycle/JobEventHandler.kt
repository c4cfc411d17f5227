package glenspool.core.lifecycle

import glenspool.core.SchedulingContext
import glenspool.core.StopCause
import glenspool.core.autoscaling.Autoscaler
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.CommandQueue
import glenspool.core.cluster.Orphans
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * Applies changes of jobs that were read from the key-value store: new records, cancellations and final states.
 * [onDirty] is called for jobs that may have changes to store.
 */
class JobEventHandler(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val splitting: RecordSplitting,
    private val orphans: Orphans,
    private val commands: CommandQueue,
    private val autoscaler: Autoscaler,
    private val onDirty: (Job) -> Unit,
) {
    private val now: Duration get() = context.now

    private class LocatedPlacement(val placement: StoredPlacement, val part: Int)

    /** A record of an unknown job was read. */
    fun newJobRead(record: JobRecord, version: Long, dependencies: JobDependencies) {
        val job = Job(record, version, splitting.partsFor(record.spec), onDirty)
        job.knownSince = now
        context.hooks.observer.jobRecordRead(record)
        if (record.dependencies.isNotEmpty()) {
            dependencies.add(job, record.dependencies)
            dependencies.jobAdded(record.spec.id)
            return
        }
        cluster.addJob(job)
        dependencies.jobAdded(record.spec.id)
        restorePlacements(job, record)
        orphans.adopt(job)
        if (job.isComplete) job.markDirty()
        addRunnableJob(job)
    }

    /**
     * Restores the stored placements, which an earlier leader may have started. The parts of a record are not all
     * written in one transaction, so an older part may still contain a task that has a newer placement in another part.
     */
    private fun restorePlacements(job: Job, record: JobRecord) {
        val outdatedParts = ArrayList<Int>()
        for (sameTask in locatedPlacements(record).groupBy { it.placement.task }.values) {
            val newest = sameTask.maxBy { it.placement.attempt }
            restore(job, newest)
            (sameTask - newest).mapTo(outdatedParts) { it.part }
        }
        job.parts.markAllStored()
        outdatedParts.forEach(job.parts::markDirty)
        if (job.spec.kind == JobKind.GANG && job.placements.isNotEmpty()) {
            job.gangAttempt = job.placements.values.maxOf { it.attempt }
            job.gangStarted = true
        }
    }

    private fun locatedPlacements(record: JobRecord): List<LocatedPlacement> {
        val inRecord = record.placements.map { LocatedPlacement(it, PlacementParts.RECORD) }
        val inParts =
            record.placementParts.flatMap { (part, placements) ->
                placements.map { LocatedPlacement(it, part) }
            }
        return inRecord + inParts
    }

    private fun restore(job: Job, located: LocatedPlacement) {
        val stored = located.placement
        val placement = Placement(job, stored.task, stored.attempt, stored.machine, now)
        placement.markRestored(now)
        cluster.restore(placement, located.part)
    }

    /** All dependencies of the job are done, so its tasks may be placed from now on. */
    fun dependenciesDone(job: Job) {
        job.dependenciesDone(context.wallTime, now)
        cluster.addJob(job)
        context.log {
            val waited = (context.wallTime - job.submittedAt).toDouble(DurationUnit.SECONDS)
            "dependencies-done job=${job.spec.id} class=${job.spec.jobClass} waited-s=$waited"
        }
        addRunnableJob(job)
    }

    private fun addRunnableJob(job: Job) {
        autoscaler.jobArrived(job)
        context.requestRound()
    }

    /** The job's cancellation was stored under [version] at [at], a wall-clock time. */
    fun jobCancelled(job: Job, version: Long, at: Duration, dependencies: JobDependencies) {
        job.markDirty()
        if (job.isCancelled) {
            job.updateCancelVersion(version)
            return
        }
        job.cancel(version, now - maxOf(Duration.ZERO, context.wallTime - at))
        context.hooks.observer.jobCancelled(job.spec.id)
        if (job.placements.isNotEmpty()) {
            context.log(isImportant = true) {
                val machines = job.placements.values.mapTo(HashSet()) { it.machine }
                "cancelled job=${job.spec.id} tasks=${job.placements.size} machines=${machines.size} " +
                    "after=${context.wallTime - at}"
            }
        }
        dependencies.jobCancelled(job.spec.id)
        for (placement in job.placements.values.toList()) {
            // No start command can be in flight for a placement that is neither stored nor being stored.
            if (placement.stage == PlacementStage.PLANNED && !job.storeState.isWriteInFlight) {
                cluster.removePlacement(placement)
            } else {
                commands.stop(placement, StopCause.CANCELLED, Duration.ZERO)
            }
        }
        context.requestRound()
    }

    /** The job reached its final state. */
    fun jobEnded(id: String) {
        context.hooks.observer.jobEnded(id)
        val job = cluster.removeJob(id) ?: return
        job.markFinished()
        job.placements.values
            .toList()
            .forEach(cluster::removePlacement)
        context.requestRound()
    }
}
