package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources

/** Places gangs: whole or not at all, by a plan that is made first. */
class GangPlanner(private val view: PlacementView, private val resources: RoundResources) {
    private class PlannedTask(val task: Int, val machine: Machine)

    /** Places the gang. False: the machines of this round do not hold it. */
    fun place(gang: Job): Boolean {
        if (gang.placements.isNotEmpty()) return false
        val tasks = gang.waitingTasks(gang.spec.tasks)
        // Some of its tasks are still somewhere, or quota or record have no space: reserving machines would not help.
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

    /** The plan with the fewest images to fetch, of those for each zone if all tasks have to be in one. */
    private fun bestPlan(gang: Job, tasks: List<Int>): List<PlannedTask>? {
        val zones: List<String?> =
            if (gang.spec.sameZone) resources.machines.map { it.zone }.distinct() else listOf(null)
        return zones
            .mapNotNull { planIn(it, gang, tasks) }
            .minByOrNull { plan -> plan.count { !it.machine.hasImage(gang.spec.image) } }
    }

    private fun planIn(zone: String?, gang: Job, tasks: List<Int>): List<PlannedTask>? {
        val fitting = resources.machines.filter { isFitting(it, zone, gang) }
        if (fitting.sumOf { gang.resourceRequest.countIn(resources.freeOn(it)) } < tasks.size) return null
        val tasksInZone = HashMap<String, Int>()
        val plan = ArrayList<PlannedTask>()
        val left = ArrayDeque(tasks)
        for (machine in fitting.sortedWith(byPreference(gang))) {
            var available: Resources = resources.freeOn(machine)
            while (left.isNotEmpty() && gang.resourceRequest.fitsIn(available)) {
                if ((tasksInZone[machine.zone] ?: 0) >= gang.spec.maxTasksPerZone) break
                plan.add(PlannedTask(left.removeFirst(), machine))
                tasksInZone.merge(machine.zone, 1, Int::plus)
                available -= gang.resourceRequest
            }
            if (left.isEmpty()) return plan
        }
        return null
    }

    private fun isFitting(machine: Machine, zone: String?, gang: Job): Boolean {
        if (resources.isReserved(machine) || !gang.resourceRequest.fitsIn(resources.freeOn(machine))) return false
        val isInZone = zone == null || machine.zone == zone
        return isInZone && isAllowed(gang.spec, machine) && !view.isAvoided(gang, machine)
    }

    /** The fastest type, then cached images, then what it costs, then fast machines with many free GPUs. */
    private fun byPreference(gang: Job): Comparator<Machine> {
        val fastest = view.fastestType(gang.spec.jobClass)
        return compareBy<Machine> { if (it.type == fastest) 0 else 1 }
            .thenBy { if (it.hasImage(gang.spec.image)) 0 else 1 }
            .thenBy { view.costPenalty(gang, it) }
            .thenBy { it.health.slowness }
            .thenByDescending { resources.freeOn(it).gpus }
    }

    /** Keeps machines that the gang could use from lower work in this round, so that they become free for it. */
    fun reserveMachines(gang: Job) {
        val usable = resources.allMachines.filter { mayBeReserved(it, gang) }
        val zone = if (gang.spec.sameZone) mostCommonZone(usable) else null
        var wanted = gang.waitingCount()
        for (machine in usable.sortedBy { it.workload.taskCount }) {
            if (wanted <= 0) return
            if (zone != null && machine.zone != zone) continue
            resources.reserve(machine)
            wanted -= gang.resourceRequest.countIn(capacityOf(machine))
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
