package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Workers wait 4 s for an answer, so a leader that is starting or overloaded must answer them within that time. */
class HeartbeatIntakeTest {
    /** The answer to [machine]'s worker; [commands] is null if it was answered without the core. */
    private data class Answer(val machine: String, val commands: WorkerCommands?)

    private var now = Duration.ZERO
    private var term: Term? = null
    private val pending = PendingHeartbeats { now }
    private val posted = ArrayList<PendingHeartbeat>()
    private val answers = ArrayList<Answer>()
    private val intake = HeartbeatIntake(pending, { term }, posted::add)
    private val commands = WorkerCommands(3, emptyList())

    private fun receive(machine: String) {
        val heartbeat = Heartbeat(machine, "$machine:1", "any", "here", false, 1, 1, 3, null, emptyList())
        intake.accept(heartbeat) { answers.add(Answer(machine, it)) }
    }

    @Test
    fun `heartbeats wait for the core only after it has loaded the state for this node's term`() {
        receive("follower")
        term = Term(3, 10, 1)
        receive("elected")
        intake.readyTerm = Term(2, 5, 1)
        receive("other term")
        assertEquals(listOf("follower", "elected", "other term").map { Answer(it, null) }, answers)
        assertEquals(0, posted.size)
        intake.readyTerm = term
        receive("leader")
        assertEquals(3, answers.size)
        posted.single().complete(commands)
        assertEquals(Answer("leader", commands), answers.last())
    }

    @Test
    fun `while the core is overloaded, workers are answered immediately and their heartbeats are still posted`() {
        term = Term(3, 10, 1)
        intake.readyTerm = term
        receive("first")
        now += HeartbeatIntake.OVERLOAD_WAIT_THRESHOLD - 1.milliseconds
        receive("in time")
        assertEquals(0, answers.size)
        now += 1.milliseconds
        receive("late")
        assertEquals(listOf(Answer("late", null)), answers)
        assertEquals(listOf("first", "in time", "late"), posted.map { it.heartbeat.machine })
        posted.forEach {
            pending.dequeue(it)
            it.complete(commands)
        }
        assertEquals(listOf(Answer("late", null), Answer("first", commands), Answer("in time", commands)), answers)
        receive("after")
        assertEquals(3, answers.size)
    }
}
