package glenspool.api

import com.google.common.cache.CacheBuilder
import glenspool.state.Keys
import glenspool.state.StoreResult
import glenspool.wire.JobOutcome
import glenspool.wire.StoreWire
import glenspool.wire.UserWire

/** Reads the final states of jobs from the key-value store by [get] and caches them, since they never change. */
class FinalStates(private val get: (key: String) -> StoreResult<StoreWire.Item>) {
    /** The result of reading a job's final key. */
    sealed interface Lookup

    /** The job has its final state. */
    data class Ended(val outcome: JobOutcome) : Lookup

    /** No final state is stored: the job is live, or was never accepted. */
    data object Missing : Lookup

    /** The key-value store did not answer. */
    data object Unreachable : Lookup

    /** Created by the first user's request, because loading the cache library's classes would delay the start. */
    private val outcomes by lazy { CacheBuilder.newBuilder().maximumSize(MAX_OUTCOMES).build<String, JobOutcome>() }

    /** Returns the outcome if it is cached, otherwise null. */
    fun cached(jobId: String): JobOutcome? = outcomes.getIfPresent(jobId)

    /** Returns the job's final state from the cache or from the key-value store. */
    fun read(jobId: String): Lookup {
        cached(jobId)?.let { return Ended(it) }
        return when (val result = get(Keys.final(jobId))) {
            is StoreResult.Ok -> Ended(UserWire.decodeOutcome(result.value.value).also { outcomes.put(jobId, it) })
            is StoreResult.Missing -> Missing
            else -> Unreachable
        }
    }

    private companion object {
        const val MAX_OUTCOMES = 4000L
    }
}
