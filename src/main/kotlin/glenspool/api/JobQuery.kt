package glenspool.api

import glenspool.core.model.JobRecord
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.JobOutcome
import kotlin.time.Duration.Companion.milliseconds

/**
 * Answers what state a job is in, from the store cache brought up to date.
 *
 * [mayConfirmCancellation]: whether a user may be told of the job's stored cancellation by now.
 */
internal class JobQuery(
    private val cache: StoreCache,
    private val records: JobRecordReader,
    private val finalStates: FinalStates,
    private val dependencyResolver: DependencyResolver,
    private val mayConfirmCancellation: (jobId: String) -> Boolean,
) {
    /** The job's state at some moment after this call began. */
    fun find(jobId: String): JobQueryAnswer {
        finalStates.cached(jobId)?.let { return UserAnswer.Ended(jobId, it) }
        if (!cache.sync(SYNC_TIMEOUT)) return UserAnswer.Unreachable
        val job = readLive(jobId) ?: return findEnded(jobId)
        return if (job.isCancelled) findCancelled(jobId) else findLive(jobId, job.record)
    }

    /** The state of a job that is known already, whatever the checks of a submission say today; otherwise [refusal]. */
    fun findOrRefuse(jobId: String, refusal: Refusal): UserAnswer {
        val state = find(jobId)
        return if (state is UserAnswer.NotFound) refusal else state
    }

    private class LiveJob(val record: JobRecord, val isCancelled: Boolean)

    /** Both keys at once: read one by one, a cancelled job that is just ending could look live and not cancelled. */
    private fun readLive(jobId: String): LiveJob? =
        cache.atomically {
            val record = cache.get(Keys.job(jobId))?.let { records.read(jobId, it.value) }
            record?.let { LiveJob(it, isCancelled = cache.get(Keys.cancel(jobId)) != null) }
        }

    /**
     * A job that was not live at a moment after the request came. A record moves from live to final in one transaction
     * and never back, so what isn't final now was not accepted at that moment.
     */
    private fun findEnded(jobId: String): JobQueryAnswer =
        when (val lookup = finalStates.read(jobId)) {
            is FinalStates.Ended -> UserAnswer.Ended(jobId, lookup.outcome)
            FinalStates.Missing -> UserAnswer.NotFound(jobId)
            FinalStates.Unreachable -> UserAnswer.Unreachable
        }

    /**
     * While the cancellation may not be confirmed, the job may not be called live either: another node may have
     * confirmed it.
     */
    private fun findCancelled(jobId: String): JobQueryAnswer =
        if (mayConfirmCancellation(jobId)) {
            UserAnswer.Ended(jobId, JobOutcome.Cancelled())
        } else {
            UserAnswer.TryLater
        }

    /**
     * A job that depends on a cancelled one counts as cancelled from that moment, whether that is stored already or
     * not.
     */
    private fun findLive(jobId: String, record: JobRecord): JobQueryAnswer {
        if (record.dependencies.isEmpty()) return live(record, emptyList())
        return when (val resolution = dependencyResolver.resolve(record.dependencies)) {
            is DependencyResolver.Waiting -> live(record, resolution.unfinishedDependencies)
            is DependencyResolver.Aborted -> UserAnswer.Ended(jobId, JobOutcome.Cancelled(resolution.cancelledJob))
            DependencyResolver.Undetermined -> UserAnswer.Unreachable
        }
    }

    private fun live(record: JobRecord, unfinishedDependencies: List<String>): JobQueryAnswer {
        val running = record.placements.size + record.placementParts.values.sumOf { it.size }
        return UserAnswer.Live(record.spec.id, record.done.cardinality(), running, unfinishedDependencies)
    }

    companion object {
        /** How long a request waits for the cache to be brought up to date. */
        val SYNC_TIMEOUT = 1500.milliseconds
    }
}
