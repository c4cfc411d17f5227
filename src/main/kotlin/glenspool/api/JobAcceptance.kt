package glenspool.api

import glenspool.config.Settings
import glenspool.core.model.JobRecord
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.state.conditions
import glenspool.wire.Cbor
import glenspool.wire.RecordWire
import org.http4k.core.Status

/**
 * Stores valid submissions. Each job is stored at most once, no matter how often and at which nodes it is submitted.
 *
 * If a record is too long for one value, its description is stored in parts first. The job is accepted only when the
 * record itself is stored, on the condition that the parts are those that the record was made with.
 */
internal class JobAcceptance(
    private val settings: Settings,
    private val store: KeyValueStoreClient,
    private val features: FeaturePermits,
    private val query: JobQuery,
) {
    private val limits = settings.storeLimits.effective
    private val descriptionParts = DescriptionPartWriter(store, features, query, limits)

    /**
     * Stores the job. If it depends on a cancelled job, [abortedBy], it is accepted nevertheless, and the answer to the
     * user names the cancelled job.
     */
    fun accept(record: JobRecord, abortedBy: String?): UserAnswer {
        val retry = StoreRetry()
        var isSplit = Cbor.jsonSizeBytes(RecordWire.encode(record)) > maxValueBytes(record)
        while (true) {
            when (val attempt = tryStore(record, abortedBy, isSplit, retry)) {
                is Attempt.Answered -> return attempt.answer
                Attempt.ValueTooLarge -> isSplit = true
                Attempt.RateLimited -> Unit
            }
        }
    }

    /**
     * Returns the size above which the record is split. A record in the base level's form is not split as long as the
     * store accepts it, because the leader may be an old controller, which can't read split records.
     */
    private fun maxValueBytes(record: JobRecord): Int {
        val isBaseForm = record.dependencies.isEmpty() && !features.isInUse(FeatureRegistry.SEALED_RECORDS)
        return if (isBaseForm) settings.storeLimits.current.valueBytes else limits.valueBytes
    }

    /** The result of one attempt to store a submission. */
    private sealed interface Attempt {
        data class Answered(val answer: UserAnswer) : Attempt

        /**
         * The store's value limit is lower than the configured one; the attempt is to be repeated with a split record.
         */
        data object ValueTooLarge : Attempt

        /** The store's rate limit refused the transaction; the attempt is to be repeated. */
        data object RateLimited : Attempt
    }

    private fun tryStore(record: JobRecord, abortedBy: String?, isSplit: Boolean, retry: StoreRetry): Attempt {
        val jobId = record.spec.id
        if (!isSplit && record.dependencies.isEmpty()) {
            return transact(record, notAcceptedConditions(jobId), abortedBy, isSplit, retry)
        }
        val permit =
            features.permit(FeatureRegistry.SEALED_RECORDS)
                ?: return Attempt.Answered(query.findOrRefuse(jobId, UserAnswer.TryLater))
        val conditions = notAcceptedConditions(jobId) + permit.conditions()
        if (!isSplit) return transact(record, conditions, abortedBy, isSplit, retry)
        return when (val parts = descriptionParts.write(record, retry)) {
            is DescriptionPartWriter.Result.Failed -> Attempt.Answered(parts.answer)
            is DescriptionPartWriter.Result.Stored -> {
                val split = record.copy(descriptionPartCount = parts.versions.size)
                transact(split, conditions + parts.versions, abortedBy, isSplit, retry)
            }
        }
    }

    private fun transact(
        record: JobRecord,
        conditions: Map<String, Long>,
        abortedBy: String?,
        isSplit: Boolean,
        retry: StoreRetry,
    ): Attempt {
        val jobId = record.spec.id
        return when (val result = store.transact(conditions, listOf(Put(Keys.job(jobId), RecordWire.encode(record))))) {
            is StoreResult.Ok -> Attempt.Answered(UserAnswer.Accepted(jobId, abortedBy))
            is StoreResult.Conflict -> Attempt.Answered(answerConflict(jobId, result.keys))
            is StoreResult.Refused -> attemptAfterRefusal(result, isSplit, retry)
            is StoreResult.Unknown, StoreResult.Missing -> Attempt.Answered(answerFromStore(jobId))
        }
    }

    private fun answerConflict(jobId: String, keys: List<String>): UserAnswer =
        when {
            keys.any { it.startsWith(Keys.DESCRIPTION_PART) } -> UserAnswer.TryLater
            // The level is no longer active, or this node has not yet read that it is active.
            Keys.LEVEL in keys -> query.findOrRefuse(jobId, UserAnswer.TryLater)
            else -> query.find(jobId)
        }

    private fun attemptAfterRefusal(result: StoreResult.Refused, isSplit: Boolean, retry: StoreRetry): Attempt =
        when {
            result.isRateLimit -> if (retry.backOff()) Attempt.RateLimited else Attempt.Answered(UserAnswer.RateLimited)
            result.status != Status.BAD_REQUEST.code -> Attempt.Answered(UserAnswer.Unreachable)
            // The parts can't be made smaller, so the record can't be stored if the split form does not fit either.
            isSplit -> Attempt.Answered(SubmissionValidator.DESCRIPTION_TOO_LONG)
            else -> Attempt.ValueTooLarge
        }

    /** Reads the job's state after an unconfirmed transaction, since only a read shows whether it was carried out. */
    private fun answerFromStore(jobId: String): UserAnswer =
        when (val state = query.find(jobId)) {
            is UserAnswer.Live, is UserAnswer.Ended -> state
            is UserAnswer.NotFound, UserAnswer.Unreachable, UserAnswer.TryLater -> UserAnswer.TryLater
        }
}
