package glenspool.core.lifecycle

import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.model.JobSpec

/**
 * Whether placements may be stored apart from their job's record: only once no controller is of a version that reads
 * records alone, since it would take tasks whose placements it does not see for waiting ones. Once records must not be
 * split any more, what is split is brought back as far as it fits.
 */
class RecordSplitting(private val context: SchedulingContext, private val cluster: ClusterState) {
    private var isSupportedByAll = false

    /** The level of stored forms that allows it is not active, or is being left. */
    private var isForbidden = false

    /** Jobs that may still be split. No job is split while that is forbidden. */
    private val jobsToMerge = LinkedHashSet<Job>()

    /** Whether placements may be stored apart now. */
    val isAllowed: Boolean get() = isSupportedByAll && !isForbidden

    /** Where a new job's placements are stored. */
    fun partsFor(spec: JobSpec): PlacementParts {
        val valueBytes = context.config.valueBytes
        val recordCapacity = maxOf(0, valueBytes - spec.maxRecordBytes - PlacementParts.RECORD_OVERHEAD)
        return PlacementParts(recordCapacity, valueBytes - PlacementParts.PART_OVERHEAD)
    }

    /** How many more tasks of the job may be placed, so that all its values stay within the limit. */
    fun remainingCapacity(job: Job): Int = job.parts.remainingCapacity(isAllowed)

    /** Every controller was found to read split records; it stays so. */
    fun markSupportedByAll() {
        isSupportedByAll = true
    }

    /** Forbids or allows it, whatever else is known. */
    fun setForbidden(forbidden: Boolean) {
        if (forbidden == isForbidden) return
        isForbidden = forbidden
        if (forbidden) beginMerging() else jobsToMerge.clear()
    }

    private fun beginMerging() {
        cluster.jobs.values.filterTo(jobsToMerge) { it.isSplit }
        jobsToMerge.forEach(::dropUnstored)
        merge()
    }

    /** Goes on merging where space has become free. */
    fun merge() {
        if (jobsToMerge.isEmpty()) return
        jobsToMerge.removeIf { job ->
            if (!job.isFinished && job.mergeParts()) job.addUrgentChange()
            job.isFinished || !job.isSplit
        }
    }

    /**
     * A planned placement that lies apart was decided on while that was allowed, but its record can't be stored any
     * more: it is given up, and the task is placed anew. Placements that are stored are kept.
     */
    private fun dropUnstored(job: Job) {
        job.placements.values
            .filter { it.stage == PlacementStage.PLANNED && it.part != PlacementParts.RECORD }
            .forEach(cluster::removePlacement)
    }
}
