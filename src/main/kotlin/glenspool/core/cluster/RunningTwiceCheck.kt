package glenspool.core.cluster

import glenspool.core.ReportViolation
import glenspool.core.SchedulingContext
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus

/** Reports each task that two machines show at the same time, once per attempt. */
class RunningTwiceCheck(private val context: SchedulingContext, private val cluster: ClusterState) {
    private data class Finding(val key: TaskKey, val attempt: Long, val otherAttempt: Long)

    private val reported = HashSet<Finding>()

    /** Checks a task that is on the machine without a placement there. */
    fun check(machine: Machine, job: Job, status: TaskStatus) {
        val placement = job.placementOf(status.key.task) ?: return
        val other = cluster.machines[placement.machine] ?: return
        // A heartbeat without this leader's token may be a late copy.
        val isShownByBoth = placement.stage == PlacementStage.OBSERVED && machine.isTrusted && other.isTrusted
        if (other === machine || !isShownByBoth) return
        if (!reported.add(Finding(status.key, status.attempt, placement.attempt))) return
        context.fencingCounts.taskOnTwoMachines()
        context.addAction(ReportViolation("ran_twice", describe(machine, status, other, placement)))
    }

    private fun describe(machine: Machine, status: TaskStatus, other: Machine, placement: Placement): String =
        "task=${status.key.job}/${status.key.task} attempt=${status.attempt} machine=${machine.id} " +
            "token=${machine.token} incarnation=${machine.incarnation} " +
            "other-attempt=${placement.attempt} other-machine=${other.id} " +
            "election-token=${context.electionToken} leader-token=${context.token}"
}
