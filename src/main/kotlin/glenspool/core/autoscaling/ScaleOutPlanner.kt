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

/** Packs waiting work onto machines that are on their way, and plans further machines for what does not fit. */
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

    /** A plan for [waiting] jobs, which are in the order in which they are to be served. */
    fun plan(waiting: List<Job>, headroom: ServiceHeadroom.Slots): PackingPlan {
        val plan =
            PackingPlan(
                cluster.machines.values
                    .groupingBy { it.zone }
                    .eachCount(),
            )
        addMachinesOnTheirWay(plan)
        val (arrays, others) = waiting.partition { it.spec.kind == JobKind.ARRAY }
        for (job in others) packWhole(job, plan)
        packHeadroom(plan, headroom)
        ArrayBacklog(plan, arrays).pack()
        return plan
    }

    private fun addMachinesOnTheirWay(plan: PackingPlan) {
        for (machine in cluster.machines.values) {
            val type = cluster.typeOf(machine) ?: continue
            if (!isOnItsWay(machine)) continue
            val offer = MachineOffer(machine.type, machine.zone, machine.spot)
            plan.add(PlannedMachine(offer, machine.available(type), null))
        }
        for (request in requests.unanswered) {
            val type = cluster.types[request.type] ?: continue
            val offer = MachineOffer(request.type, request.zone, request.spot)
            repeat(request.count) { plan.add(PlannedMachine(offer, type.capacity, null)) }
        }
    }

    /** A machine that was heard and then no more, or that nothing reaches, is not on its way. */
    private fun isOnItsWay(machine: Machine): Boolean {
        val isLost = machine.reachability.isUnreachable || machine.isSilent(context)
        return !machine.isDeleting && !machine.hasFailed && !machine.isTrusted && !isLost
    }

    /** Services and gangs get machines as soon as there are none for them. */
    private fun packWhole(job: Job, plan: PackingPlan) {
        val quota = cluster.quotas.remaining(job)
        if (job.spec.kind == JobKind.GANG && quota < job.waitingCount()) return
        val cursor = PackingCursor(job.spec, zoneFor(job, plan), capacityInZones(job))
        repeat(minOf(job.waitingCount(), quota, MAX_TASKS_PER_JOB)) {
            if (!packOrRent(cursor, plan, ScaleOutCause.WAITING_WORK)) return
        }
    }

    /** A job whose tasks have to be in one zone gets the one where most machines are on their way. */
    private fun zoneFor(job: Job, plan: PackingPlan): String? {
        if (!job.spec.sameZone) return null
        return plan.machines
            .groupingBy { it.offer.zone }
            .eachCount()
            .maxByOrNull { it.value }
            ?.key
    }

    /**
     * A machine in a zone that has its share of a spread job already would be of no use to it, however often one is
     * rented.
     */
    private fun capacityInZones(job: Job): MutableMap<String, Int>? {
        if (!job.spec.spread) return null
        val left = context.config.zones.associateWithTo(HashMap()) { job.spec.maxTasksPerZone }
        for (placement in job.placements.values) {
            cluster.zoneOf(placement.machine)?.let { left.merge(it, -1, Int::plus) }
        }
        return left
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
        plan.add(cheapestFor(cursor, plan, cause) ?: return false)
        return cursor.pack(plan)
    }

    /** The cheapest machine for the task that is not known to be refused, in the zone with fewest machines. */
    private fun cheapestFor(
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
        return PlannedMachine(best.offer, best.type.capacity, cause)
    }

    private fun offersFor(cursor: PackingCursor, onlySpot: Boolean): List<PricedOffer> {
        val spec = cursor.spec
        val kinds =
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
                kinds.mapTo(offers) { spot -> PricedOffer(MachineOffer(type.name, zone, spot), type) }
            }
        }
        return offers.filterNot { requests.isRefused(it.offer) }
    }

    private fun isTypeFor(spec: JobSpec, type: MachineType): Boolean {
        val isAllowedType = spec.types == null || type.name in spec.types
        return isAllowedType && spec.resourceRequest.fitsIn(type.capacity)
    }

    /**
     * Arrays run through their placements one after another, so they need new machines only when the backlog would take
     * too long to drain: sooner for cheap spot machines than for ordinary ones.
     */
    private inner class ArrayBacklog(private val plan: PackingPlan, private val jobs: List<Job>) {
        /** The run time of tasks that no machine is planned for. */
        private var work = Duration.ZERO

        /** How many tasks run at the same time. */
        private var slots = runningArrayTasks() + slotsOnTheirWay()

        private fun runningArrayTasks() =
            cluster.jobs.values.sumOf { job ->
                if (job.spec.kind == JobKind.ARRAY) job.placements.size else 0
            }

        private fun slotsOnTheirWay(): Int {
            val request = jobs.firstOrNull()?.resourceRequest ?: return 0
            return plan.machines.sumOf { request.countIn(it.available) }
        }

        fun pack() {
            for (job in jobs) if (now - job.knownSince >= ARRAY_DELAY) pack(job)
        }

        private fun pack(job: Job) {
            val cursor = PackingCursor(job.spec)
            val patience = patienceOf(job)
            var isStuck = isStuck(job)
            repeat(minOf(job.waitingCount(), cluster.quotas.remaining(job), MAX_TASKS_PER_JOB)) {
                if (cursor.pack(plan)) return@repeat
                val runTime = maxOf(job.spec.estimatedDuration, MIN_RUN_TIME)
                work += runTime
                val machine = machineFor(cursor, patience, isStuck) ?: return@repeat
                plan.add(machine)
                isStuck = false
                slots += job.resourceRequest.countIn(machine.available)
                cursor.pack(plan)
                work -= runTime
            }
        }

        /** Slots that drain are those of other work; where none is of use to this job, waiting for them has no end. */
        private fun isStuck(job: Job): Boolean {
            if (job.placements.isNotEmpty()) return false
            return now - job.knownSince > deadlines.waitBound(job) || fitsNowhere(job.spec)
        }

        private fun patienceOf(job: Job): Patience {
            val slack = deadlines.slack(job)
            val leadTime = leadTime(job.spec)
            val forSpot = maxOf(leadTime * SPOT_LEAD_SHARE, slack * SPOT_SLACK_SHARE) * spotDiscount(job.spec)
            return Patience(forSpot, maxOf(leadTime * ORDINARY_LEAD_SHARE, slack * ORDINARY_SLACK_SHARE))
        }

        private fun machineFor(cursor: PackingCursor, patience: Patience, isStuck: Boolean): PlannedMachine? {
            val mayUseSpot = cursor.spec.spot
            val drainTime = work / maxOf(slots, 1)
            val shortest = if (mayUseSpot) patience.forSpot else minOf(patience.forSpot, patience.forOrdinary)
            if (drainTime <= shortest && !isStuck) return null
            cheapestFor(cursor, plan, ScaleOutCause.BACKLOG, onlySpot = mayUseSpot)?.let { return it }
            val mayBeOrdinary = drainTime > patience.forOrdinary || isStuck
            return if (mayBeOrdinary) cheapestFor(cursor, plan, ScaleOutCause.BACKLOG) else null
        }
    }

    /** How long a backlog may take to drain before machines are rented for it. */
    private class Patience(val forSpot: Duration, val forOrdinary: Duration)

    /** Whether no machine of the fleet could ever take the task, however empty. */
    private fun fitsNowhere(spec: JobSpec): Boolean =
        cluster.machines.values.none { machine ->
            val type = cluster.typeOf(machine)
            val stays = !machine.isLeaving && !machine.isCordoned
            stays && isAllowed(spec, machine) && type != null && spec.resourceRequest.fitsIn(type.capacity)
        }

    /** What a spot machine costs of an ordinary one's price: the cheaper, the sooner it is worth renting. */
    private fun spotDiscount(spec: JobSpec): Double {
        if (!spec.spot) return 1.0
        val type = cluster.firstTypeFor(spec) ?: return 1.0
        return (type.spotPrice / type.price.coerceAtLeast(MIN_PRICE)).coerceIn(0.0, 1.0)
    }

    /** From the scale-out request until a task runs. */
    private fun leadTime(spec: JobSpec): Duration {
        val type = cluster.firstTypeFor(spec) ?: return UNKNOWN_LEAD_TIME
        return type.boot * BOOT_MARGIN + type.fetchTime(spec.imageGb)
    }

    private companion object {
        const val MAX_TASKS_PER_JOB = 400

        /** An array that has just come may fit onto the fleet at once. */
        val ARRAY_DELAY = 2.seconds
        val MIN_RUN_TIME = 2.seconds
        val UNKNOWN_LEAD_TIME = 60.seconds
        const val BOOT_MARGIN = 1.1

        /** Keeps shares of a price finite. */
        const val MIN_PRICE = 1e-9

        /** A backlog may take these shares of the lead time of a machine, and of the slack of its job. */
        const val SPOT_LEAD_SHARE = 0.5
        const val SPOT_SLACK_SHARE = 0.25
        const val ORDINARY_LEAD_SHARE = 1.5
        const val ORDINARY_SLACK_SHARE = 0.5
    }
}
