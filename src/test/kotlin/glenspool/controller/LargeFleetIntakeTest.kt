package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A controller's heartbeat intake while a fleet of 4,000 machines sends heartbeats within one second. */
class LargeFleetIntakeTest {
    private var now = Duration.ZERO
    private val pending = PendingHeartbeats { now }
    private val term = Term(1, 1, 1)
    private val posted = ArrayDeque<PendingHeartbeat>()
    private val intake = HeartbeatIntake(pending, { term }) { posted.add(it) }.also { it.readyTerm = term }

    /** The number of heartbeats that were answered, and of those answered with the core's commands. */
    private data class Outcome(val answered: Int, val withCommands: Int)

    private fun heartbeat(machine: Int): Heartbeat {
        val name = "i-%06d".format(machine)
        return Heartbeat(name, "addr", "big", "a", false, 1, 1, 1, null, emptyList())
    }

    /** Every machine sends one heartbeat within one second; the core processes [processedPerSecond] per second. */
    private fun receiveFleet(processedPerSecond: Int): Outcome {
        var answered = 0
        var withCommands = 0
        val receivedPerProcessed = (FLEET_SIZE / processedPerSecond).coerceAtLeast(1)
        for (machine in 1..FLEET_SIZE) {
            now += 1.seconds / FLEET_SIZE
            intake.accept(heartbeat(machine)) { commands ->
                answered++
                if (commands != null) withCommands++
            }
            if (machine % receivedPerProcessed == 0) posted.removeFirstOrNull()?.let(::process)
        }
        while (posted.isNotEmpty()) {
            now += 1.seconds / processedPerSecond
            process(posted.removeFirst())
            pending.expire()
        }
        return Outcome(answered, withCommands)
    }

    private fun process(received: PendingHeartbeat) {
        pending.dequeue(received)
        received.complete(WorkerCommands(1, emptyList()))
    }

    @Test
    fun `every machine receives commands if the core processes all heartbeats in time`() {
        assertEquals(Outcome(FLEET_SIZE, FLEET_SIZE), receiveFleet(processedPerSecond = FLEET_SIZE))
    }

    @Test
    fun `every machine is answered in time if the core processes a tenth, and the backlog shows the overload`() {
        val (answered, withCommands) = receiveFleet(processedPerSecond = FLEET_SIZE / 10)
        assertEquals(FLEET_SIZE, answered)
        assertTrue(withCommands in 400..(400 + 2 * PendingHeartbeats.MAX_WAITING_HEARTBEATS), "$withCommands")
        assertTrue(pending.backlog() >= PendingHeartbeats.ANSWER_TIMEOUT)
        // No heartbeat waits any more once the burst has been processed.
        assertEquals(Duration.ZERO, pending.oldestWait())
        assertTrue(now < 1.seconds + 2500.milliseconds)
    }

    private companion object {
        const val FLEET_SIZE = 4000
    }
}
