package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Resource
import glenspool.core.model.Resources
import kotlin.time.Duration

/**
 * Returns the bottleneck resource of a task, see docs/design.md: the GPU if the task requests one. Otherwise it is
 * memory if the requested share of a [mostCommonType] machine's memory exceeds [memoryFactor] times the share of its
 * CPUs, else CPU.
 */
fun bottleneck(request: Resources, mostCommonType: MachineType?, memoryFactor: Double): Resource {
    if (request.gpus > 0.0) return Resource.GPU
    if (mostCommonType == null) return Resource.CPU
    val memoryShare = request.memoryGb / mostCommonType.capacity.memoryGb
    val cpuShare = request.cpus / mostCommonType.capacity.cpus
    return if (memoryShare > memoryFactor * cpuShare) Resource.MEMORY else Resource.CPU
}

/**
 * One round of placement. Priorities are served from the highest to the lowest. Within a priority, gangs are placed
 * first, each completely or not at all. Then [TaskMatcher] matches the other tasks with machines: there is a queue of
 * machines for each resource, with the largest capacity, then the most free resources first. The queues are polled in
 * turn, and each polled machine takes a waiting task whose bottleneck is that resource.
 */
class PlacementRound(private val view: PlacementView, machines: List<Machine>, private val jobs: List<Job>) {
    private val resources = RoundResources(view, machines, jobs)
    private val gangs = GangPlanner(view, resources)
    private val tasks = TaskMatcher(view, resources)

    private class OrderedJob(val job: Job, val exceedsGuarantee: Boolean, val latestStart: Duration)

    /** Runs the round. Machines are reserved for a gang that could not be placed and [isOverdue]. */
    fun run(isOverdue: (Job) -> Boolean) {
        for (priority in Priority.entries.asReversed()) {
            val ordered = ordered(jobs.filter { it.effectivePriority == priority })
            if (ordered.isEmpty()) continue
            val (gangJobs, others) = ordered.partition { it.spec.kind == JobKind.GANG }
            for (gang in gangJobs) {
                if (!gangs.place(gang) && isOverdue(gang)) gangs.reserveMachines(gang)
            }
            tasks.match(others)
        }
    }

    /** Orders work within its team's guarantee first, then by the latest time at which it should start. */
    private fun ordered(jobs: List<Job>): List<Job> =
        jobs
            .map { OrderedJob(it, !view.isWithinGuarantee(it), view.latestStart(it)) }
            .sortedWith(byOrder)
            .map { it.job }

    private companion object {
        val byOrder: Comparator<OrderedJob> =
            compareBy<OrderedJob> { it.exceedsGuarantee }
                .thenBy { it.latestStart }
                .thenBy { it.job.spec.id }
    }
}
