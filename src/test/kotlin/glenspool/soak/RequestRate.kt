package glenspool.soak

import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** A limit of [perSecond] requests with bursts of two seconds' worth, as the protocol describes it. Thread-safe. */
internal class RequestRate(private val perSecond: Double) {
    private val clock = TimeSource.Monotonic.markNow()
    private var tokens = perSecond * BURST_SECONDS
    private var updatedAt = Duration.ZERO

    /** Returns whether one more request is within the limit. */
    @Synchronized
    fun take(): Boolean {
        val now = clock.elapsedNow()
        val refilled = tokens + (now - updatedAt).toDouble(DurationUnit.SECONDS) * perSecond
        tokens = minOf(perSecond * BURST_SECONDS, refilled)
        updatedAt = now
        if (tokens < 1) return false
        tokens--
        return true
    }

    private companion object {
        const val BURST_SECONDS = 2
    }
}
