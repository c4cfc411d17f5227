package glenspool.core.lifecycle

import glenspool.core.Scheduler

/**
 * Brings places that are stored apart back into their jobs' records once records may no longer be split. The changed
 * records are stored like all others, within the state service's rate. What does not fit stays where it is until room
 * is free.
 */
class RecordMerger(private val core: Scheduler) {
    /** Jobs that may still have places apart. No job gets such places while records must not be split. */
    private val open = LinkedHashSet<Job>()

    /** Records must not be split from now on. */
    fun begin() {
        core.jobs.values.filterTo(open) { it.isSplit }
        open.forEach(::dropUnstored)
        advance()
    }

    /** Records may be split again. */
    fun end() = open.clear()

    /** Goes on where room has become free. */
    fun advance() {
        if (open.isEmpty()) return
        open.removeIf { job ->
            if (!job.finished && job.mergeParts()) job.storeSoon()
            job.finished || !job.isSplit
        }
    }

    /**
     * An intended place that lies apart was decided on while that was allowed, but its record can't be stored any more:
     * it is given up, and the task is placed anew. Places that are stored are kept.
     */
    private fun dropUnstored(job: Job) {
        job.placements.values
            .filter { it.step == PlacementStage.PLANNED && it.part != PlacementParts.RECORD }
            .forEach(core::drop)
    }
}
