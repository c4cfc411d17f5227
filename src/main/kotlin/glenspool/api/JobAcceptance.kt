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
 * Stores valid submissions, each job at most once however often and wherever it is submitted.
 *
 * A record that is too long for one value has its description stored in parts before. Only the record itself accepts
 * the job, on the condition that the parts are those that it was made with.
 */
internal class JobAcceptance(
    private val settings: Settings,
    private val store: KeyValueStoreClient,
    private val features: FeaturePermits,
    private val query: JobQuery,
) {
    private val limits = settings.storeLimits.safe
    private val descriptionParts = DescriptionPartWriter(store, features, query, limits)

    /** [abortedBy]: a cancelled job that this one depends on; it is accepted all the same, and its user told so. */
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

    /** A record in the base level's form is kept whole as long as the store takes it: old controllers may lead. */
    private fun maxValueBytes(record: JobRecord): Int {
        val isBaseForm = record.dependencies.isEmpty() && !features.isInUse(FeatureRegistry.SEALED_RECORDS)
        return if (isBaseForm) settings.storeLimits.now.valueBytes else limits.valueBytes
    }

    /** How one attempt to store a submission ended. */
    private sealed interface Attempt {
        data class Answered(val answer: UserAnswer) : Attempt

        /** The store's limit for values is lower than the settings say: to be repeated with a split record. */
        data object ValueTooLarge : Attempt

        /** To be repeated. */
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
            is StoreResult.Conflict -> Attempt.Answered(conflicting(jobId, result.keys))
            is StoreResult.Refused -> refused(result, isSplit, retry)
            is StoreResult.Unknown, StoreResult.Missing -> Attempt.Answered(answerFromStore(jobId))
        }
    }

    private fun conflicting(jobId: String, keys: List<String>): UserAnswer =
        when {
            keys.any { it.startsWith(Keys.DESCRIPTION_PART) } -> UserAnswer.TryLater
            // The level was left, or this node does not know yet that it is active.
            Keys.LEVEL in keys -> query.findOrRefuse(jobId, UserAnswer.TryLater)
            else -> query.find(jobId)
        }

    private fun refused(result: StoreResult.Refused, isSplit: Boolean, retry: StoreRetry): Attempt =
        when {
            result.isRateLimit -> if (retry.backOff()) Attempt.RateLimited else Attempt.Answered(UserAnswer.RateLimited)
            result.status != Status.BAD_REQUEST.code -> Attempt.Answered(UserAnswer.Unreachable)
            // Parts can't be made any smaller: if they don't fit either, nothing will.
            isSplit -> Attempt.Answered(SubmissionValidator.DESCRIPTION_TOO_LONG)
            else -> Attempt.ValueTooLarge
        }

    /** The store did not confirm the transaction: only a read tells whether it was carried out. */
    private fun answerFromStore(jobId: String): UserAnswer =
        when (val state = query.find(jobId)) {
            is UserAnswer.Live, is UserAnswer.Ended -> state
            is UserAnswer.NotFound, UserAnswer.Unreachable, UserAnswer.TryLater -> UserAnswer.TryLater
        }
}
