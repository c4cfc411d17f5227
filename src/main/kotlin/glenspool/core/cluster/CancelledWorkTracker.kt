package glenspool.core.cluster

import glenspool.core.StopCause
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import kotlin.time.Duration

/** A machine on which [jobs] were placed, all cancelled by now; [since]: when the first of them was. */
data class SuspectMachine(val machine: String, val jobs: Set<String>, val since: Duration)

/**
 * Cancelled work while nobody leads: which machines have to be probed for it, and which are too late for that. Times
 * are of the day. Any thread may call it.
 */
class CancelledWorkTracker(private val cancellationDeadline: Duration) {
    /** Jobs that a machine was seen to be rid of. */
    private val clearedJobs = HashMap<String, HashSet<String>>()
    private var suspects: Map<String, SuspectMachine> = emptyMap()

    /** Machines that were probed, or could not be, since they are suspects. */
    private val probedMachines = HashSet<String>()

    /** The machines to be probed at [now]. [machinesOf]: where the job was placed, as far as is known. */
    @Synchronized
    fun machinesToProbe(
        now: Duration,
        cancellations: List<Cancellation>,
        machinesOf: (String) -> List<String>,
    ): List<SuspectMachine> {
        val jobs = HashMap<String, HashSet<String>>()
        val since = HashMap<String, Duration>()
        for (cancellation in cancellations.filter { isDue(now - it.at) }) {
            for (machine in machinesOf(cancellation.job)) {
                if (isCleared(machine, cancellation.job)) continue
                jobs.getOrPut(machine) { HashSet() }.add(cancellation.job)
                since.merge(machine, cancellation.at, ::minOf)
            }
        }
        suspects =
            jobs.mapValues { (machine, cancelled) -> SuspectMachine(machine, cancelled, since.getValue(machine)) }
        probedMachines.retainAll(suspects.keys)
        if (suspects.isEmpty()) clearedJobs.clear()
        return suspects.values.toList()
    }

    /** Before, answers to heartbeats stop the work. Long after the deadline it is too late in any case. */
    private fun isDue(elapsed: Duration): Boolean =
        elapsed >= cancellationDeadline * PROBE_SHARE && elapsed <= cancellationDeadline * FORGET_FACTOR

    private fun isCleared(machine: String, job: String) = clearedJobs[machine]?.contains(job) == true

    /** The machine's answer to a probe, null if there was none. What has to be stopped there is returned. */
    @Synchronized
    fun recordProbe(suspect: SuspectMachine, heartbeat: Heartbeat?): List<StopTask> {
        probedMachines.add(suspect.machine)
        if (heartbeat == null) return emptyList()
        val left = heartbeat.tasks.filter { it.state != TaskState.EXITED && it.key.job in suspect.jobs }
        clear(suspect.machine, suspect.jobs - left.map { it.key.job }.toSet())
        return left.map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }
    }

    private fun clear(machine: String, jobs: Set<String>) {
        clearedJobs.getOrPut(machine) { HashSet() }.addAll(jobs)
    }

    /**
     * Machines that have to be deleted at [now]: they were probed, and what is on them was neither seen to be gone nor
     * stopped.
     */
    @Synchronized
    fun overdueMachines(now: Duration): List<String> = suspects.values.filter { isOverdue(it, now) }.map { it.machine }

    private fun isOverdue(suspect: SuspectMachine, now: Duration): Boolean {
        val isLate = now - suspect.since > cancellationDeadline * DELETE_SHARE
        val isClear = clearedJobs[suspect.machine]?.containsAll(suspect.jobs) == true
        return suspect.machine in probedMachines && isLate && !isClear
    }

    /** The machine is gone, with all that was on it. */
    @Synchronized
    fun recordDeletion(machine: String) = clear(machine, suspects[machine]?.jobs.orEmpty())

    private companion object {
        /** The share of the deadline after which machines are probed. */
        const val PROBE_SHARE = 0.4

        /** The share after which they are deleted: the cloud may take seconds, and calls may have to be repeated. */
        const val DELETE_SHARE = 0.75

        /** After so many deadlines a cancellation is not looked at any more. */
        const val FORGET_FACTOR = 2
    }
}
