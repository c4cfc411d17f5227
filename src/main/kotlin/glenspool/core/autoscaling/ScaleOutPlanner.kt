package glenspool.core.autoscaling

import glenspool.core.ScaleOutCause
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Packs waiting work onto upcoming machines, and plans to rent further machines for work that does not fit. */
class ScaleOutPlanner(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val requests: ScaleOutRequests,
) {
    private val now: Duration get() = context.now

    private class PricedOffer(val offer: MachineOffer, val type: MachineType) {
        val price: Double get() = if (offer.spot) type.spotPrice else type.price
    }

    /** Returns a plan for [waiting] jobs, which are in the order in which they are to be served. */
    fun plan(waiting: List<Job>, headroom: ServiceHeadroom.Slots): PackingPlan {
        val machinesInZone = cluster.machines.values.groupingBy { it.zone }.eachCount()
        val plan = PackingPlan(machinesInZone, waiting.sumOf { it.waitingTaskCount() })
        addUpcomingMachines(plan)
        val (arrays, others) = waiting.partition { it.spec.kind == JobKind.ARRAY }
        for (job in others) packAllTasks(job, plan)
        packHeadroom(plan, headroom)
        ArrayBacklog(plan, arrays).pack()
        return plan
    }

    private fun addUpcomingMachines(plan: PackingPlan) {
        for (machine in cluster.machines.values) {
            val type = cluster.typeOf(machine) ?: continue
            if (!isUpcoming(machine)) continue
            val offer = MachineOffer(machine.type, machine.zone, machine.spot)
            plan.add(PlannedMachine(offer, machine.available(type)))
        }
        for (request in requests.unanswered) {
            val type = cluster.types[request.type] ?: continue
            val offer = MachineOffer(request.type, request.zone, request.spot)
            repeat(request.count) { plan.add(PlannedMachine(offer, type.capacity)) }
        }
    }

    /**
     * Whether the machine is expected to become ready for work. A machine that was in contact and is silent now, or
     * that is unreachable, is not.
     */
    private fun isUpcoming(machine: Machine): Boolean {
        val isOutOfContact = machine.reachability.isUnreachable || machine.isSilent(context)
        if (machine.isDeleting || machine.hasFailed || isOutOfContact) return false
        return !machine.isTrusted || isHeartbeatAwaited(machine)
    }

    /** Whether the machine gets no new work only because its worker has not sent its first heartbeat yet. */
    private fun isHeartbeatAwaited(machine: Machine): Boolean {
        if (!context.hooks.newWorkRequiresWorkerHeartbeat || machine.isLeaving || machine.isCordoned) return false
        val reachability = machine.reachability
        return !reachability.sentHeartbeatWithin(context.config.heartbeatFreshness, now) &&
            reachability.awaitsHeartbeat(context.config.firstHeartbeatWait, now)
    }

    /** Packs the tasks of a service or gang, for which machines are rented as soon as there are none to take them. */
    private fun packAllTasks(job: Job, plan: PackingPlan) {
        val quota = cluster.quotas.remaining(job)
        if (job.spec.kind == JobKind.GANG && quota < job.waitingTaskCount()) return
        val cursor = PackingCursor(job.spec, zoneFor(job, plan), capacityInZones(job))
        repeat(minOf(job.waitingTaskCount(), quota, MAX_PLANNED_TASKS_PER_JOB)) {
            if (!packOrRent(cursor, plan, ScaleOutCause.WAITING_WORK)) return
        }
    }

    /** Returns the zone of the plan with the most machines, for a job whose tasks have to be in one zone; else null. */
    private fun zoneFor(job: Job, plan: PackingPlan): String? {
        if (!job.spec.sameZone) return null
        return plan.machines
            .groupingBy { it.offer.zone }
            .eachCount()
            .maxByOrNull { it.value }
            ?.key
    }

    /**
     * Returns how many tasks of a spread job each zone may still take, or null for other jobs. Without this limit,
     * machines would be rented again and again in a zone that already has its share of the job, which cannot use them.
     */
    private fun capacityInZones(job: Job): MutableMap<String, Int>? {
        if (!job.spec.spread) return null
        val capacity = context.config.zones.associateWithTo(HashMap()) { job.spec.maxTasksPerZone }
        for (placement in job.placements.values) {
            cluster.zoneOf(placement.machine)?.let { capacity.merge(it, -1, Int::plus) }
        }
        return capacity
    }

    private fun packHeadroom(plan: PackingPlan, headroom: ServiceHeadroom.Slots) {
        for (rate in headroom.rates) {
            val cursor = PackingCursor(rate.spec)
            var missing = headroom.missingSlots(rate)
            while (missing > 0 && packOrRent(cursor, plan, ScaleOutCause.HEADROOM)) missing--
        }
    }

    private fun packOrRent(cursor: PackingCursor, plan: PackingPlan, cause: ScaleOutCause): Boolean {
        if (cursor.pack(plan)) return true
        plan.add(cheapestMachineFor(cursor, plan, cause) ?: return false)
        return cursor.pack(plan)
    }

    /**
     * Returns the cheapest machine for the task among the offers that the cloud has not refused recently. Of equally
     * cheap machines, one in the zone with the fewest machines is chosen.
     */
    private fun cheapestMachineFor(
        cursor: PackingCursor,
        plan: PackingPlan,
        cause: ScaleOutCause,
        onlySpot: Boolean = false,
    ): PlannedMachine? {
        val request = cursor.spec.resourceRequest
        val best =
            offersFor(cursor, onlySpot).minWithOrNull(
                compareBy<PricedOffer> { it.price / maxOf(1, request.countIn(it.type.capacity)) }
                    .thenBy { plan.machinesIn(it.offer.zone) },
            ) ?: return null
        return PlannedMachine(best.offer, best.type.capacity, cause, cursor.spec.id)
    }

    private fun offersFor(cursor: PackingCursor, onlySpot: Boolean): List<PricedOffer> {
        val spec = cursor.spec
        val spotOptions =
            when {
                !spec.spot -> if (onlySpot) emptyList() else listOf(false)
                onlySpot -> listOf(true)
                else -> listOf(true, false)
            }
        val offers = ArrayList<PricedOffer>()
        for (type in cluster.types.values) {
            if (!isTypeFor(spec, type)) continue
            for (zone in type.zones.ifEmpty { context.config.zones }) {
                if (spec.zone != null && spec.zone != zone || !cursor.admits(zone)) continue
                spotOptions.mapTo(offers) { spot -> PricedOffer(MachineOffer(type.name, zone, spot), type) }
            }
        }
        return offers.filterNot { requests.isRefused(it.offer) }
    }

    private fun isTypeFor(spec: JobSpec, type: MachineType): Boolean {
        val isAllowedType = spec.types == null || type.name in spec.types
        return isAllowedType && spec.resourceRequest.fitsIn(type.capacity)
    }

    /**
     * The backlog of arrays. The tasks of an array run one after another in its placements, so it needs new machines
     * only if the backlog would take too long to drain. The limit is lower for cheap spot machines than for ordinary
     * ones.
     */
    private inner class ArrayBacklog(private val plan: PackingPlan, private val jobs: List<Job>) {
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
            cheapestMachineFor(cursor, plan, ScaleOutCause.BACKLOG, onlySpot = mayUseSpot)?.let { return it }
            val mayBeOrdinary = drainTime > limits.ordinaryLimit || isStarved
            return if (mayBeOrdinary) cheapestMachineFor(cursor, plan, ScaleOutCause.BACKLOG) else null
        }
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
        const val MAX_PLANNED_TASKS_PER_JOB = 400

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
