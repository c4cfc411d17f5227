package glenspool.http

import kotlin.time.Duration

/**
 * Measures the iterations of an event loop, which handles all ready events and then selects again. An event that
 * occurs during an iteration waits for the rest of that iteration and for its turn in the next one. The loop's thread
 * marks the start and the end of iterations; [lag] may be called from any thread. [clock]: monotonic time.
 */
internal class EventLoopTimer(private val clock: () -> Duration) {
    /** Null between two iterations. */
    @Volatile
    private var iterationStartedAt: Duration? = null

    @Volatile
    private var lastIteration = Duration.ZERO

    fun startIteration() {
        iterationStartedAt = clock()
    }

    fun endIteration() {
        lastIteration = currentIteration()
        iterationStartedAt = null
    }

    /** Returns how long an event that is not handled yet may have waited until now. */
    fun lag(): Duration = lastIteration + currentIteration()

    private fun currentIteration(): Duration = iterationStartedAt?.let { clock() - it } ?: Duration.ZERO
}
