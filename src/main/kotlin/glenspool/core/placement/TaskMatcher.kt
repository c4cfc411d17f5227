package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.cluster.isZoneAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.Resource
import glenspool.core.model.Resources

/**
 * Matches single tasks with machines. There is a queue of machines for each resource. The queues are polled in turn,
 * and each polled machine takes a waiting task whose bottleneck is that resource.
 */
class TaskMatcher(private val view: PlacementView, private val resources: RoundResources) {
    private val scores = HashMap<Job, MachineScores>()
    private val scorer = MachineScorer(view)

    init {
        resources.onTaskPlaced { machine -> scores.values.forEach { it.update(machine) } }
    }

    /** Places tasks of [jobs], which have the same priority and are in the order in which they should start. */
    fun match(jobs: List<Job>) {
        if (jobs.isEmpty()) return
        val byResource = jobs.groupBy { bottleneck(it.resourceRequest, view.mostCommonType, view.resourceFactor) }
        for (preferredOnly in listOf(true, false)) {
            val waiting =
                byResource.mapValues { (_, bound) -> bound.filterTo(ArrayList()) { it.waitingTaskCount() > 0 } }
            pollQueuesInTurn(waiting, preferredOnly)
        }
    }

    private fun pollQueuesInTurn(waiting: Map<Resource, MutableList<Job>>, preferredOnly: Boolean) {
        val queues =
            Resource.entries.associateWith { resource ->
                if (waiting[resource].isNullOrEmpty()) ArrayDeque() else ArrayDeque(machinesBy(resource))
            }
        while (queues.values.any { it.isNotEmpty() }) {
            for (resource in Resource.entries) {
                val queue = queues.getValue(resource)
                val machine = queue.removeFirstOrNull() ?: continue
                val jobs = waiting[resource]
                if (jobs.isNullOrEmpty()) {
                    queue.clear()
                    continue
                }
                val wasPlaced = placeOne(machine, jobs, preferredOnly)
                if (wasPlaced && hasFree(machine, resource)) queue.addLast(machine)
            }
        }
    }

    /** Returns the machines with some of the resource free: largest capacity, then most free resources first. */
    private fun machinesBy(resource: Resource): List<Machine> {
        val byCapacity = compareByDescending<Machine> { view.types.getValue(it.type).capacity.of(resource) }
        return resources.machines
            .filter { !resources.isReserved(it) && hasFree(it, resource) }
            .sortedWith(byCapacity.thenByDescending { resources.freeOn(it).of(resource) })
    }

    private fun hasFree(machine: Machine, resource: Resource) =
        resources.freeOn(machine).of(resource) > Resources.EPSILON

    /** Places one task on the machine. Returns false if none of the jobs has a task for it. */
    private fun placeOne(machine: Machine, jobs: MutableList<Job>, preferredOnly: Boolean): Boolean {
        val job = chooseJob(machine, jobs, preferredOnly) ?: return false
        view.place(job, job.waitingTasks(1).first(), machine, null)
        resources.allocate(machine, job)
        return true
    }

    /**
     * Chooses a job for the machine, or returns null if there is none. In the first pass ([preferredOnly]), only a job
     * that no other machine suits better is chosen. In the second pass, a job whose image is in the machine's cache is
     * preferred among the next jobs in order, because each unnecessary fetch occupies resources without doing work.
     */
    private fun chooseJob(machine: Machine, jobs: MutableList<Job>, preferredOnly: Boolean): Job? {
        val available = resources.freeOn(machine)
        var firstFitting: Job? = null
        var skippedJobs = 0
        val remaining = jobs.iterator()
        while (remaining.hasNext()) {
            val job = remaining.next()
            if (!mayBePlaced(job)) {
                // A job that no machine may take now cannot be placed later in this round either.
                remaining.remove()
                continue
            }
            if (!isFitting(job, machine, available)) continue
            if (preferredOnly) {
                if (isPreferred(job, machine)) return job
                continue
            }
            if (machine.hasImage(job.spec.image)) return job
            if (firstFitting == null) firstFitting = job
            if (++skippedJobs >= MAX_SKIPPED_JOBS) break
        }
        return firstFitting
    }

    private fun mayBePlaced(job: Job): Boolean {
        if (job.waitingTaskCount() <= 0 || view.remainingQuota(job) <= 0) return false
        return view.recordCapacity(job) > 0 && job.hasWaitingTask()
    }

    private fun isFitting(job: Job, machine: Machine, available: Resources): Boolean {
        if (!job.resourceRequest.fitsIn(available) || isClosedTo(job, machine)) return false
        if (!isAllowed(job.spec, machine) || view.isAvoided(job, machine)) return false
        return isZoneAllowed(job, machine.zone, view::zoneOf)
    }

    /** Whether the machine is closed to the job: a cordoned machine takes no short work, that is, no arrays. */
    private fun isClosedTo(job: Job, machine: Machine) = machine.isCordoned && job.spec.kind == JobKind.ARRAY

    /** Whether no other machine suits the job better. */
    private fun isPreferred(job: Job, machine: Machine): Boolean {
        val best =
            scores
                .getOrPut(job) { MachineScores(job, scorer, resources.machines) { isUsable(job, it) } }
                .bestScore()
        return best >= scorer.score(job, machine)
    }

    private fun isUsable(job: Job, machine: Machine): Boolean {
        if (isClosedTo(job, machine) || resources.isReserved(machine)) return false
        if (!job.resourceRequest.fitsIn(resources.freeOn(machine))) return false
        return isAllowed(job.spec, machine) && !view.isAvoided(job, machine)
    }

    private companion object {
        /** How many jobs without their image on the machine may be skipped for one that has its image there. */
        const val MAX_SKIPPED_JOBS = 6
    }
}
