package glenspool.core.cluster

import glenspool.core.StopCause
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A machine on which the cancelled [jobs] were placed; [since] is the time of the earliest cancellation. */
data class SuspectMachine(val machine: String, val jobs: Set<String>, val since: Duration)

/**
 * How many machines are suspected of cancelled work, how many of them were not probed yet or have to be deleted, and
 * how long ago the earliest of their cancellations was stored.
 */
data class SuspectCounts(val suspects: Int, val unprobed: Int, val overdue: Int, val oldestAge: Duration)

/**
 * Tracks cancelled work while there is no leader: which machines have to be probed for it, and for which it is too late
 * for that, so that they have to be deleted. Both are ordered by deadline. All times are wall-clock times. Thread-safe.
 */
class CancelledWorkTracker(private val cancellationDeadline: Duration) {
    /** The cancelled jobs that were found to have no tasks left on a machine, by machine. */
    private val clearedJobs = HashMap<String, HashSet<String>>()
    private var suspects: Map<String, SuspectMachine> = emptyMap()

    /** Since when each suspect has been one, without a break. */
    private val suspectedAt = HashMap<String, Duration>()

    /** Suspects that [missedDeadlines] has returned. */
    private val reportedMisses = HashSet<String>()

    /** How often each machine was probed since it became a suspect, whether the probe was answered or not. */
    private val probeCounts = HashMap<String, Int>()

    /** Machines that are being probed at the moment. */
    private val probesInProgress = HashSet<String>()

    /** The suspects that were not taken for a probe since the last [update], the most urgent first. */
    private var probeQueue = ArrayDeque<SuspectMachine>()

    /**
     * Determines the suspects at [now] and returns them: those of the [cancellations], of which [machinesOf] returns
     * the machines on which a job was placed, as far as known, and those that were [reported] by the last leader.
     */
    @Synchronized
    fun update(
        now: Duration,
        cancellations: List<Cancellation>,
        reported: List<SuspectMachine> = emptyList(),
        machinesOf: (String) -> List<String>,
    ): Collection<SuspectMachine> {
        val due = cancellations.filter { isDue(now - it.at) }
        forgetClearedExcept(due.mapTo(HashSet()) { it.job } + reported.flatMap { it.jobs })
        val found = HashMap<String, SuspectMachine>()
        for (cancellation in due) {
            val jobs = setOf(cancellation.job)
            machinesOf(cancellation.job).forEach { addSuspect(found, SuspectMachine(it, jobs, cancellation.at)) }
        }
        reported.forEach { addSuspect(found, it) }
        suspects = found
        probeCounts.keys.retainAll(suspects.keys)
        suspectedAt.keys.retainAll(suspects.keys)
        suspects.keys.forEach { suspectedAt.putIfAbsent(it, now) }
        reportedMisses.retainAll(suspects.keys)
        probeQueue = ArrayDeque(suspects.values.sortedWith(compareBy({ probeCounts[it.machine] ?: 0 }, { it.since })))
        return suspects.values
    }

    /** Machines are not probed again for a job that was cleared there, as long as it would make them suspects. */
    private fun forgetClearedExcept(jobs: Set<String>) {
        clearedJobs.values.forEach { it.retainAll(jobs) }
        clearedJobs.values.removeIf { it.isEmpty() }
    }

    /** Adds the suspect without the jobs that were found to be gone from it. */
    private fun addSuspect(found: HashMap<String, SuspectMachine>, suspect: SuspectMachine) {
        val jobs = suspect.jobs - clearedJobs[suspect.machine].orEmpty()
        if (jobs.isEmpty()) return
        found.merge(suspect.machine, suspect.copy(jobs = jobs)) { known, added ->
            SuspectMachine(known.machine, known.jobs + added.jobs, minOf(known.since, added.since))
        }
    }

    /**
     * Whether machines are probed for a job that was cancelled [elapsed] ago. Earlier, the replies to heartbeats stop
     * its work; long after the deadline, it is too late in any case.
     */
    private fun isDue(elapsed: Duration): Boolean =
        elapsed >= cancellationDeadline * PROBE_SHARE && elapsed <= cancellationDeadline * MAX_AGE_DEADLINES

    private fun isClear(suspect: SuspectMachine) = clearedJobs[suspect.machine]?.containsAll(suspect.jobs) == true

    /**
     * Takes the next suspect to probe that [mayProbe] accepts, and null if there is none left since the last [update].
     * Those probed least often come first, so that machines which never answer do not keep others from being probed,
     * and among them those whose deadline is earliest. [recordProbe] has to be called for each.
     */
    @Synchronized
    fun takeProbe(mayProbe: (SuspectMachine) -> Boolean): SuspectMachine? {
        while (true) {
            val next = probeQueue.removeFirstOrNull() ?: return null
            if (next.machine in probesInProgress || isClear(next) || !mayProbe(next)) continue
            probesInProgress.add(next.machine)
            return next
        }
    }

    /** Records that a suspect that was taken is not probed now. */
    @Synchronized
    fun releaseProbe(suspect: SuspectMachine) {
        probesInProgress.remove(suspect.machine)
    }

    /**
     * Records a probe of the machine, with the heartbeat in its reply or null if there was no reply. Returns the stops
     * for the cancelled tasks that still run there.
     */
    @Synchronized
    fun recordProbe(suspect: SuspectMachine, heartbeat: Heartbeat?): List<StopTask> {
        releaseProbe(suspect)
        probeCounts.merge(suspect.machine, 1, Int::plus)
        return recordHeartbeat(suspect, heartbeat ?: return emptyList())
    }

    /**
     * Records the heartbeat in a reply of the machine. Returns the stops for the cancelled tasks that still run there.
     */
    @Synchronized
    fun recordHeartbeat(suspect: SuspectMachine, heartbeat: Heartbeat): List<StopTask> {
        val remaining = heartbeat.tasks.filter { it.state != TaskState.EXITED && it.key.job in suspect.jobs }
        clear(suspect.machine, suspect.jobs - remaining.map { it.key.job }.toSet())
        return remaining.map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }
    }

    private fun clear(machine: String, jobs: Set<String>) {
        clearedJobs.getOrPut(machine) { HashSet() }.addAll(jobs)
    }

    /**
     * The machines to delete at [now], earliest deadline first: those that were probed and whose cancelled work was
     * neither found to be gone nor to be stopped, and near the deadline also those that could not be probed in time.
     */
    @Synchronized
    fun overdueMachines(now: Duration): List<String> =
        suspects.values
            .filter { isOverdue(it, now) }
            .sortedBy { it.since }
            .map { it.machine }

    private fun isOverdue(suspect: SuspectMachine, now: Duration): Boolean {
        if (isClear(suspect)) return false
        val elapsed = now - suspect.since
        val wasProbed = suspect.machine in probeCounts
        if (wasProbed) return elapsed > cancellationDeadline * DELETION_SHARE
        val hadTimeForProbe = now - suspectedAt.getValue(suspect.machine) > PROBE_ALLOWANCE
        return hadTimeForProbe && elapsed > cancellationDeadline * UNPROBED_DELETION_SHARE
    }

    /**
     * The suspects whose deadline has passed at [now] although there was time to probe and delete them. Each is
     * returned once.
     */
    @Synchronized
    fun missedDeadlines(now: Duration): List<SuspectMachine> =
        suspects.values.filter { hasMissedDeadline(it, now) && reportedMisses.add(it.machine) }

    private fun hasMissedDeadline(suspect: SuspectMachine, now: Duration): Boolean {
        val suspectedAfter = suspectedAt.getValue(suspect.machine) - suspect.since
        val hadTime = suspectedAfter <= cancellationDeadline * DELETION_SHARE
        return hadTime && !isClear(suspect) && now - suspect.since > cancellationDeadline
    }

    /** The counts at [now], for the log. */
    @Synchronized
    fun counts(now: Duration) =
        SuspectCounts(
            suspects = suspects.size,
            unprobed = suspects.keys.count { it !in probeCounts },
            overdue = suspects.values.count { isOverdue(it, now) },
            oldestAge = suspects.values.maxOfOrNull { now - it.since } ?: Duration.ZERO,
        )

    /** Records that the machine was deleted, with all tasks on it. */
    @Synchronized
    fun recordDeletion(machine: String) = clear(machine, suspects[machine]?.jobs.orEmpty())

    companion object {
        /**
         * Returns how long before the end of [deadline] the deletion of machines begins that do not answer a probe.
         */
        fun timeForDeletions(deadline: Duration): Duration = deadline * (1 - DELETION_SHARE)

        /** The share of the deadline after which machines are probed. */
        private const val PROBE_SHARE = 0.4

        /**
         * The share of the deadline after which machines are deleted. The remaining time is needed because the cloud
         * may take seconds, and calls may have to be repeated.
         */
        private const val DELETION_SHARE = 0.75

        /** The share of the deadline after which machines are deleted even if they could not be probed. */
        private const val UNPROBED_DELETION_SHARE = 0.85

        /** A machine is deleted without a probe only after the time for one, which ends after 4 s at the latest. */
        private val PROBE_ALLOWANCE = 4.seconds

        /** Cancellations older than this many deadlines are ignored. */
        private const val MAX_AGE_DEADLINES = 2
    }
}
