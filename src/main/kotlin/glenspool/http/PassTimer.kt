package glenspool.http

import kotlin.time.Duration

/**
 * Times the passes of a thread that serves everything that is ready, one after the other, and then looks again. What
 * comes in waits for the rest of one pass and for its turn in the next. [clock]: any steady time.
 */
internal class PassTimer(private val clock: () -> Duration) {
    @Volatile
    private var begun: Duration? = null

    @Volatile
    private var last = Duration.ZERO

    fun begin() {
        begun = clock()
    }

    fun end() {
        last = begun?.let { clock() - it } ?: Duration.ZERO
        begun = null
    }

    /** How long something that has arrived may have waited until now. */
    fun lag(): Duration = last + (begun?.let { clock() - it } ?: Duration.ZERO)
}
