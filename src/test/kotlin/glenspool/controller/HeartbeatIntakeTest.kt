package glenspool.controller

import glenspool.core.model.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Workers wait 4 s for an answer, and a leader that is starting or behind must not let that time go by. */
class HeartbeatIntakeTest {
    private var now = Duration.ZERO
    private var term: Term? = null
    private val pending = PendingHeartbeats { now }
    private val posted = ArrayList<PendingHeartbeat>()
    private val answers = ArrayList<Pair<String, WorkerCommands?>>()
    private val intake = HeartbeatIntake(pending, { term }, posted::add)
    private val orders = WorkerCommands(3, emptyList())

    private fun take(machine: String) =
        intake.take(Heartbeat(machine, "$machine:1", "any", "here", false, 1, 1, 3, null, emptyList())) {
            answers.add(
                machine to it,
            )
        }

    @Test
    fun `a report waits for the core only once the core has begun this node's term`() {
        take("follower")
        term = Term(3, 10, 1)
        take("elected")
        intake.readyTerm = Term(2, 5, 1)
        take("other term")
        assertEquals(listOf("follower", "elected", "other term").map { it to null as WorkerCommands? }, answers)
        assertEquals(0, posted.size)
        intake.readyTerm = term
        take("leader")
        assertEquals(3, answers.size)
        posted.single().complete(orders)
        assertEquals("leader" to orders, answers.last())
    }

    @Test
    fun `while the core is behind workers are answered at once, and it still gets their reports`() {
        term = Term(3, 10, 1)
        intake.readyTerm = term
        take("first")
        now += HeartbeatIntake.KEEPS_UP - 1.milliseconds
        take("in time")
        assertEquals(0, answers.size)
        now += 1.milliseconds
        take("late")
        assertEquals(listOf<Pair<String, WorkerCommands?>>("late" to null), answers)
        assertEquals(listOf("first", "in time", "late"), posted.map { it.heartbeat.machine })
        posted.forEach {
            pending.take(it)
            it.complete(orders)
        }
        assertEquals(listOf("late" to null, "first" to orders, "in time" to orders), answers)
        take("after")
        assertEquals(3, answers.size)
    }
}
