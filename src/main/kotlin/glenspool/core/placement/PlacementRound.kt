package glenspool.core.placement

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Resource
import glenspool.core.model.Resources
import kotlin.time.Duration

/** The bottleneck resource of a task, see docs/design.md: GPU if it asks for one, else memory or CPU by share. */
fun bottleneck(request: Resources, common: MachineType?, factor: Double): Resource {
    if (request.gpus > 0.0) return Resource.GPU
    if (common == null) return Resource.CPU
    val memoryShare = request.memoryGb / common.capacity.memoryGb
    val cpuShare = request.cpus / common.capacity.cpus
    return if (memoryShare > factor * cpuShare) Resource.MEMORY else Resource.CPU
}

/**
 * One round of placement. Priorities are served from the top; within one, gangs are placed whole first, then machine
 * queues per resource are drawn from in turn, each largest capacity, then most free resources first, and each machine
 * takes a waiting task that is bound by that resource.
 */
class PlacementRound(private val view: PlacementView, machines: List<Machine>, private val jobs: List<Job>) {
    private val resources = RoundResources(view, machines, jobs)
    private val gangs = GangPlanner(view, resources)
    private val tasks = TaskMatcher(view, resources)

    private class OrderedJob(val job: Job, val exceedsGuarantee: Boolean, val latestStart: Duration)

    /** Gangs that could not be placed and are [overdue] get machines reserved for them. */
    fun run(overdue: (Job) -> Boolean) {
        for (priority in Priority.entries.asReversed()) {
            val ordered = ordered(jobs.filter { it.effectivePriority == priority })
            if (ordered.isEmpty()) continue
            val (gangJobs, others) = ordered.partition { it.spec.kind == JobKind.GANG }
            for (gang in gangJobs) {
                if (!gangs.place(gang) && overdue(gang)) gangs.reserveMachines(gang)
            }
            tasks.match(others)
        }
    }

    /** Work within its team's guarantee goes first, then by when it should start. */
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
