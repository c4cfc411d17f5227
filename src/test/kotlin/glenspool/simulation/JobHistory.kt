package glenspool.simulation

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Something that users or workers saw. */
sealed interface HistoryEvent {
    val at: Duration

    data class Accepted(override val at: Duration, val job: String) : HistoryEvent

    data class CancelConfirmed(override val at: Duration, val job: String) : HistoryEvent

    data class Started(override val at: Duration, val job: String, val machine: String) : HistoryEvent

    /** The task has left the machine, for whatever reason. */
    data class Left(override val at: Duration, val job: String, val machine: String, val done: Boolean) : HistoryEvent

    /** A user was told of a final state. */
    data class Told(override val at: Duration, val job: String, val stage: String) : HistoryEvent
}

/** What users and workers saw of jobs of one task each, and what was wrong with it. */
class JobHistory(private val now: () -> Duration) {
    private val events = ArrayList<HistoryEvent>()

    @Synchronized
    fun add(event: (Duration) -> HistoryEvent) {
        events.add(event(now()))
    }

    @Synchronized
    fun all(): List<HistoryEvent> = events.toList()

    val accepted: Set<String> get() = all().filterIsInstance<HistoryEvent.Accepted>().map { it.job }.toSet()

    val finished: Set<String> get() = all().filterIsInstance<HistoryEvent.Told>().map { it.job }.toSet()

    val lastStart: Duration get() = all().lastOrNull { it is HistoryEvent.Started }?.at ?: Duration.ZERO

    /**
     * The longest time without an event of a kind, between the first and the last of it that lie between two moments.
     */
    inline fun <reified T : HistoryEvent> longestGap(
        from: Duration = Duration.ZERO,
        to: Duration = Duration.INFINITE,
    ): Duration =
        all()
            .filterIsInstance<T>()
            .map { it.at }
            .filter { it in from..to }
            .zipWithNext { earlier, later ->
                later -
                    earlier
            }.maxOrNull()
            ?: Duration.ZERO
}

/** Checks a history after the troubles are over and everything had time to end. */
class HistoryChecker(private val longestStall: Duration, private val cancelWithin: Duration) {
    fun faults(history: JobHistory): List<String> {
        val events = history.all()
        return twice(events) + lost(events) + contradictions(events) + cancelledStarts(events) + stalls(history)
    }

    private fun twice(events: List<HistoryEvent>): List<String> {
        val on = HashMap<String, MutableSet<String>>()
        val faults = ArrayList<String>()
        for (event in events) {
            when (event) {
                is HistoryEvent.Started -> {
                    val machines = on.getOrPut(event.job) { HashSet() }
                    if (machines.any { it != event.machine }) {
                        faults
                            .add("${event.job} started on ${event.machine} while on $machines")
                    }
                    machines.add(event.machine)
                }
                is HistoryEvent.Left -> on[event.job]?.remove(event.machine)
                else -> Unit
            }
        }
        return faults
    }

    private fun lost(events: List<HistoryEvent>): List<String> {
        val told = events.filterIsInstance<HistoryEvent.Told>().map { it.job }.toSet()
        return events
            .filterIsInstance<HistoryEvent.Accepted>()
            .map { it.job }
            .distinct()
            .filter { it !in told }
            .map { "$it was accepted and has no final state" }
    }

    private fun contradictions(events: List<HistoryEvent>): List<String> {
        val stages = events.filterIsInstance<HistoryEvent.Told>().groupBy({ it.job }, { it.stage })
        val several =
            stages.filterValues { it.distinct().size > 1 }.map { (job, all) ->
                "$job has several final states: ${all.distinct()}"
            }
        val completed =
            events
                .filterIsInstance<HistoryEvent.Left>()
                .filter { it.done }
                .map { it.job }
                .toSet()
        return several +
            stages
                .filterValues { "done" in it }
                .keys
                .filter { it !in completed }
                .map { "$it is called done and never completed" }
    }

    private fun cancelledStarts(events: List<HistoryEvent>): List<String> {
        val cancelled =
            events.filterIsInstance<HistoryEvent.CancelConfirmed>().groupBy { it.job }.mapValues { (_, all) ->
                all.minOf { it.at }
            }
        return events
            .filterIsInstance<HistoryEvent.Started>()
            .filter { start ->
                cancelled[start.job].let {
                    it != null &&
                        start.at > it + cancelWithin
                }
            }.map { "${it.job} started long after it was cancelled" }
    }

    private fun stalls(history: JobHistory): List<String> =
        listOf(
            "accepted submission" to history.longestGap<HistoryEvent.Accepted>(),
            "start" to history.longestGap<HistoryEvent.Started>(),
        ).filter { (_, gap) ->
            gap > longestStall
        }.map { (what, gap) ->
            "no $what for ${gap.inWholeMilliseconds / MILLISECONDS} s"
        }

    private companion object {
        val MILLISECONDS = 1.seconds.inWholeMilliseconds.toDouble()
    }
}
