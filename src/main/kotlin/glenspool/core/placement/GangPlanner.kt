package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources

/** Places each gang completely or not at all: all its tasks are planned before the first one is placed. */
class GangPlanner(private val view: PlacementView, private val resources: RoundResources) {
    private class PlannedTask(val task: Int, val machine: Machine)

    /**
     * Places the gang if possible. Returns false if machines should be reserved for it, because the machines of this
     * round cannot hold it or its last attempt still has placements.
     */
    fun place(gang: Job): Boolean {
        if (gang.placements.isNotEmpty()) return false
        val tasks = gang.waitingTasks(gang.spec.tasks)
        // Reserving machines does not help while some of the gang's tasks may still be on a machine, or while the quota
        // or the stored record has no space for its tasks.
        if (tasks.size < gang.spec.tasks - gang.done.cardinality() || tasks.isEmpty()) return true
        if (view.remainingQuota(gang) < tasks.size || view.recordCapacity(gang) < tasks.size) return true
        val plan = bestPlan(gang, tasks) ?: return false
        val attempt = view.newGangAttempt(gang)
        for (planned in plan) {
            view.place(gang, planned.task, planned.machine, attempt)
            resources.allocate(planned.machine, gang)
        }
        view.gangPlaced(gang)
        return true
    }

    /**
     * Returns the plan with the fewest images to fetch, or null if there is none. If all tasks have to be in the same
     * zone, the plans for the different zones are compared.
     */
    private fun bestPlan(gang: Job, tasks: List<Int>): List<PlannedTask>? {
        val zones: List<String?> =
            if (gang.spec.sameZone) resources.machines.map { it.zone }.distinct() else listOf(null)
        return zones
            .mapNotNull { planInZone(it, gang, tasks) }
            .minByOrNull { plan -> plan.count { !it.machine.hasImage(gang.spec.image) } }
    }

    private fun planInZone(zone: String?, gang: Job, tasks: List<Int>): List<PlannedTask>? {
        val fitting = resources.machines.filter { isFitting(it, zone, gang) }
        if (fitting.sumOf { gang.resourceRequest.countIn(resources.freeOn(it)) } < tasks.size) return null
        val tasksInZone = HashMap<String, Int>()
        val plan = ArrayList<PlannedTask>()
        val remainingTasks = ArrayDeque(tasks)
        for (machine in fitting.sortedWith(byPreference(gang))) {
            var available: Resources = resources.freeOn(machine)
            while (remainingTasks.isNotEmpty() && gang.resourceRequest.fitsIn(available)) {
                if ((tasksInZone[machine.zone] ?: 0) >= gang.spec.maxTasksPerZone) break
                plan.add(PlannedTask(remainingTasks.removeFirst(), machine))
                tasksInZone.merge(machine.zone, 1, Int::plus)
                available -= gang.resourceRequest
            }
            if (remainingTasks.isEmpty()) return plan
        }
        return null
    }

    private fun isFitting(machine: Machine, zone: String?, gang: Job): Boolean {
        if (resources.isReserved(machine) || !gang.resourceRequest.fitsIn(resources.freeOn(machine))) return false
        val isInZone = zone == null || machine.zone == zone
        return isInZone && isAllowed(gang.spec, machine) && !view.isAvoided(gang, machine)
    }

    /** Prefers the fastest machine type, then cached images, then low cost, then fast machines, then many free GPUs. */
    private fun byPreference(gang: Job): Comparator<Machine> {
        val fastest = view.fastestType(gang.spec.jobClass)
        return compareBy<Machine> { if (it.type == fastest) 0 else 1 }
            .thenBy { if (it.hasImage(gang.spec.image)) 0 else 1 }
            .thenBy { view.costPenalty(gang, it) }
            .thenBy { it.health.slowness }
            .thenByDescending { resources.freeOn(it).gpus }
    }

    /**
     * Reserves machines that the gang could use, so that no lower-priority work is placed on them in this round and
     * they become free for the gang.
     */
    fun reserveMachines(gang: Job) {
        val usable = resources.allMachines.filter { mayBeReserved(it, gang) }
        val zone = if (gang.spec.sameZone) mostCommonZone(usable) else null
        var remaining = gang.waitingTaskCount()
        for (machine in usable.sortedBy { it.workload.taskCount }) {
            if (remaining <= 0) return
            if (zone != null && machine.zone != zone) continue
            resources.reserve(machine)
            remaining -= gang.resourceRequest.countIn(capacityOf(machine))
        }
    }

    private fun mayBeReserved(machine: Machine, gang: Job): Boolean {
        if (resources.isReserved(machine) || !isAllowed(gang.spec, machine)) return false
        return !view.isAvoided(gang, machine) && gang.resourceRequest.fitsIn(capacityOf(machine))
    }

    private fun capacityOf(machine: Machine): Resources = view.types.getValue(machine.type).capacity

    private fun mostCommonZone(machines: List<Machine>): String? =
        machines
            .groupingBy { it.zone }
            .eachCount()
            .maxByOrNull { it.value }
            ?.key
}
