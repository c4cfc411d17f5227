package glenspool.http

import kotlin.time.Duration

/**
 * Measures the iterations of an event loop, which serves all that is ready and then selects again. What arrives waits
 * for the rest of one iteration and for its turn in the next. The loop's thread marks the iterations; [lag] may be
 * called from any thread. [clock]: monotonic time.
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

    /** How long something that has arrived may have waited until now. */
    fun lag(): Duration = lastIteration + currentIteration()

    private fun currentIteration(): Duration = iterationStartedAt?.let { clock() - it } ?: Duration.ZERO
}
