package glenspool.simulation

import java.util.PriorityQueue
import kotlin.time.Duration

/**
 * Simulated time and the events that wait for their moment in it. Events of the same moment are carried out in the
 * order in which they were added, so that a seed always leads to the same run.
 */
class EventQueue {
    private class Event(val at: Duration, val number: Long, val body: () -> Unit)

    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.number })
    private var added = 0L

    /** Since the beginning of the simulation. */
    var now: Duration = Duration.ZERO
        private set

    /** Queues an event for a moment [delay] from now. */
    fun after(delay: Duration, body: () -> Unit) = at(now + delay, body)

    /** Queues an event for a moment; one that is past means now. */
    fun at(moment: Duration, body: () -> Unit) {
        events.add(Event(moment, ++added, body))
    }

    /** Carries out the next event if it is due by [limit]; false if none is, and then the time stays what it was. */
    fun runNext(limit: Duration): Boolean {
        val next = events.peek()
        if (next == null || next.at > limit) return false
        events.poll()
        now = maxOf(now, next.at)
        next.body()
        return true
    }

    /** Lets the time pass up to a moment, without carrying out events. */
    fun advanceTo(moment: Duration) {
        now = moment
    }
}
