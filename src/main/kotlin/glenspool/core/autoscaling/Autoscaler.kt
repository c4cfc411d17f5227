package glenspool.core.autoscaling

import glenspool.core.ScaleOut
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.MachineDeleter
import glenspool.core.lifecycle.Job
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Scales the fleet out for waiting work and in again when nothing is expected to need it. */
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
    private var plannedAt = Duration.ZERO - LONG_AGO

    /** A job's tasks may be placed from now on. */
    fun jobArrived(job: Job) = headroom.jobArrived(job)

    /** The cloud has answered with [rented] machines. */
    fun scaleOutAnswered(request: ScaleOut, rented: Int) = requests.answered(request, rented)

    /** The cloud has not answered. */
    fun scaleOutUnanswered(request: ScaleOut) = requests.noAnswer(request)

    /** Repeats requests that had no answer. */
    fun tick() = requests.retry()

    /** Plans anew, at a limited rate. */
    fun plan() {
        if (context.now - plannedAt < PLAN_INTERVAL) return
        plannedAt = context.now
        val waiting =
            cluster.jobs.values
                .filter { it.waitingCount() > 0 && it.failedOn.size < MAX_FAILURES }
                .sortedWith(compareByDescending<Job> { it.effectivePriority }.thenBy { it.waitingSince })
        val slots = headroom.measure()
        requests.request(scaleOut.plan(waiting, slots))
        scaleIn.apply(waiting, slots)
    }

    private companion object {
        val PLAN_INTERVAL = 1.seconds
        val LONG_AGO = 100.seconds

        /** A job that failed on so many machines is at fault itself: none is rented for it. */
        const val MAX_FAILURES = 3
    }
}
