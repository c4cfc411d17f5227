package glenspool.core.autoscaling

import glenspool.core.ScaleOutCause
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration

/** Packs waiting work onto upcoming machines, and plans to rent further machines for work that does not fit. */
class ScaleOutPlanner(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val requests: ScaleOutRequests,
) {
    private val now: Duration get() = context.now
    private val offers = RentalOffers(context, cluster, requests)

    /** Returns a plan for [waiting] jobs, which are in the order in which they are to be served. */
    fun plan(waiting: List<Job>, headroom: ServiceHeadroom.Slots): PackingPlan {
        val machinesInZone = cluster.machines.values.groupingBy { it.zone }.eachCount()
        val plan = PackingPlan(machinesInZone, waiting.sumOf { it.waitingTaskCount() })
        addUpcomingMachines(plan)
        val (arrays, others) = waiting.partition { it.spec.kind == JobKind.ARRAY }
        for (job in others) packAllTasks(job, plan)
        packHeadroom(plan, headroom)
        ArrayBacklog(context, cluster, deadlines, offers, plan, arrays).pack()
        return plan
    }

    private fun addUpcomingMachines(plan: PackingPlan) {
        for (machine in cluster.machines.values) {
            val type = cluster.typeOf(machine) ?: continue
            if (!isUpcoming(machine)) continue
            val offer = MachineOffer(machine.type, machine.zone, machine.spot)
            val servesCritical = !machine.isTrusted || awaitsHeartbeat(machine, Priority.CRITICAL)
            plan.add(PlannedMachine(offer, machine.available(type), servesCritical = servesCritical))
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
            awaitsHeartbeat(machine, Priority.STANDARD)
    }

    private fun awaitsHeartbeat(machine: Machine, priority: Priority): Boolean =
        machine.reachability.awaitsHeartbeat(context.config.firstHeartbeatWait(priority), now)

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
        plan.add(offers.cheapestMachineFor(cursor, plan, cause) ?: return false)
        return cursor.pack(plan)
    }
}
