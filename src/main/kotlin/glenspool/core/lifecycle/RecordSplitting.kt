package glenspool.core.lifecycle

import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.model.JobSpec

/**
 * Decides whether placements may be stored outside their job's record. This is allowed only once no controller has a
 * version that reads records alone, because such a controller would treat tasks as waiting whose placements it can't
 * read. When records must no longer be split, placements are moved back into them as far as they fit.
 */
class RecordSplitting(private val context: SchedulingContext, private val cluster: ClusterState) {
    private var isSupportedByAll = false

    /** Whether the level of stored forms that allows split records is not active or is being left. */
    private var isForbidden = false

    /** Jobs that may still be split while splitting is forbidden. No other job is split then. */
    private val jobsToMerge = LinkedHashSet<Job>()

    /** Whether placements may currently be stored outside the record. */
    val isAllowed: Boolean get() = isSupportedByAll && !isForbidden

    /** Creates the placement parts of a new job. */
    fun partsFor(spec: JobSpec): PlacementParts {
        val valueBytes = context.config.valueBytes
        val recordCapacity = maxOf(0, valueBytes - spec.maxRecordBytes - PlacementParts.RECORD_OVERHEAD)
        return PlacementParts(recordCapacity, valueBytes - PlacementParts.PART_OVERHEAD)
    }

    /** Returns how many more tasks of the job may be placed so that all its values stay within the size limit. */
    fun remainingCapacity(job: Job): Int = job.parts.remainingCapacity(isAllowed)

    /** Records permanently that every controller was found to read split records. */
    fun markSupportedByAll() {
        isSupportedByAll = true
    }

    /** Forbids or allows split records, regardless of what the controllers can read. */
    fun setForbidden(forbidden: Boolean) {
        if (forbidden == isForbidden) return
        isForbidden = forbidden
        if (forbidden) startMerging() else jobsToMerge.clear()
    }

    private fun startMerging() {
        cluster.jobs.values.filterTo(jobsToMerge) { it.isSplit }
        jobsToMerge.forEach(::dropUnstored)
        merge()
    }

    /** Moves placements of split jobs back into their records where space has become free. */
    fun merge() {
        if (jobsToMerge.isEmpty()) return
        jobsToMerge.removeIf { job ->
            if (!job.isFinished && job.mergeParts()) job.addUrgentChange()
            job.isFinished || !job.isSplit
        }
    }

    /**
     * Removes planned placements outside the record, which were decided while splitting was allowed and can no longer
     * be stored. Their tasks are placed again. Stored placements are kept.
     */
    private fun dropUnstored(job: Job) {
        job.placements.values
            .filter { it.stage == PlacementStage.PLANNED && it.part != PlacementParts.RECORD }
            .forEach(cluster::removePlacement)
    }
}
