package glenspool.api

import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Limits the retries of one user's request while the key-value store's rate limit refuses it. Retries end after a short
 * time and the user is asked to retry later, because a waiting request occupies a thread.
 */
internal class StoreRetry {
    private val start = TimeSource.Monotonic.markNow()

    /** Blocks for a random delay before the next attempt. Returns false immediately if the retry period is over. */
    fun backOff(): Boolean {
        if (start.elapsedNow() > RETRY_PERIOD) return false
        Thread.sleep(ThreadLocalRandom.current().nextLong(MIN_DELAY_MS, MAX_DELAY_MS))
        return true
    }

    private companion object {
        val RETRY_PERIOD = 300.milliseconds
        const val MIN_DELAY_MS = 40L

        /** The exclusive upper bound of the delay. */
        const val MAX_DELAY_MS = 120L
    }
}
