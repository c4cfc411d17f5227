package glenspool.core.placement

import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.lifecycle.Job
import glenspool.core.model.Objective
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Orders jobs of the same priority by when they should start to meet their objectives and deadlines. */
class DeadlinePolicy(private val context: SchedulingContext, private val cluster: ClusterState) {
    private val config get() = context.config

    /** For each job class the times within which tasks should start. */
    private val maxWaits: Map<String, Duration> =
        config.objectives
            .filter { it.kind == Objective.WAIT && it.jobClass != null }
            .associate { it.jobClass.orEmpty() to (it.within ?: Duration.INFINITE) }

    /** For each job class the times within which jobs should be done, shortest first. */
    private val maxDurations: Map<String, List<Duration>> =
        config.objectives
            .filter { it.kind == Objective.FINISHED && it.jobClass != null && it.within != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.within ?: Duration.ZERO })
            .mapValues { (_, times) -> times.sorted() }

    /** How long a fetch of the job's image usually takes. */
    fun fetchTime(job: Job): Duration {
        val imageGb = job.spec.imageGb
        return cluster.commonType?.fetchTime(imageGb) ?: (imageGb / DEFAULT_FETCH_GB_PER_S).seconds
    }

    /** Whether the objective for the job's class can be met only where its image is cached. */
    fun requiresCachedImage(job: Job): Boolean {
        val maxWait = maxWaits[job.spec.jobClass] ?: return false
        return fetchTime(job) > maxWait
    }

    /**
     * The latest time at which the job's next task should start to meet the first objective that it still can; jobs
     * that can meet none come last. Work that is late anyway must not make other work late. But nothing waits for ever:
     * a job that has waited past the bound goes before all others of its priority, oldest first, however large it is
     * and however much small work keeps arriving.
     */
    fun latestStart(job: Job): Duration {
        val waitingSince = job.waitingSince
        if (context.wallTime - waitingSince > waitBound(job)) return waitingSince - FAR
        // A deadline follows from an estimate that is often wrong: such a job is never written off.
        job.dueBy?.let { return latestStart(job, it) }
        val runTime = job.spec.estimatedDuration * ESTIMATE_MARGIN
        for (maxDuration in maxDurations[job.spec.jobClass] ?: listOf(DEFAULT_WAIT + runTime)) {
            val latest = waitingSince + maxDuration - runTime
            if (latest >= context.wallTime) return latest
        }
        return waitingSince + FAR
    }

    /** When the job has to start to be done by then; estimates are often too short. */
    fun latestStart(job: Job, dueBy: Duration): Duration = dueBy - job.spec.estimatedDuration * DEADLINE_MARGIN

    /** After this time without progress a job goes before all others of its priority. */
    fun waitBound(job: Job): Duration = config.tuning.waitBound * (if (job.hasStarted) 2 else 1)

    /** How long the job may wait for its placements and still meet the first objective that it can meet at all. */
    fun slack(job: Job): Duration {
        val spec = job.spec
        job.dueBy?.let { return maxOf(Duration.ZERO, it - job.waitingSince - spec.estimatedDuration) }
        val runTime = spec.estimatedDuration * ESTIMATE_MARGIN
        return maxDurations[spec.jobClass]
            .orEmpty()
            .map { it - runTime }
            .firstOrNull { it >= Duration.ZERO } ?: DEFAULT_WAIT
    }

    private companion object {
        /** How much longer than estimated a task may run, for objectives and for deadlines. */
        const val ESTIMATE_MARGIN = 1.15
        const val DEADLINE_MARGIN = 1.3

        /** Jobs of classes without an objective should start within this time. */
        val DEFAULT_WAIT = 60.seconds

        /** Further away than any objective or deadline. */
        val FAR = 3600.seconds
        const val DEFAULT_FETCH_GB_PER_S = 1.0
    }
}
