package glenspool.core.cluster

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The health of a machine, derived from the outcomes of its tasks. */
class MachineHealth {
    private var consecutiveFailures = 0
    private var quarantinedUntil: Duration? = null

    /** The run time of tasks relative to that on other machines of the type; 1 is usual. */
    var slowness = 1.0
        private set

    /** Whether it temporarily gets no work. */
    fun isQuarantined(now: Duration): Boolean = quarantinedUntil.let { it != null && now < it }

    /** Records a failed task; several failures in a row put the machine into quarantine. */
    fun taskFailed(now: Duration) {
        consecutiveFailures++
        if (consecutiveFailures >= FAILURES_TO_QUARANTINE) quarantinedUntil = now + QUARANTINE_TIME
    }

    /** Records a completed task; [relativeDuration] is its duration as a multiple of the usual one. */
    fun taskCompleted(relativeDuration: Double) {
        consecutiveFailures = 0
        slowness = slowness * OLD_WEIGHT + relativeDuration.coerceAtMost(MAX_RELATIVE_DURATION) * NEW_WEIGHT
    }

    private companion object {
        const val FAILURES_TO_QUARANTINE = 3
        val QUARANTINE_TIME = 60.seconds
        const val MAX_RELATIVE_DURATION = 5.0

        /** Weights of the moving average. */
        const val OLD_WEIGHT = 0.6
        const val NEW_WEIGHT = 0.4
    }
}
