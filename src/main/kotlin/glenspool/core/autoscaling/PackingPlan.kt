package glenspool.core.autoscaling

import glenspool.core.ScaleOutCause
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources

/** The largest number of tasks of one job for which a plan looks for machines. */
internal const val MAX_PLANNED_TASKS_PER_JOB = 400

/** A kind of machine that the cloud offers: a type in a zone, spot or ordinary. */
data class MachineOffer(val type: String, val zone: String, val spot: Boolean)

/**
 * A machine of a packing plan. [cause] is the reason for renting it and [job] the id of the job for which it is rented;
 * both are null for an upcoming machine. [servesCritical] is false for an upcoming machine that critical work does not
 * wait for.
 */
class PlannedMachine(
    val offer: MachineOffer,
    available: Resources,
    val cause: ScaleOutCause? = null,
    val job: String? = null,
    val servesCritical: Boolean = true,
) {
    /** The resources that are not allocated to a planned task. */
    var available: Resources = available
        private set

    /** Allocates the resources that a task requests. */
    fun allocate(request: Resources) {
        available -= request
    }
}

/**
 * Bin packing of waiting tasks onto upcoming machines and machines to rent. Upcoming machines have been rented or
 * requested, but are not ready for work yet. [machinesInZone] is the number of existing machines by zone,
 * [waitingTasks] the number of tasks that wait for a placement.
 */
class PackingPlan(private val machinesInZone: Map<String, Int>, val waitingTasks: Int) {
    private val planned = ArrayList<PlannedMachine>()
    private val machinesToRentInZone = HashMap<String, Int>()

    val machines: List<PlannedMachine> get() = planned

    /** Machines that are to be rented. */
    val machinesToRent: List<PlannedMachine> get() = planned.filter { it.cause != null }

    /** The number of upcoming machines, which need not be rented. */
    val upcomingCount: Int get() = planned.count { it.cause == null }

    /** Adds an upcoming machine or a machine to rent. */
    fun add(machine: PlannedMachine) {
        planned.add(machine)
        if (machine.cause != null) machinesToRentInZone.merge(machine.offer.zone, 1, Int::plus)
    }

    /** The number of machines in the zone, including those to be rented. */
    fun machinesIn(zone: String): Int = (machinesInZone[zone] ?: 0) + (machinesToRentInZone[zone] ?: 0)
}

/**
 * Packs the tasks of one job, one after another. Available resources only shrink, so a machine that could not take one
 * task cannot take any later one and is skipped from then on. [onlyZone] is the zone in which all tasks have to be, and
 * [capacityInZone] is how many tasks of a spread job each zone may still take; null means that there is no such limit.
 */
class PackingCursor(
    val spec: JobSpec,
    private val onlyZone: String? = null,
    private val capacityInZone: MutableMap<String, Int>? = null,
) {
    private var position = 0

    /** Whether a task may be placed in the zone. */
    fun admits(zone: String): Boolean {
        val isRightZone = onlyZone == null || onlyZone == zone
        return isRightZone && (capacityInZone == null || capacityInZone.getOrDefault(zone, 0) > 0)
    }

    /** Packs the next task onto a machine of the plan. Returns false if no machine can take it. */
    fun pack(plan: PackingPlan): Boolean {
        while (position < plan.machines.size) {
            val machine = plan.machines[position]
            if (isSuitable(machine) && spec.resourceRequest.fitsIn(machine.available)) {
                machine.allocate(spec.resourceRequest)
                capacityInZone?.merge(machine.offer.zone, -1, Int::plus)
                return true
            }
            position++
        }
        return false
    }

    private fun isSuitable(machine: PlannedMachine): Boolean {
        val offer = machine.offer
        if (spec.types != null && offer.type !in spec.types) return false
        if (spec.zone != null && spec.zone != offer.zone) return false
        if (spec.priority == Priority.CRITICAL && !machine.servesCritical) return false
        return (spec.spot || !offer.spot) && admits(offer.zone)
    }
}
