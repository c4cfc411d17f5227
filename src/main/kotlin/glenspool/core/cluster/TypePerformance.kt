package glenspool.core.cluster

import glenspool.core.lifecycle.Placement
import glenspool.core.model.JobKind
import kotlin.time.Duration

/** Determines the fastest machine type for each job class from the durations of completed tasks. */
class TypePerformance {
    /** The usual duration of a job class's tasks on a machine type, relative to their estimates. */
    private val relativeDurations = HashMap<String, HashMap<String, Double>>()

    /** The fastest type for the class, null if none of its tasks has completed. */
    fun fastestType(jobClass: String): String? = relativeDurations[jobClass]?.minByOrNull { it.value }?.key

    /** Records that a task has completed on the machine. */
    fun taskCompleted(placement: Placement, machine: Machine, now: Duration) {
        val started = placement.runningSince ?: return
        val spec = placement.job.spec
        if (spec.estimatedDuration <= Duration.ZERO || spec.kind == JobKind.GANG) return
        val relativeDuration = (now - started) / spec.estimatedDuration
        val byType = relativeDurations.getOrPut(spec.jobClass) { HashMap() }
        val usual = byType[machine.type] ?: relativeDuration
        // Uses the average before this sample, since a machine counts as slow relative to the others of its type.
        machine.health.taskCompleted(relativeDuration / usual.coerceAtLeast(MIN_RELATIVE_DURATION))
        byType[machine.type] = usual * OLD_WEIGHT + relativeDuration * NEW_WEIGHT
    }

    private companion object {
        const val MIN_RELATIVE_DURATION = 1e-6

        /** Weights of the moving average. */
        const val OLD_WEIGHT = 0.9
        const val NEW_WEIGHT = 0.1
    }
}
