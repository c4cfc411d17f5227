package glenspool.soak

import glenspool.core.model.TaskKey
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** What users were told and workers did, the violations of the rules among it, and the last events. Thread-safe. */
class SoakHistory {
    private val clock = TimeSource.Monotonic.markNow()

    /** Jobs whose submission was accepted, with the time. */
    val acceptedAt = ConcurrentHashMap<String, Duration>()

    /** Jobs whose cancellation was confirmed, with the time of the first confirmation. */
    val cancelledAt = ConcurrentHashMap<String, Duration>()

    /** The machines on which each task is at the moment. */
    private val machinesByTask = HashMap<TaskKey, MutableSet<String>>()
    private val recentEvents = ConcurrentLinkedDeque<String>()

    /** The violations with the events before them. */
    val violations = ConcurrentLinkedDeque<String>()

    /** The number of starts that workers have executed. */
    @Volatile
    var starts = 0
        private set

    val now: Duration get() = clock.elapsedNow()

    /** Records an event for the report of a violation. */
    fun event(text: String) {
        recentEvents.add("%8.3f %s".format(now.toDouble(DurationUnit.SECONDS), text))
        while (recentEvents.size > MAX_EVENTS) recentEvents.poll()
    }

    /** Records a violation together with the events around it. */
    fun violation(rule: String, text: String) {
        event("VIOLATION $rule $text")
        if (violations.size >= MAX_VIOLATIONS) return
        violations.add("$rule: $text\n" + recentEvents.toList().takeLast(EVENTS_PER_VIOLATION).joinToString("\n"))
    }

    /** Records that the task began on the machine. */
    @Synchronized
    fun started(key: TaskKey, machine: String) {
        starts++
        val machines = machinesByTask.getOrPut(key) { HashSet() }
        if (machines.any { it != machine }) violation("ran_twice", "$key starts on $machine while on $machines")
        machines.add(machine)
        val cancelled = cancelledAt[key.job]
        event("started $key on $machine" + if (cancelled == null) "" else ", cancelled at $cancelled")
    }

    /** Records that the task is no longer on the machine. */
    @Synchronized
    fun ended(key: TaskKey, machine: String) {
        machinesByTask[key]?.remove(machine)
        cancelledAt[key.job]?.let { event("ended $key on $machine, ${now - it} after its cancellation") }
    }

    /** The tasks of jobs whose cancellation was confirmed more than [deadline] ago, with their machines. */
    @Synchronized
    fun overdueTasks(deadline: Duration): Map<TaskKey, Set<String>> =
        machinesByTask.filter { (key, machines) ->
            machines.isNotEmpty() && cancelledAt[key.job].let { it != null && now - it > deadline }
        }

    private companion object {
        const val MAX_EVENTS = 5_000
        const val EVENTS_PER_VIOLATION = 60
        const val MAX_VIOLATIONS = 20
    }
}
