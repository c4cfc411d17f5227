package glenspool.api

import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Retries one user's request against the key-value store's rate limit, for a short time only: after that the user is
 * asked to come back, since a request that waits holds a thread.
 */
internal class StoreRetry {
    private val start = TimeSource.Monotonic.markNow()

    /** Blocks for a random pause before the next attempt. False, at once: the time for attempts is over. */
    fun backOff(): Boolean {
        if (start.elapsedNow() > RETRY_PERIOD) return false
        Thread.sleep(ThreadLocalRandom.current().nextLong(MIN_PAUSE_MS, MAX_PAUSE_MS))
        return true
    }

    private companion object {
        val RETRY_PERIOD = 300.milliseconds
        const val MIN_PAUSE_MS = 40L

        /** Exclusive. */
        const val MAX_PAUSE_MS = 120L
    }
}
