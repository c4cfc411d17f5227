package glenspool.controller

import glenspool.core.model.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A controller's intake while a whole fleet of 4,000 machines reports at once. */
class LargeIntakeTest {
    private var now = Duration.ZERO
    private val pending = PendingHeartbeats { now }
    private val term = Term(1, 1, 1)
    private val posted = ArrayDeque<PendingHeartbeat>()
    private val intake = HeartbeatIntake(pending, { term }) { posted.add(it) }.also { it.readyTerm = term }

    private fun heartbeat(machine: Int) = Heartbeat("i-%06d".format(machine), "addr", "big", "a", false, 1, 1, 1, null, emptyList())

    /** The core takes in so many reports a second; the answers, and how many of them had the core's orders. */
    private fun play(coreTakes: Int): Pair<Int, Int> {
        var answers = 0
        var ordered = 0
        for (machine in 1..FLEET) {
            now += 1.seconds / FLEET
            intake.take(heartbeat(machine)) { orders ->
                answers++
                if (orders != null) ordered++
            }
            if (machine % (FLEET / coreTakes).coerceAtLeast(1) == 0) posted.removeFirstOrNull()?.let(::takeIn)
        }
        while (posted.isNotEmpty()) {
            now += 1.seconds / coreTakes
            takeIn(posted.removeFirst())
            pending.expire()
        }
        return answers to ordered
    }

    private fun takeIn(heartbeat: PendingHeartbeat) {
        pending.take(heartbeat)
        heartbeat.complete(WorkerCommands(1, emptyList()))
    }

    @Test
    fun `every machine is answered, with orders if the core keeps up`() {
        assertEquals(FLEET to FLEET, play(coreTakes = FLEET))
    }

    @Test
    fun `every machine is answered in time if the core takes a tenth, and the core learns that it is behind`() {
        val (answers, ordered) = play(coreTakes = FLEET / 10)
        assertEquals(FLEET, answers)
        assertTrue(ordered in 400..(400 + 2 * PendingHeartbeats.MAX_WAITING), "$ordered")
        assertTrue(pending.backlog() >= PendingHeartbeats.PATIENCE)
        // Nothing is left to wait for once the crowd is over.
        assertEquals(Duration.ZERO, pending.oldestWait())
        assertTrue(now < 1.seconds + 2500.milliseconds)
    }

    private companion object {
        const val FLEET = 4000
    }
}
