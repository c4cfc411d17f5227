package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources

/** What is free on the machines of a placement round, kept up as tasks are placed. */
class RoundResources(view: PlacementView, machines: List<Machine>, jobs: List<Job>) {
    /** All that are ready, also those that are full now: one may be reserved for a gang as it becomes free. */
    val allMachines: List<Machine> = machines.filter { it.type in view.types }
    private val free = LinkedHashMap<Machine, Resources>()
    private val reserved = HashSet<Machine>()
    private val listeners = ArrayList<(Machine) -> Unit>()

    /** The machines with free resources. */
    val machines: Set<Machine> get() = free.keys

    init {
        // A full machine takes no part: with the smallest waiting task in mind, most of a busy fleet drops out here.
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

    /** What is free on one of [machines]. */
    fun freeOn(machine: Machine): Resources = free.getValue(machine)

    /** Whether the machine is kept for a gang in this round. */
    fun isReserved(machine: Machine): Boolean = machine in reserved

    /** Keeps the machine from lower work in this round. */
    fun reserve(machine: Machine) {
        reserved.add(machine)
    }

    /** A task of the job was placed on the machine. */
    fun allocate(machine: Machine, job: Job) {
        free[machine] = freeOn(machine) - job.resourceRequest
        // Its image is on its way there now, and the machine is no longer empty: that may suit others better.
        for (listener in listeners) listener(machine)
    }

    /** [listener] is told of each machine that a task was placed on. */
    fun onTaskPlaced(listener: (Machine) -> Unit) {
        listeners.add(listener)
    }
}
