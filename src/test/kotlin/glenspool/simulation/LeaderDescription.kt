package glenspool.simulation

import glenspool.core.Scheduler
import glenspool.core.lifecycle.Placement
import kotlin.time.Duration

/** Describes the leader's state of a job for failure messages. */
internal fun describe(leader: Scheduler?, now: Duration, id: String): String {
    val job = leader?.jobs?.get(id) ?: return "unknown to the leader"
    val placements = job.placements.values.joinToString { describe(leader, it) }
    return "now=$now ${job.storeState} version=${job.version} orphans=${job.orphans} " +
        "waiting=${job.waitingTasks(MAX_TASKS)} retryAfter=${job.retryAfter} " +
        "failedOn=${job.machinesWithFailures} $placements"
}

private fun describe(leader: Scheduler, placement: Placement): String {
    val machine = leader.machines[placement.machine]
    val task = "$placement@${placement.machine} ${placement.stage}/${placement.taskState}"
    val commands = "sent=${placement.startSentAt} stop=${placement.stopCause}"
    val contact = "trusted=${machine?.isTrusted} heard=${machine?.reachability?.lastContactAt}"
    val requests = "starts=${machine?.requests?.starts?.unanswered} inFlight=${machine?.requests?.isInFlight}"
    return "$task $commands $contact deleting=${machine?.isDeleting} $requests"
}

private const val MAX_TASKS = 9
