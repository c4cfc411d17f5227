package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A controller's intake while a whole fleet of 4,000 machines sends heartbeats at once. */
class LargeFleetIntakeTest {
    private var now = Duration.ZERO
    private val pending = PendingHeartbeats { now }
    private val term = Term(1, 1, 1)
    private val posted = ArrayDeque<PendingHeartbeat>()
    private val intake = HeartbeatIntake(pending, { term }) { posted.add(it) }.also { it.readyTerm = term }

    /** How many heartbeats were answered, and how many of them with the core's commands. */
    private data class Outcome(val answered: Int, val withCommands: Int)

    private fun heartbeat(machine: Int): Heartbeat {
        val name = "i-%06d".format(machine)
        return Heartbeat(name, "addr", "big", "a", false, 1, 1, 1, null, emptyList())
    }

    /** Every machine sends one heartbeat within a second, of which the core takes in [corePerSecond] a second. */
    private fun receiveFleet(corePerSecond: Int): Outcome {
        var answered = 0
        var withCommands = 0
        val receivedPerTaken = (FLEET / corePerSecond).coerceAtLeast(1)
        for (machine in 1..FLEET) {
            now += 1.seconds / FLEET
            intake.accept(heartbeat(machine)) { commands ->
                answered++
                if (commands != null) withCommands++
            }
            if (machine % receivedPerTaken == 0) posted.removeFirstOrNull()?.let(::takeIn)
        }
        while (posted.isNotEmpty()) {
            now += 1.seconds / corePerSecond
            takeIn(posted.removeFirst())
            pending.expire()
        }
        return Outcome(answered, withCommands)
    }

    private fun takeIn(taken: PendingHeartbeat) {
        pending.dequeue(taken)
        taken.complete(WorkerCommands(1, emptyList()))
    }

    @Test
    fun `every machine receives commands if the core processes all heartbeats in time`() {
        assertEquals(Outcome(FLEET, FLEET), receiveFleet(corePerSecond = FLEET))
    }

    @Test
    fun `every machine is answered in time if the core processes a tenth, and the backlog shows the overload`() {
        val (answered, withCommands) = receiveFleet(corePerSecond = FLEET / 10)
        assertEquals(FLEET, answered)
        assertTrue(withCommands in 400..(400 + 2 * PendingHeartbeats.MAX_WAITING_HEARTBEATS), "$withCommands")
        assertTrue(pending.backlog() >= PendingHeartbeats.ANSWER_TIMEOUT)
        // Nothing is left to wait for once the burst is over.
        assertEquals(Duration.ZERO, pending.oldestWait())
        assertTrue(now < 1.seconds + 2500.milliseconds)
    }

    private companion object {
        const val FLEET = 4000
    }
}
