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

/** Stores the description of a job whose record is too long for one value, in parts under keys of their own. */
internal class DescriptionPartWriter(
    private val store: KeyValueStoreClient,
    private val features: FeaturePermits,
    private val query: JobQuery,
    private val limits: StoreLimits,
) {
    sealed interface Result {
        /** [versions]: of each part by its key, as conditions of the transaction that stores the job. */
        data class Stored(val versions: Map<String, Long>) : Result

        /** The parts are not all stored, and the submission ends with this answer. */
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
                    is Attempt.NotPermitted -> return notPermitted(attempt.answer, versions)
                    is Attempt.Failed -> return Result.Failed(attempt.answer)
                    Attempt.RateLimited -> Unit
                }
            }
        }
        return Result.Stored(versions)
    }

    /**
     * Known fault: if the job's state can't be read either, the submission goes on with the parts [written] so far, and
     * only the conditions of the transaction that stores the job keep it from being stored without the others.
     */
    private fun notPermitted(answer: UserAnswer, written: Map<String, Long>): Result =
        when (answer) {
            UserAnswer.Unreachable -> Result.Stored(written)
            else -> Result.Failed(answer)
        }

    private sealed interface Attempt {
        data class Stored(val version: Long) : Attempt

        /** The level forbids the parts, or the job exists already. */
        data class NotPermitted(val answer: UserAnswer) : Attempt

        data class Failed(val answer: UserAnswer) : Attempt

        /** To be repeated. */
        data object RateLimited : Attempt
    }

    private fun tryWrite(jobId: String, puts: List<Put>, retry: StoreRetry): Attempt {
        val permit =
            features.permit(FeatureRegistry.SEALED_RECORDS)
                ?: return Attempt.NotPermitted(query.findOrRefuse(jobId, UserAnswer.TryLater))
        // A late copy of this transaction must not change the parts of a job that was accepted since.
        return when (val result = store.transact(permit.conditions() + notAcceptedConditions(jobId), puts)) {
            is StoreResult.Ok -> Attempt.Stored(result.value)
            is StoreResult.Conflict -> Attempt.NotPermitted(conflicting(jobId, result.keys))
            is StoreResult.Refused ->
                when {
                    !result.isRateLimit -> Attempt.Failed(UserAnswer.Unreachable)
                    retry.backOff() -> Attempt.RateLimited
                    else -> Attempt.Failed(UserAnswer.RateLimited)
                }
            is StoreResult.Unknown, StoreResult.Missing -> Attempt.Failed(UserAnswer.Unreachable)
        }
    }

    private fun conflicting(jobId: String, keys: List<String>): UserAnswer =
        when {
            Keys.LEVEL in keys -> query.findOrRefuse(jobId, UserAnswer.TryLater)
            else -> query.find(jobId)
        }
}
