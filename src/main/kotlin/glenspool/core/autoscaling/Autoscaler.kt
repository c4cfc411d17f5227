package glenspool.core.autoscaling

import glenspool.core.ScaleOut
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.MachineDeleter
import glenspool.core.lifecycle.Job
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Rents machines for waiting work, and returns machines that no work is expected to need. */
class Autoscaler(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    deadlines: DeadlinePolicy,
    deleter: MachineDeleter,
) {
    private val requests = ScaleOutRequests(context)
    private val headroom = ServiceHeadroom(context, cluster)
    private val scaleOut = ScaleOutPlanner(context, cluster, deadlines, requests)
    private val scaleIn = ScaleInPolicy(context, cluster, deleter)
    private var plannedAt = Duration.ZERO - INITIAL_PLAN_AGE

    /** Called when the tasks of a job may be placed from now on. */
    fun jobArrived(job: Job) = headroom.jobArrived(job)

    /** Called when the cloud has answered the request; it has rented [rented] machines. */
    fun scaleOutAnswered(request: ScaleOut, rented: Int) = requests.answered(request, rented)

    /** Called when there was no response from the cloud. */
    fun scaleOutUnanswered(request: ScaleOut) = requests.notAnswered(request)

    /** Repeats requests that got no response, after a retry delay. */
    fun tick() = requests.retry()

    /** Plans which machines to rent and to return, at most once per [PLAN_INTERVAL]. */
    fun plan() {
        if (context.now - plannedAt < PLAN_INTERVAL) return
        plannedAt = context.now
        val waiting =
            cluster.jobs.values
                .filter { it.waitingTaskCount() > 0 && it.machinesWithFailures.size < MAX_MACHINES_WITH_FAILURES }
                .sortedWith(compareByDescending<Job> { it.effectivePriority }.thenBy { it.waitingSince })
        val slots = headroom.measure()
        requests.request(scaleOut.plan(waiting, slots))
        scaleIn.apply(waiting, slots)
    }

    private companion object {
        val PLAN_INTERVAL = 1.seconds

        /** The age of a fictitious last plan at the start, so that the first plan is made without delay. */
        val INITIAL_PLAN_AGE = 100.seconds

        /** No machine is rented for a job that failed on this many machines, because the fault lies with the job. */
        const val MAX_MACHINES_WITH_FAILURES = 3
    }
}
