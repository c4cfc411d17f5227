package glenspool.api

import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.state.wallClock
import glenspool.wire.UserWire

/** Cancels jobs at their users' request. */
internal class JobCancellation(private val store: KeyValueStoreClient, private val query: JobQuery) {
    fun cancel(jobId: String): UserAnswer {
        val state = query.find(jobId)
        if (state !is UserAnswer.Live) return state
        val retry = StoreRetry()
        while (true) {
            when (val result = storeCancellation(jobId)) {
                is StoreResult.Ok -> return answerStored(jobId)
                is StoreResult.Refused -> {
                    if (!result.isRateLimit) return UserAnswer.Unreachable
                    if (!retry.backOff()) return UserAnswer.RateLimited
                }
                is StoreResult.Conflict, is StoreResult.Unknown, StoreResult.Missing -> return answerUnconfirmed(jobId)
            }
        }
    }

    /**
     * Requires that the final key is absent, so that only a live job is cancelled and none is both done and cancelled.
     */
    private fun storeCancellation(jobId: String): StoreResult<Long> =
        store.transact(
            mapOf(Keys.cancel(jobId) to ABSENT, Keys.final(jobId) to ABSENT),
            listOf(Put(Keys.cancel(jobId), UserWire.encodeCancellation(wallClock()))),
        )

    /**
     * Answers after the cancellation was stored. The job is read back so that this node has read all placements stored
     * before the cancellation; none is stored after it.
     */
    private fun answerStored(jobId: String): UserAnswer {
        val state = query.find(jobId)
        return if (state == UserAnswer.Unreachable) UserAnswer.TryLater else state
    }

    /**
     * Answers if the job ended in the meantime or was cancelled by another request, or if the outcome of the
     * transaction is unknown.
     */
    private fun answerUnconfirmed(jobId: String): UserAnswer =
        when (val state = query.find(jobId)) {
            is UserAnswer.Live, UserAnswer.Unreachable, UserAnswer.TryLater -> UserAnswer.TryLater
            is UserAnswer.Ended, is UserAnswer.NotFound -> state
        }
}
