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
 * The leader's state of the cluster: machines, jobs whose tasks may run, placements, and the usage of teams. A
 * placement, its machine's load and its team's usage change together or not at all, so all of them are changed here.
 */
class ClusterState(private val context: SchedulingContext) {
    private val knownMachines = LinkedHashMap<String, Machine>()
    private val runnableJobs = LinkedHashMap<String, Job>()
    private val deletedMachines = HashSet<String>()

    val machines: Map<String, Machine> get() = knownMachines

    /** Jobs whose tasks may run; jobs that wait for dependencies are not included. */
    val jobs: Map<String, Job> get() = runnableJobs

    val quotas = TeamQuotas(context.config.teams)

    /** The machine types that the cloud offers, by name. */
    var types: Map<String, MachineType> = emptyMap()
        private set

    /** The most frequent type among the machines. */
    var mostCommonType: MachineType? = null
        private set

    /** Replaces the machine types with [list], as read from the cloud. */
    fun updateTypes(list: List<MachineType>) {
        types = list.associateBy { it.name }
        updateMostCommonType()
    }

    private fun updateMostCommonType() {
        val counts = machines.values.groupingBy { it.type }.eachCount()
        mostCommonType = types.values.maxWithOrNull(compareBy<MachineType> { counts[it.name] ?: 0 }.thenBy { it.name })
    }

    /** The type of the machine; null if the cloud does not offer it. */
    fun typeOf(machine: Machine): MachineType? = types[machine.type]

    /** The first type whose machines are large enough for a task of the job; null if there is none. */
    fun firstTypeFor(spec: JobSpec): MachineType? =
        types.values.firstOrNull { spec.resourceRequest.fitsIn(it.capacity) }

    /** The zone of the machine, null if it is not known. */
    fun zoneOf(machine: String): String? = machines[machine]?.zone?.ifEmpty { null }

    /** Returns the machine, which is created and added if it is not known. */
    fun findOrAdd(id: String, create: () -> Machine): Machine = knownMachines.getOrPut(id, create)

    /** Removes a machine that is gone, with all tasks on it, as the cloud has confirmed. */
    fun removeMachine(machine: Machine) {
        deletedMachines.add(machine.id)
        knownMachines.remove(machine.id)
    }

    /** Whether the cloud has confirmed that the machine is gone; late messages must not add it again. */
    fun wasDeleted(machine: String): Boolean = machine in deletedMachines

    /**
     * Applies the cloud's complete list of machines, which lags behind. Returns the machines that have failed since the
     * last list.
     */
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
        updateMostCommonType()
        return failed
    }

    /** Adds a job whose tasks may run. */
    fun addJob(job: Job) {
        runnableJobs[job.spec.id] = job
    }

    /** Removes a job that has its final state. */
    fun removeJob(id: String): Job? = runnableJobs.remove(id)

    /** Adds a new placement; [maySplit] tells whether it may be stored apart from the job's record. */
    fun addPlacement(placement: Placement, machine: Machine, maySplit: Boolean) {
        placement.job.addPlacement(placement, maySplit)
        attach(placement, machine)
    }

    /**
     * Adds a placement that an earlier leader stored in the given [part] of the job's record. Its task may have been
     * started, so the placement is kept until a heartbeat or the machine's deletion proves that the task is gone.
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

    private fun logIfCancelledWorkIsGone(job: Job) {
        val cancelledAt = job.cancelledAt ?: return
        context.log(isImportant = true) { "cancelled-work-gone job=${job.spec.id} after=${context.now - cancelledAt}" }
    }

    /** Removes a placement whose task is not on its machine and can no longer be started there. */
    fun removePlacement(placement: Placement) {
        val job = placement.job
        if (job.placementOf(placement.task) !== placement) return
        job.removePlacement(placement.task)
        machines[placement.machine]?.let { machine ->
            machine.workload.removePlacement(placement)
            machine.requests.dropStart(placement.key, placement.attempt)
        }
        quotas.charge(job, -1)
        context.log { "unplace task=$placement machine=${placement.machine} state=${placement.taskState}" }
        if (placement.stage == PlacementStage.PLANNED) job.addUrgentChange() else job.markDirty()
        if (job.placements.isEmpty()) {
            job.gangAttempt = null
            logIfCancelledWorkIsGone(job)
        }
    }
}
