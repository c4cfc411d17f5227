package glenspool.core.cluster

import glenspool.core.SchedulingContext
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineType
import glenspool.core.placement.TeamQuotas

/**
 * What is true of the cluster: machines, jobs whose tasks may run, placements, and what teams use. A placement, its
 * machine's load and its team's usage change together or not at all, so all of them change here.
 */
class ClusterState(private val context: SchedulingContext) {
    private val knownMachines = LinkedHashMap<String, Machine>()
    private val runnableJobs = LinkedHashMap<String, Job>()
    private val deletedMachines = HashSet<String>()

    val machines: Map<String, Machine> get() = knownMachines

    /** Jobs whose tasks may run. Those that wait for dependencies are not among them. */
    val jobs: Map<String, Job> get() = runnableJobs

    val quotas = TeamQuotas(context.config.teams)

    /** Machine types by name, as the cloud offers them. */
    var types: Map<String, MachineType> = emptyMap()
        private set

    /** The type that most machines are of. */
    var commonType: MachineType? = null
        private set

    /** The cloud's machine types were read. */
    fun updateTypes(list: List<MachineType>) {
        types = list.associateBy { it.name }
        updateCommonType()
    }

    private fun updateCommonType() {
        val counts = machines.values.groupingBy { it.type }.eachCount()
        commonType = types.values.maxWithOrNull(compareBy<MachineType> { counts[it.name] ?: 0 }.thenBy { it.name })
    }

    /** The type of the machine, if the cloud offers it. */
    fun typeOf(machine: Machine): MachineType? = types[machine.type]

    /** The first type whose machines are large enough for a task of the job; null if there is none. */
    fun firstTypeFor(spec: JobSpec): MachineType? =
        types.values.firstOrNull { spec.resourceRequest.fitsIn(it.capacity) }

    /** The zone of the machine, null if it is not known. */
    fun zoneOf(machine: String): String? = machines[machine]?.zone?.ifEmpty { null }

    /** The machine, which is added if it is not known. */
    fun findOrAdd(id: String, create: () -> Machine): Machine = knownMachines.getOrPut(id, create)

    /** The cloud has confirmed that the machine is gone, with all that was on it. */
    fun removeMachine(machine: Machine) {
        deletedMachines.add(machine.id)
        knownMachines.remove(machine.id)
    }

    /** Whether the cloud has confirmed that the machine is gone; late messages must not bring it back. */
    fun wasDeleted(machine: String): Boolean = machine in deletedMachines

    /** Applies the cloud's whole list, which lags. Machines that have failed since the last list are returned. */
    fun applyList(list: List<ListedMachine>): List<Machine> {
        val listedIds = HashSet<String>()
        val failed = ArrayList<Machine>()
        for (entry in list) {
            listedIds.add(entry.id)
            if (wasDeleted(entry.id)) continue
            val machine = findOrAdd(entry.id) { Machine(entry.id, entry.type, entry.zone, entry.spot, context.now) }
            val hadFailed = machine.hasFailed
            machine.applyListEntry(entry)
            if (machine.hasFailed && !hadFailed) failed.add(machine)
        }
        for (machine in machines.values) {
            if (machine.id !in listedIds) machine.markUnlisted(context.now)
        }
        updateCommonType()
        return failed
    }

    /** Adds a job whose tasks may run. */
    fun addJob(job: Job) {
        runnableJobs[job.spec.id] = job
    }

    /** Removes a job that has its final state. */
    fun removeJob(id: String): Job? = runnableJobs.remove(id)

    /** Adds a new placement; [maySplit]: whether it may be stored apart from the job's record. */
    fun addPlacement(placement: Placement, machine: Machine, maySplit: Boolean) {
        placement.job.place(placement, maySplit)
        attach(placement, machine)
    }

    /**
     * Adds a placement that an earlier leader has stored, in the given part of the job's record. Its task may have been
     * started: the placement stands until a heartbeat or the machine's deletion proves that the task is gone.
     */
    fun restore(placement: Placement, part: Int) {
        placement.job.restore(placement, part)
        val id = placement.machine
        attach(placement, findOrAdd(id) { Machine(id, "", "", false, context.now).apply { assumeBooted() } })
    }

    private fun attach(placement: Placement, machine: Machine) {
        machine.workload.addPlacement(placement)
        quotas.charge(placement.job, +1)
    }

    /** Removes a placement: nothing of it is left anywhere, or will be. */
    fun removePlacement(placement: Placement) {
        val job = placement.job
        if (job.placementOf(placement.task) !== placement) return
        job.unplace(placement.task)
        machines[placement.machine]?.let { machine ->
            machine.workload.removePlacement(placement)
            machine.requests.dropStart(placement.key, placement.attempt)
        }
        quotas.charge(job, -1)
        context.log { "unplace task=$placement machine=${placement.machine} state=${placement.taskState}" }
        if (placement.stage == PlacementStage.PLANNED) job.storeSoon() else job.markDirty()
        if (job.placements.isEmpty()) job.gangAttempt = null
    }
}
