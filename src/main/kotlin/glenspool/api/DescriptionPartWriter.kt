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

    fun write(record: JobRecord, retry: StoreRetry): Result {
        val jobId = record.spec.id
        val versions = LinkedHashMap<String, Long>()
        for (puts in JobRecordReader.descriptionPartPuts(record, limits.valueBytes).chunked(limits.txnOps)) {
            while (true) {
                when (val attempt = tryWrite(jobId, puts, retry)) {
                    is Attempt.Stored -> {
                        puts.forEach { versions[it.key] = attempt.version }
                        break
                    }
                    is Attempt.NotPermitted -> return resultIfNotPermitted(attempt.answer, versions)
                    is Attempt.Failed -> return Result.Failed(attempt.answer)
                    Attempt.RateLimited -> Unit
                }
            }
        }
        return Result.Stored(versions)
    }

    /**
     * Known fault: if the job's state can't be read either, the submission continues with the parts [written] so far.
     * Only the conditions of the transaction that stores the job then keep it from being stored without the other
     * parts.
     */
    private fun resultIfNotPermitted(answer: UserAnswer, written: Map<String, Long>): Result =
        when (answer) {
            UserAnswer.Unreachable -> Result.Stored(written)
            else -> Result.Failed(answer)
        }

    private sealed interface Attempt {
        data class Stored(val version: Long) : Attempt

        /** The level forbids the parts, or the job exists already. */
        data class NotPermitted(val answer: UserAnswer) : Attempt

        data class Failed(val answer: UserAnswer) : Attempt

        /** The store's rate limit refused the transaction, which is to be repeated. */
        data object RateLimited : Attempt
    }

    private fun tryWrite(jobId: String, puts: List<Put>, retry: StoreRetry): Attempt {
        val permit =
            features.permit(FeatureRegistry.SEALED_RECORDS)
                ?: return Attempt.NotPermitted(query.findOrRefuse(jobId, UserAnswer.TryLater))
        // The conditions keep a delayed copy of this transaction from changing the parts of a job accepted since.
        return when (val result = store.transact(permit.conditions() + notAcceptedConditions(jobId), puts)) {
            is StoreResult.Ok -> Attempt.Stored(result.value)
            is StoreResult.Conflict -> Attempt.NotPermitted(answerConflict(jobId, result.keys))
            is StoreResult.Refused ->
                when {
                    !result.isRateLimit -> Attempt.Failed(UserAnswer.Unreachable)
                    retry.backOff() -> Attempt.RateLimited
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
