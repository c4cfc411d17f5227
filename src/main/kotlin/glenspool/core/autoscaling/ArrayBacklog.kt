package glenspool.core.autoscaling

import glenspool.core.ScaleOutCause
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.isAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The backlog of arrays. The tasks of an array run one after another in its placements, so it needs new machines
 * only if the backlog would take too long to drain. The limit is lower for cheap spot machines than for ordinary
 * ones.
 */
internal class ArrayBacklog(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val offers: RentalOffers,
    private val plan: PackingPlan,
    private val jobs: List<Job>,
) {
    private val now: Duration get() = context.now

    /** The total run time of the tasks for which no machine is planned. */
    private var unplannedRunTime = Duration.ZERO

    /** How many array tasks can run at the same time, including those on upcoming and planned machines. */
    private var slots = runningArrayTasks() + slotsOnPlannedMachines()

    private fun runningArrayTasks() =
        cluster.jobs.values.sumOf { job ->
            if (job.spec.kind == JobKind.ARRAY) job.placements.size else 0
        }

    private fun slotsOnPlannedMachines(): Int {
        val request = jobs.firstOrNull()?.resourceRequest ?: return 0
        return plan.machines.sumOf { request.countIn(it.available) }
    }

    /** Packs the waiting tasks of the jobs, and adds the machines to rent for them to the plan. */
    fun pack() {
        for (job in jobs) if (now - job.knownSince >= ARRAY_SCALE_OUT_DELAY) pack(job)
    }

    private fun pack(job: Job) {
        val cursor = PackingCursor(job.spec)
        val limits = drainTimeLimits(job)
        var isStarved = isStarved(job)
        repeat(minOf(job.waitingTaskCount(), cluster.quotas.remaining(job), MAX_PLANNED_TASKS_PER_JOB)) {
            if (cursor.pack(plan)) return@repeat
            val runTime = maxOf(job.spec.estimatedDuration, MIN_TASK_RUN_TIME)
            unplannedRunTime += runTime
            val machine = machineFor(cursor, limits, isStarved) ?: return@repeat
            plan.add(machine)
            isStarved = false
            slots += job.resourceRequest.countIn(machine.available)
            cursor.pack(plan)
            unplannedRunTime -= runTime
        }
    }

    /**
     * Whether the job would wait indefinitely without a new machine. The backlog drains through the slots of other
     * work, and a job that can use none of these would never be placed.
     */
    private fun isStarved(job: Job): Boolean {
        if (job.placements.isNotEmpty()) return false
        return now - job.knownSince > deadlines.waitBound(job) || fitsNoMachine(job.spec)
    }

    private fun drainTimeLimits(job: Job): DrainTimeLimits {
        val slack = deadlines.slack(job)
        val leadTime = leadTime(job.spec)
        val spotLimit = maxOf(leadTime * SPOT_LEAD_TIME_SHARE, slack * SPOT_SLACK_SHARE) * spotPriceRatio(job.spec)
        return DrainTimeLimits(spotLimit, maxOf(leadTime * ORDINARY_LEAD_TIME_SHARE, slack * ORDINARY_SLACK_SHARE))
    }

    private fun machineFor(cursor: PackingCursor, limits: DrainTimeLimits, isStarved: Boolean): PlannedMachine? {
        val mayUseSpot = cursor.spec.spot
        val drainTime = unplannedRunTime / maxOf(slots, 1)
        val shortestLimit = if (mayUseSpot) limits.spotLimit else minOf(limits.spotLimit, limits.ordinaryLimit)
        if (drainTime <= shortestLimit && !isStarved) return null
        offers.cheapestMachineFor(cursor, plan, ScaleOutCause.BACKLOG, onlySpot = mayUseSpot)?.let { return it }
        val mayBeOrdinary = drainTime > limits.ordinaryLimit || isStarved
        return if (mayBeOrdinary) offers.cheapestMachineFor(cursor, plan, ScaleOutCause.BACKLOG) else null
    }

    /** The times that a backlog may take to drain before spot or ordinary machines are rented for it. */
    private class DrainTimeLimits(val spotLimit: Duration, val ordinaryLimit: Duration)

    /** Whether no machine of the fleet could take the task even if it were empty. */
    private fun fitsNoMachine(spec: JobSpec): Boolean =
        cluster.machines.values.none { machine ->
            val type = cluster.typeOf(machine)
            val remainsInUse = !machine.isLeaving && !machine.isCordoned
            remainsInUse && isAllowed(spec, machine) && type != null && spec.resourceRequest.fitsIn(type.capacity)
        }

    /** The price of a spot machine as a share of the ordinary price: the lower, the sooner renting is worthwhile. */
    private fun spotPriceRatio(spec: JobSpec): Double {
        if (!spec.spot) return 1.0
        val type = cluster.firstTypeFor(spec) ?: return 1.0
        return (type.spotPrice / type.price.coerceAtLeast(MIN_PRICE)).coerceIn(0.0, 1.0)
    }

    /** The time from a scale-out request until a task runs on the new machine. */
    private fun leadTime(spec: JobSpec): Duration {
        val type = cluster.firstTypeFor(spec) ?: return DEFAULT_LEAD_TIME
        return type.bootTime * BOOT_TIME_FACTOR + type.fetchTime(spec.imageGb)
    }

    private companion object {
        /** The delay before machines are rented for a new array, because it may fit onto the fleet immediately. */
        val ARRAY_SCALE_OUT_DELAY = 2.seconds
        val MIN_TASK_RUN_TIME = 2.seconds
        val DEFAULT_LEAD_TIME = 60.seconds
        const val BOOT_TIME_FACTOR = 1.1

        /** A lower bound for the price that a share is computed of, so that the share is finite. */
        const val MIN_PRICE = 1e-9

        /** The shares of a machine's lead time and of its job's slack that a backlog may take to drain. */
        const val SPOT_LEAD_TIME_SHARE = 0.5
        const val SPOT_SLACK_SHARE = 0.25
        const val ORDINARY_LEAD_TIME_SHARE = 1.5
        const val ORDINARY_SLACK_SHARE = 0.5
    }
}
