package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A machine on which no task of the cancelled [jobs] should be left by now. [elapsed]: the time since the earliest of
 * their cancellations.
 */
data class OverdueMachine(val machine: String, val addr: String, val jobs: Set<String>, val elapsed: Duration)

/** Detects machines on which cancelled work has not ended in time for the deadline that was promised to users. */
class CancelledWorkDeadline(private val context: SchedulingContext, private val cluster: ClusterState) {
    private val reportedAt = HashMap<String, Duration>()
    private val deadline: Duration get() = context.config.cancellationDeadline

    /**
     * Whether the machine has to be deleted because a task of a cancelled job is still on it, or an orphan whose job
     * may be over and of whose origin there is no record, although a stop takes much less time. A new leader first
     * waits for [STOP_GRACE_PERIOD], so that its own stops can be executed, but for cancelled jobs not beyond
     * [LATEST_DELETION_SHARE] of the deadline.
     */
    fun isExceeded(machine: Machine): Boolean {
        val hadTimeToStop = context.now - context.startedAt > STOP_GRACE_PERIOD
        val orphanedSince = machine.workload.orphanedSince
        val isOrphanOverdue = orphanedSince != null && context.now - orphanedSince > deadline * DELETION_SHARE
        if (hadTimeToStop && isOrphanOverdue) return true
        val elapsed = context.now - (cancelledSince(machine) ?: return false)
        return hadTimeToStop && elapsed > deadline * DELETION_SHARE || elapsed > deadline * LATEST_DELETION_SHARE
    }

    /** The earliest cancellation of a job with a placement or an orphan on the machine; null if there is none. */
    private fun cancelledSince(machine: Machine): Duration? {
        // Called for every machine at every tick, so it creates no lists.
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
     * Machines whose cancelled work must be gone at [at], as far as this node knows. Used while no controller can lead.
     * A machine is reported again after [REPORT_INTERVAL].
     */
    fun overdueMachines(at: Duration): List<OverdueMachine> {
        val overdue = cluster.machines.values.mapNotNull { overdueMachine(it, at) }
        overdue.forEach { reportedAt[it.machine] = at }
        return overdue
    }

    private fun overdueMachine(machine: Machine, at: Duration): OverdueMachine? {
        if (machine.isDeleting || wasReportedRecently(machine, at)) return null
        val elapsed = at - (cancelledSince(machine) ?: return null)
        if (elapsed <= deadline * LATEST_DELETION_SHARE) return null
        return OverdueMachine(machine.id, machine.addr, cancelledJobsOn(machine), elapsed)
    }

    private fun wasReportedRecently(machine: Machine, at: Duration): Boolean {
        val lastReportAt = reportedAt[machine.id] ?: return false
        return at - lastReportAt < REPORT_INTERVAL
    }

    private fun cancelledJobsOn(machine: Machine): Set<String> {
        val jobs = machine.placements.values.map { it.job } + machine.orphans.keys.mapNotNull { cluster.jobs[it.job] }
        return jobs.filter { it.cancelledAt != null }.mapTo(HashSet()) { it.spec.id }
    }

    companion object {
        /** The interval after which a machine with overdue work is reported again. */
        val REPORT_INTERVAL = 3.seconds

        /** The share of the deadline after which the leader deletes the machine. */
        private const val DELETION_SHARE = 0.6

        /** The share of the deadline after which there is no time left for anything but deleting the machine. */
        private const val LATEST_DELETION_SHARE = 0.8

        /** The time that workers need to execute the stops of a new leader, before it may delete their machines. */
        private val STOP_GRACE_PERIOD = 6.seconds
    }
}
