package glenspool.api

import glenspool.core.model.JobRecord
import glenspool.logging.loggerOf
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.Fields
import glenspool.wire.JobOutcome
import glenspool.wire.MalformedMessage
import kotlin.time.Duration.Companion.milliseconds

/**
 * Determines the state of jobs from the store cache after bringing it up to date.
 *
 * @property mayConfirmCancellation whether a job's stored cancellation may be reported to a user yet
 */
internal class JobQuery(
    private val cache: StoreCache,
    private val records: JobRecordReader,
    private val finalStates: FinalStates,
    private val dependencyResolver: DependencyResolver,
    private val mayConfirmCancellation: (jobId: String) -> Boolean,
) {
    /** Returns the job's state at some moment after this call began. */
    fun find(jobId: String): JobQueryAnswer {
        finalStates.cached(jobId)?.let { return UserAnswer.Ended(jobId, it) }
        if (!cache.sync(SYNC_TIMEOUT)) return UserAnswer.Unreachable
        val job = readLive(jobId) ?: return findEnded(jobId)
        return if (job.isCancelled) findCancelled(jobId) else findLive(jobId, job.record)
    }

    /**
     * Returns [refusal] if the job was never accepted, otherwise the result of [find]: a job that was accepted before
     * is not refused, even if it would fail the checks of a submission now.
     */
    fun findOrRefuse(jobId: String, refusal: Refusal): UserAnswer {
        val state = find(jobId)
        return if (state is UserAnswer.NotFound) refusal else state
    }

    /** @property record null if the stored record can't be decoded */
    private class LiveJob(val record: JobRecord?, val isCancelled: Boolean)

    /**
     * Reads the job's record and its cancellation atomically. With two separate reads, a cancelled job that ends
     * between them could appear to be live and not cancelled.
     */
    private fun readLive(jobId: String): LiveJob? =
        cache.atomically {
            cache.get(Keys.job(jobId))?.let { item ->
                LiveJob(readOrNull(jobId, item.value), isCancelled = cache.get(Keys.cancel(jobId)) != null)
            }
        }

    /** Returns as much of the record as can be decoded, because a damaged record still shows that the job is live. */
    private fun readOrNull(jobId: String, value: Fields): JobRecord? =
        decodeOrNull(jobId) { records.read(jobId, value) }
            ?: decodeOrNull(jobId) { records.readWithoutChunks(jobId, value) }

    private fun decodeOrNull(jobId: String, decode: () -> JobRecord): JobRecord? =
        try {
            decode()
        } catch (e: MalformedMessage) {
            log.error("stored record of job {} is damaged; only what can be decoded is reported: {}", jobId, e.message)
            null
        }

    /**
     * Returns the state of a job that was not live at a moment after the request arrived. A record moves from live to
     * final in one transaction and never back, so a job that has no final state now was not accepted at that moment.
     */
    private fun findEnded(jobId: String): JobQueryAnswer =
        when (val lookup = finalStates.read(jobId)) {
            is FinalStates.Ended -> UserAnswer.Ended(jobId, lookup.outcome)
            FinalStates.Missing -> UserAnswer.NotFound(jobId)
            FinalStates.Unreachable -> UserAnswer.Unreachable
        }

    /**
     * Returns the state of a job whose cancellation is stored. While the cancellation may not be confirmed, the job
     * must not be reported as live either, because another node may have confirmed the cancellation.
     */
    private fun findCancelled(jobId: String): JobQueryAnswer =
        if (mayConfirmCancellation(jobId)) {
            UserAnswer.Ended(jobId, JobOutcome.Cancelled())
        } else {
            UserAnswer.TryLater
        }

    /**
     * Returns the state of a live job that was not cancelled itself. A job that depends on a cancelled job counts as
     * cancelled from the moment of that cancellation, even if this is not stored yet. Of a job whose record
     * is damaged it is known only that it was accepted and has not ended.
     */
    private fun findLive(jobId: String, record: JobRecord?): JobQueryAnswer {
        if (record == null) return UserAnswer.Live(jobId, tasksDone = 0, tasksRunning = 0, emptyList())
        if (record.dependencies.isEmpty()) return liveAnswer(record, emptyList())
        return when (val resolution = dependencyResolver.resolve(record.dependencies)) {
            is DependencyResolver.Waiting -> liveAnswer(record, resolution.unfinishedDependencies)
            is DependencyResolver.Aborted -> UserAnswer.Ended(jobId, JobOutcome.Cancelled(resolution.cancelledJob))
            DependencyResolver.Undetermined -> UserAnswer.Unreachable
        }
    }

    private fun liveAnswer(record: JobRecord, unfinishedDependencies: List<String>): JobQueryAnswer {
        val running = record.placements.size + record.placementParts.values.sumOf { it.size }
        return UserAnswer.Live(record.spec.id, record.done.cardinality(), running, unfinishedDependencies)
    }

    companion object {
        private val log = loggerOf(JobQuery::class.java)

        /** How long a request waits for the cache to be brought up to date. */
        val SYNC_TIMEOUT = 1500.milliseconds
    }
}
