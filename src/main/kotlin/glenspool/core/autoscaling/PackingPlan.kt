package glenspool.core.autoscaling

import glenspool.core.ScaleOutCause
import glenspool.core.model.JobSpec
import glenspool.core.model.Resources

/** A kind of machine that the cloud offers: a type in a zone, spot or ordinary. */
data class MachineOffer(val type: String, val zone: String, val spot: Boolean)

/** A machine of a packing plan. [cause]: why it is to be rented; null if it is on its way already. */
class PlannedMachine(val offer: MachineOffer, available: Resources, val cause: ScaleOutCause?) {
    /** What no planned task takes of it. */
    var available: Resources = available
        private set

    /** Puts a task on it. */
    fun allocate(request: Resources) {
        available -= request
    }
}

/**
 * Bin packing of waiting tasks onto machines that are on their way or wanted. [machinesInZone]: the machines that there
 * are already, by zone.
 */
class PackingPlan(private val machinesInZone: Map<String, Int>) {
    private val planned = ArrayList<PlannedMachine>()
    private val wantedInZone = HashMap<String, Int>()

    val machines: List<PlannedMachine> get() = planned

    /** Machines that are to be rented. */
    val machinesToRent: List<PlannedMachine> get() = planned.filter { it.cause != null }

    /** Adds a machine that is on its way, or is to be rented. */
    fun add(machine: PlannedMachine) {
        planned.add(machine)
        if (machine.cause != null) wantedInZone.merge(machine.offer.zone, 1, Int::plus)
    }

    /** How many machines the zone has, with those to be rented. */
    fun machinesIn(zone: String): Int = (machinesInZone[zone] ?: 0) + (wantedInZone[zone] ?: 0)
}

/**
 * Packs one job's tasks, one after another. What is available only shrinks, so a machine that did not take one task
 * takes none after it. [onlyZone]: where all tasks have to be; [capacityInZone]: how many tasks of a spread job each
 * zone may still take; null where there is no such bound.
 */
class PackingCursor(
    val spec: JobSpec,
    private val onlyZone: String? = null,
    private val capacityInZone: MutableMap<String, Int>? = null,
) {
    private var position = 0

    /** Whether a task may be in the zone. */
    fun admits(zone: String): Boolean {
        val isRightZone = onlyZone == null || onlyZone == zone
        return isRightZone && (capacityInZone == null || capacityInZone.getOrDefault(zone, 0) > 0)
    }

    /** Puts the next task on a machine of the plan. False: none takes it. */
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
        return (spec.spot || !offer.spot) && admits(offer.zone)
    }
}
