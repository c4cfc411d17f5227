package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A machine from which cancelled [jobs] should be gone by now. */
data class OverdueMachine(val machine: String, val addr: String, val jobs: Set<String>)

/** Watches that cancelled work is off the machines within the time that users were promised. */
class CancelledWorkDeadline(private val context: SchedulingContext, private val cluster: ClusterState) {
    private val namedAt = HashMap<String, Duration>()
    private val deadline: Duration get() = context.config.cancellationDeadline

    /**
     * Whether a task of a cancelled job is still on the machine, or one whose job is over and whose origin nobody
     * remembers, although stopping it takes a moment. A new leader gets that moment before it judges.
     */
    fun isExceeded(machine: Machine): Boolean {
        val hadTimeToStop = context.now - context.startedAt > TIME_TO_STOP
        val orphanedSince = machine.workload.orphanedSince
        val isOrphanLate = orphanedSince != null && context.now - orphanedSince > deadline * GIVE_UP_SHARE
        if (hadTimeToStop && isOrphanLate) return true
        val elapsed = context.now - (cancelledSince(machine) ?: return false)
        return hadTimeToStop && elapsed > deadline * GIVE_UP_SHARE || elapsed > deadline * LAST_MOMENT_SHARE
    }

    /** When the first of the jobs was cancelled that have something on the machine. */
    private fun cancelledSince(machine: Machine): Duration? {
        // Asked of every machine at every tick: it makes no lists.
        var earliest: Duration? = null
        for (placement in machine.placements.values) {
            placement.job.cancelledAt?.let { earliest = minOf(earliest ?: it, it) }
        }
        for (key in machine.orphans.keys) {
            cluster.jobs[key.job]?.cancelledAt?.let { earliest = minOf(earliest ?: it, it) }
        }
        return earliest
    }

    /**
     * Machines whose cancelled work must be gone at [at], as far as this node knows, for a time in which nobody can
     * lead. Each is named again after a while.
     */
    fun overdueMachines(at: Duration): List<OverdueMachine> {
        val overdue = cluster.machines.values.filter { isOverdue(it, at) && !wasNamed(it, at) }
        overdue.forEach { namedAt[it.id] = at }
        return overdue.map { OverdueMachine(it.id, it.addr, cancelledJobsOn(it)) }
    }

    private fun isOverdue(machine: Machine, at: Duration): Boolean {
        val since = cancelledSince(machine)
        return !machine.isDeleting && since != null && at - since > deadline * LAST_MOMENT_SHARE
    }

    private fun wasNamed(machine: Machine, at: Duration) =
        namedAt[machine.id].let {
            it != null && at - it < NAME_AGAIN
        }

    private fun cancelledJobsOn(machine: Machine): Set<String> {
        val jobs = machine.placements.values.map { it.job } + machine.orphans.keys.mapNotNull { cluster.jobs[it.job] }
        return jobs.filter { it.cancelledAt != null }.mapTo(HashSet()) { it.spec.id }
    }

    private companion object {
        /** The share of the deadline after which the leader gives the machine up. */
        const val GIVE_UP_SHARE = 0.6

        /** The share after which there is no more time for anything else. */
        const val LAST_MOMENT_SHARE = 0.8
        val NAME_AGAIN = 3.seconds

        /** What a new leader needs to have its stops carried out before it judges. */
        val TIME_TO_STOP = 6.seconds
    }
}
