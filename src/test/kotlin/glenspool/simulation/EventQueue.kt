package glenspool.simulation

import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Simulated time and the queue of events that are scheduled in it. Events scheduled for the same time run in the order
 * in which they were added, so that a seed always leads to the same run.
 */
class EventQueue {
    private class Event(val at: Duration, val number: Long, val body: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.number })
    private var addedCount = 0L

    /** Time since the start of the simulation. */
    var now: Duration = Duration.ZERO
        private set

    /** Schedules an event that runs after [delay]. */
    fun after(delay: Duration, body: () -> Unit) = at(now + delay, body)

    /** Schedules an event that runs at the given time, or immediately if that time has passed. */
    fun at(time: Duration, body: () -> Unit) {
        events.add(Event(time, ++addedCount, body))
    }

    /** Runs the next event if it is due by [limit]. Otherwise returns false, and the time does not change. */
    fun runNext(limit: Duration): Boolean {
        val next = events.peek()
        if (next == null || next.at > limit) return false
        events.poll()
        now = maxOf(now, next.at)
        next.body()
        return true
    }

    /** Sets the time without running any events. */
    fun advanceTo(time: Duration) {
        now = time
    }
}
