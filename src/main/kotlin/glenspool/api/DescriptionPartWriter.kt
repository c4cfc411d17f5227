package glenspool.api

import glenspool.config.StoreLimits
import glenspool.core.model.JobRecord
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.JobRecordReader
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.state.conditions

/** Stores the description of a job whose record is too long for one value in parts under separate keys. */
internal class DescriptionPartWriter(
    private val store: KeyValueStoreClient,
    private val features: FeaturePermits,
    private val query: JobQuery,
    private val limits: StoreLimits,
) {
    sealed interface Result {
        /** @property versions each part's version by its key, as conditions of the transaction that stores the job */
        data class Stored(val versions: Map<String, Long>) : Result

        /** Not all parts were stored, and the submission ends with this [answer]. */
        data class Failed(val answer: UserAnswer) : Result
    }

    /**
     * Stores all parts, in as many transactions as the store's limits require. As soon as one of them is not stored,
     * the submission has failed: a record must never be stored without all of its parts.
     */
    fun write(record: JobRecord, retry: StoreRetry): Result {
        val versions = LinkedHashMap<String, Long>()
        for (puts in JobRecordReader.descriptionPartPuts(record, limits.valueBytes).chunked(limits.txnOps)) {
            when (val attempt = writeWithRetries(record.spec.id, puts, retry)) {
                is Attempt.Stored -> puts.forEach { versions[it.key] = attempt.version }
                is Attempt.Failed -> return Result.Failed(attempt.answer)
            }
        }
        return Result.Stored(versions)
    }

    private fun writeWithRetries(jobId: String, puts: List<Put>, retry: StoreRetry): Attempt {
        while (true) tryWrite(jobId, puts, retry)?.let { return it }
    }

    private sealed interface Attempt {
        data class Stored(val version: Long) : Attempt

        /** The parts were not stored, or it is not known whether they were; the user gets this [answer]. */
        data class Failed(val answer: UserAnswer) : Attempt
    }

    /** Returns null if the store's rate limit refused the transaction, which is to be repeated. */
    private fun tryWrite(jobId: String, puts: List<Put>, retry: StoreRetry): Attempt? {
        val permit =
            features.permit(FeatureRegistry.SEALED_RECORDS)
                ?: return Attempt.Failed(query.findOrRefuse(jobId, UserAnswer.TryLater))
        // The conditions keep a delayed copy of this transaction from changing the parts of a job accepted since.
        return when (val result = store.transact(permit.conditions() + notAcceptedConditions(jobId), puts)) {
            is StoreResult.Ok -> Attempt.Stored(result.value)
            is StoreResult.Conflict -> Attempt.Failed(answerConflict(jobId, result.keys))
            is StoreResult.Refused ->
                when {
                    !result.isRateLimit -> Attempt.Failed(UserAnswer.Unreachable)
                    retry.backOff() -> null
                    else -> Attempt.Failed(UserAnswer.RateLimited)
                }
            is StoreResult.Unknown, StoreResult.Missing -> Attempt.Failed(UserAnswer.Unreachable)
        }
    }

    private fun answerConflict(jobId: String, keys: List<String>): UserAnswer =
        when {
            Keys.LEVEL in keys -> query.findOrRefuse(jobId, UserAnswer.TryLater)
            else -> query.find(jobId)
        }
}
