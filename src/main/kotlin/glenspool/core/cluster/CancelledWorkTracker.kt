package glenspool.core.cluster

import glenspool.core.StopCause
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import kotlin.time.Duration

/** A machine on which [jobs] were placed, all cancelled by now; [since]: when the first of them was. */
data class SuspectMachine(val machine: String, val jobs: Set<String>, val since: Duration)

/**
 * Cancelled work that nobody who leads looks after: which machines have to be asked about it, and which are too late
 * for asking. Times are of the day. Safe for several threads.
 */
class CancelledWorkTracker(private val cancellationDeadline: Duration) {
    /** Jobs that a machine was seen to be rid of. */
    private val cleared = HashMap<String, HashSet<String>>()
    private var suspects: Map<String, SuspectMachine> = emptyMap()

    /** Machines that were asked, or could not be, since they are suspects. */
    private val tried = HashSet<String>()

    /** The machines to be asked at [now]. [machinesOf]: where the job was placed, as far as is known. */
    @Synchronized
    fun due(now: Duration, known: List<Cancellation>, machinesOf: (String) -> List<String>): List<SuspectMachine> {
        val jobs = HashMap<String, HashSet<String>>()
        val since = HashMap<String, Duration>()
        for (c in known) {
            // Reports that come in have it stopped before. Later than that it is too late in any case, but no less
            // true.
            if (now - c.at < cancellationDeadline * ASK_AFTER || now - c.at > cancellationDeadline * 2) continue
            for (m in machinesOf(c.job)) {
                if (cleared[m]?.contains(c.job) == true) continue
                jobs.getOrPut(m) { HashSet() }.add(c.job)
                since.merge(m, c.at, ::minOf)
            }
        }
        suspects = jobs.mapValues { (m, j) -> SuspectMachine(m, j, since.getValue(m)) }
        tried.retainAll(suspects.keys)
        if (suspects.isEmpty()) cleared.clear()
        return suspects.values.toList()
    }

    /** What the machine answered, null if nothing. What has to be stopped there is returned. */
    @Synchronized
    fun seen(s: SuspectMachine, heartbeat: Heartbeat?): List<StopTask> {
        tried.add(s.machine)
        if (heartbeat == null) return emptyList()
        val left = heartbeat.tasks.filter { it.state != TaskState.EXITED && it.key.job in s.jobs }
        val busy = left.map { it.key.job }.toSet()
        cleared.getOrPut(s.machine) { HashSet() }.addAll(s.jobs - busy)
        return left.map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }
    }

    /**
     * Machines that have to be deleted at [now]: they were asked, and what is on them was neither seen to be gone nor
     * stopped.
     */
    @Synchronized
    fun late(now: Duration): List<String> =
        suspects.values
            .filter {
                it.machine in tried &&
                    now - it.since > cancellationDeadline * DELETE_AFTER &&
                    cleared[it.machine]?.containsAll(it.jobs) != true
            }.map { it.machine }

    @Synchronized
    fun gone(machine: String) {
        cleared.getOrPut(machine) { HashSet() }.addAll(suspects[machine]?.jobs.orEmpty())
    }

    private companion object {
        const val ASK_AFTER = 0.4

        /** The cloud may take seconds to answer, and calls to it may have to be repeated. */
        const val DELETE_AFTER = 0.75
    }
}
