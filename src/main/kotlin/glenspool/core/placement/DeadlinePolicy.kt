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

    /** For each job class with a wait objective, the time within which a task should start. */
    private val maxWaits: Map<String, Duration> =
        config.objectives
            .filter { it.kind == Objective.WAIT && it.jobClass != null }
            .associate { it.jobClass.orEmpty() to (it.within ?: Duration.INFINITE) }

    /** For each job class, the times within which jobs should be finished by its objectives, shortest first. */
    private val maxDurations: Map<String, List<Duration>> =
        config.objectives
            .filter { it.kind == Objective.FINISHED && it.jobClass != null && it.within != null }
            .groupBy({ it.jobClass.orEmpty() }, { it.within ?: Duration.ZERO })
            .mapValues { (_, times) -> times.sorted() }

    /** How long a fetch of the job's image usually takes. */
    fun fetchTime(job: Job): Duration {
        val imageGb = job.spec.imageGb
        return cluster.mostCommonType?.fetchTime(imageGb) ?: (imageGb / DEFAULT_FETCH_GB_PER_S).seconds
    }

    /** Whether the wait objective of the job's class can be met only on a machine that has the image in its cache. */
    fun requiresCachedImage(job: Job): Boolean {
        val maxWait = maxWaits[job.spec.jobClass] ?: return false
        return fetchTime(job) > maxWait
    }

    /**
     * Returns the latest time at which the job's next task should start, so that the job meets the first objective that
     * can still be met. A job that can meet no objective is ordered after all others, because work that is late in any
     * case must not delay other work. To prevent starvation, a job that has waited longer than [waitBound] is ordered
     * before all others of its priority, oldest first, regardless of its size and of how much small work keeps
     * arriving.
     */
    fun latestStart(job: Job): Duration {
        val waitingSince = job.waitingSince
        if (context.wallTime - waitingSince > waitBound(job)) return waitingSince - ORDERING_OFFSET
        // Whether a deadline can still be met follows from an estimate that is often wrong. A job with a deadline is
        // therefore never ordered after all others.
        job.dueBy?.let { return latestStart(job, it) }
        val runTime = job.spec.estimatedDuration * OBJECTIVE_DURATION_FACTOR
        for (maxDuration in maxDurations[job.spec.jobClass] ?: listOf(DEFAULT_MAX_WAIT + runTime)) {
            val latest = waitingSince + maxDuration - runTime
            if (latest >= context.wallTime) return latest
        }
        return waitingSince + ORDERING_OFFSET
    }

    /**
     * Returns the time at which the job has to start to be done by [dueBy]. The estimated duration is multiplied by a
     * factor, because estimates are often too short.
     */
    fun latestStart(job: Job, dueBy: Duration): Duration = dueBy - job.spec.estimatedDuration * DEADLINE_DURATION_FACTOR

    /**
     * The time without progress after which a job is ordered before all others of its priority. It is doubled for a job
     * that has started.
     */
    fun waitBound(job: Job): Duration = config.tuning.waitBound * (if (job.hasStarted) 2 else 1)

    /**
     * Returns how long the job may wait for its placements and still meet its deadline or, if it has none, the first
     * objective that it can meet at all.
     */
    fun slack(job: Job): Duration {
        val spec = job.spec
        job.dueBy?.let { return maxOf(Duration.ZERO, it - job.waitingSince - spec.estimatedDuration) }
        val runTime = spec.estimatedDuration * OBJECTIVE_DURATION_FACTOR
        return maxDurations[spec.jobClass]
            .orEmpty()
            .map { it - runTime }
            .firstOrNull { it >= Duration.ZERO } ?: DEFAULT_MAX_WAIT
    }

    private companion object {
        /** How many times its estimated duration a task is assumed to run, for objectives and for deadlines. */
        const val OBJECTIVE_DURATION_FACTOR = 1.15
        const val DEADLINE_DURATION_FACTOR = 1.3

        /** Jobs of classes without an objective should start within this time. */
        val DEFAULT_MAX_WAIT = 60.seconds

        /** Longer than any objective or deadline: orders a job before or after all others of its priority. */
        val ORDERING_OFFSET = 3600.seconds
        const val DEFAULT_FETCH_GB_PER_S = 1.0
    }
}
