package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources

/** The free resources of the machines in a placement round, updated as tasks are placed. */
class RoundResources(view: PlacementView, machines: List<Machine>, jobs: List<Job>) {
    /** All ready machines, including full ones, which may be reserved for a gang so that it gets them once free. */
    val allMachines: List<Machine> = machines.filter { it.type in view.types }
    private val free = LinkedHashMap<Machine, Resources>()
    private val reserved = HashSet<Machine>()
    private val listeners = ArrayList<(Machine) -> Unit>()

    /** The machines with free resources. */
    val machines: Set<Machine> get() = free.keys

    init {
        // Machines without enough resources for the smallest request of any waiting job are left out. In a busy fleet
        // these are most of the machines.
        val smallest =
            Resources(
                cpus = jobs.minOfOrNull { it.resourceRequest.cpus } ?: 0.0,
                gpus = jobs.minOfOrNull { it.resourceRequest.gpus } ?: 0.0,
                memoryGb = jobs.minOfOrNull { it.resourceRequest.memoryGb } ?: 0.0,
            )
        for (machine in allMachines) {
            val available = machine.available(view.types.getValue(machine.type))
            if (smallest.fitsIn(available)) free[machine] = available
        }
    }

    /** Returns the free resources of one of [machines]. */
    fun freeOn(machine: Machine): Resources = free.getValue(machine)

    /** Whether the machine is reserved for a gang in this round. */
    fun isReserved(machine: Machine): Boolean = machine in reserved

    /** Reserves the machine for a gang, so that no lower-priority work is placed on it in this round. */
    fun reserve(machine: Machine) {
        reserved.add(machine)
    }

    /** Subtracts the resources of a task that was placed on the machine, and calls the listeners. */
    fun allocate(machine: Machine, job: Job) {
        free[machine] = freeOn(machine) - job.resourceRequest
        // The task's image is being fetched by the machine now, and the machine is no longer empty, so it may suit
        // other jobs better than before.
        for (listener in listeners) listener(machine)
    }

    /** Adds a [listener] that is called with each machine on which a task is placed. */
    fun onTaskPlaced(listener: (Machine) -> Unit) {
        listeners.add(listener)
    }
}
