package glenspool.api

import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.state.wallClock
import glenspool.wire.UserWire

/** Cancels jobs on their users' request. */
internal class JobCancellation(private val store: KeyValueStoreClient, private val query: JobQuery) {
    fun cancel(jobId: String): UserAnswer {
        val state = query.find(jobId)
        if (state !is UserAnswer.Live) return state
        val retry = StoreRetry()
        while (true) {
            when (val result = storeCancellation(jobId)) {
                is StoreResult.Ok -> return stored(jobId)
                is StoreResult.Refused -> {
                    if (!result.isRateLimit) return UserAnswer.Unreachable
                    if (!retry.backOff()) return UserAnswer.RateLimited
                }
                is StoreResult.Conflict, is StoreResult.Unknown, StoreResult.Missing -> return notStored(jobId)
            }
        }
    }

    /** The final key's absence means that the job is still live: it can't be both done and cancelled. */
    private fun storeCancellation(jobId: String): StoreResult<Long> =
        store.transact(
            mapOf(Keys.cancel(jobId) to ABSENT, Keys.final(jobId) to ABSENT),
            listOf(Put(Keys.cancel(jobId), UserWire.encodeCancellation(wallClock()))),
        )

    /** Read back, so that this node knows all placements stored before the cancellation; none is stored after it. */
    private fun stored(jobId: String): UserAnswer {
        val state = query.find(jobId)
        return if (state == UserAnswer.Unreachable) UserAnswer.TryLater else state
    }

    /** The job ended meanwhile, or was cancelled by another request, or the outcome of the transaction is unknown. */
    private fun notStored(jobId: String): UserAnswer =
        when (val state = query.find(jobId)) {
            is UserAnswer.Live, UserAnswer.Unreachable, UserAnswer.TryLater -> UserAnswer.TryLater
            is UserAnswer.Ended, is UserAnswer.NotFound -> state
        }
}
