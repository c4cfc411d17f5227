package glenspool.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** An event that a user or a worker observed. */
sealed interface HistoryEvent {
    val at: Duration

    data class Accepted(override val at: Duration, val job: String) : HistoryEvent

    data class CancelConfirmed(override val at: Duration, val job: String) : HistoryEvent

    data class Started(override val at: Duration, val job: String, val machine: String) : HistoryEvent

    /** The task has ended on the machine for any reason. [done] tells whether it completed. */
    data class Ended(override val at: Duration, val job: String, val machine: String, val done: Boolean) : HistoryEvent

    /** A user received the final state of a job. */
    data class FinalStateReceived(override val at: Duration, val job: String, val stage: String) : HistoryEvent
}

/** The events that users and workers observed of jobs with one task each, in order of time. Thread-safe. */
class JobHistory(private val now: () -> Duration) {
    private val events = ArrayList<HistoryEvent>()

    /** Records the event that [event] creates for the current time. */
    @Synchronized
    fun add(event: (Duration) -> HistoryEvent) {
        events.add(event(now()))
    }

    @Synchronized
    fun allEvents(): List<HistoryEvent> = events.toList()

    /** Jobs that were accepted. */
    val acceptedJobs: Set<String> get() = allEvents().filterIsInstance<HistoryEvent.Accepted>().map { it.job }.toSet()

    /** Jobs whose final state a user received. */
    val finishedJobs: Set<String> get() =
        allEvents()
            .filterIsInstance<HistoryEvent.FinalStateReceived>()
            .map { it.job }
            .toSet()

    val lastStartAt: Duration get() = allEvents().lastOrNull { it is HistoryEvent.Started }?.at ?: Duration.ZERO

    /**
     * Returns the longest time between two successive events of a kind between [from] and [to], or zero if there are
     * fewer than two.
     */
    inline fun <reified T : HistoryEvent> longestGap(
        from: Duration = Duration.ZERO,
        to: Duration = Duration.INFINITE,
    ): Duration {
        val moments = allEvents().filterIsInstance<T>().map { it.at }.filter { it in from..to }
        return moments.zipWithNext { earlier, later -> later - earlier }.maxOrNull() ?: Duration.ZERO
    }
}

/**
 * Checks a history after the faults are over and all jobs have had time to end. [maxStall] is the longest allowed time
 * between two accepted submissions, and between two starts. [cancellationDeadline] is the time after the confirmation
 * of a cancellation from which the job may not start any more.
 */
class HistoryChecker(private val maxStall: Duration, private val cancellationDeadline: Duration) {
    fun violations(history: JobHistory): List<String> {
        val events = history.allEvents()
        return duplicateRuns(events) + lostJobs(events) + contradictions(events) + cancelledStarts(events) +
            stalls(history)
    }

    private fun duplicateRuns(events: List<HistoryEvent>): List<String> {
        val machinesOf = HashMap<String, MutableSet<String>>()
        val violations = ArrayList<String>()
        for (event in events) {
            when (event) {
                is HistoryEvent.Started -> {
                    val machines = machinesOf.getOrPut(event.job) { HashSet() }
                    if (machines.any { it != event.machine }) {
                        violations.add("${event.job} started on ${event.machine} while on $machines")
                    }
                    machines.add(event.machine)
                }
                is HistoryEvent.Ended -> machinesOf[event.job]?.remove(event.machine)
                else -> Unit
            }
        }
        return violations
    }

    private fun lostJobs(events: List<HistoryEvent>): List<String> {
        val finished = events.filterIsInstance<HistoryEvent.FinalStateReceived>().map { it.job }.toSet()
        val accepted = events.filterIsInstance<HistoryEvent.Accepted>().map { it.job }.distinct()
        return accepted.filter { it !in finished }.map { "$it was accepted and has no final state" }
    }

    private fun contradictions(events: List<HistoryEvent>): List<String> {
        val finalStates = events.filterIsInstance<HistoryEvent.FinalStateReceived>().groupBy({ it.job }, { it.stage })
        val completed = events.filterIsInstance<HistoryEvent.Ended>().filter { it.done }.map { it.job }.toSet()
        val contradictory =
            finalStates
                .filterValues { it.distinct().size > 1 }
                .map { (job, stages) -> "$job has several final states: ${stages.distinct()}" }
        val neverCompleted =
            finalStates
                .filter { (job, stages) -> "done" in stages && job !in completed }
                .map { (job, _) -> "$job is called done and never completed" }
        return contradictory + neverCompleted
    }

    private fun cancelledStarts(events: List<HistoryEvent>): List<String> {
        val cancelledAt =
            events
                .filterIsInstance<HistoryEvent.CancelConfirmed>()
                .groupBy { it.job }
                .mapValues { (_, confirmations) -> confirmations.minOf { it.at } }
        return events
            .filterIsInstance<HistoryEvent.Started>()
            .filter { start -> cancelledAt[start.job]?.let { start.at > it + cancellationDeadline } ?: false }
            .map { "${it.job} started long after it was cancelled" }
    }

    private fun stalls(history: JobHistory): List<String> {
        val gaps =
            mapOf(
                "accepted submission" to history.longestGap<HistoryEvent.Accepted>(),
                "start" to history.longestGap<HistoryEvent.Started>(),
            )
        return gaps
            .filterValues { it > maxStall }
            .map { (what, gap) -> "no $what for ${gap.inWholeMilliseconds / MILLIS_PER_SECOND} s" }
    }

    private companion object {
        val MILLIS_PER_SECOND = 1.seconds.inWholeMilliseconds.toDouble()
    }
}
