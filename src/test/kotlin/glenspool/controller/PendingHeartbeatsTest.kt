package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.model.Heartbeat
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * No worker may lose its lease because the core is overloaded. Waiting heartbeats are therefore limited in number and
 * in waiting time, and each is answered once.
 */
class PendingHeartbeatsTest {
    /** The answer to [machine]'s worker; [commands] is null if it was answered without the core. */
    private data class Answer(val machine: String, val commands: WorkerCommands?)

    private var now = Duration.ZERO
    private val heartbeats = PendingHeartbeats { now }
    private val answers = ArrayList<Answer>()
    private val commands = WorkerCommands(3, emptyList())

    private fun add(machine: String): PendingHeartbeat? {
        val heartbeat = Heartbeat(machine, "$machine:1", "any", "here", false, 1, 1, 3, null, emptyList())
        return heartbeats.add(heartbeat) { answers.add(Answer(machine, it)) }
    }

    private fun process(pending: PendingHeartbeat) {
        heartbeats.dequeue(pending)
        pending.complete(commands)
    }

    @Test
    fun `the number of waiting heartbeats is limited, and dequeuing one frees a slot`() {
        val all = List(PendingHeartbeats.MAX_WAITING_HEARTBEATS) { add("m$it") }
        assertTrue(all.all { it != null })
        assertNull(add("too many"))
        all.first()?.let { process(it) }
        assertNotNull(add("next"))
        assertNull(add("too many again"))
    }

    @Test
    fun `an expired heartbeat is answered once without commands, and newer heartbeats continue to wait`() {
        val late = add("late")
        now += PendingHeartbeats.ANSWER_TIMEOUT - 1.milliseconds
        val newer = add("newer")
        heartbeats.expire()
        assertEquals(emptyList<Answer>(), answers)
        now += 1.milliseconds
        heartbeats.expire()
        assertEquals(listOf(Answer("late", null)), answers)
        assertEquals(false, late?.complete(commands))
        assertEquals(true, newer?.complete(commands))
        assertEquals(listOf(Answer("late", null), Answer("newer", commands)), answers)
    }

    @Test
    fun `an expired heartbeat counts towards the backlog until the core dequeues it`() {
        val first = add("first")
        now += PendingHeartbeats.ANSWER_TIMEOUT
        heartbeats.expire()
        heartbeats.expire()
        assertEquals(listOf(Answer("first", null)), answers)
        assertEquals(PendingHeartbeats.ANSWER_TIMEOUT, heartbeats.backlog())
        first?.let { process(it) }
        assertEquals(Duration.ZERO, heartbeats.backlog())
        assertEquals(listOf(Answer("first", null)), answers)
    }

    @Test
    fun `the backlog is the wait of the oldest heartbeat, and a rejection raises it once`() {
        assertEquals(Duration.ZERO, heartbeats.backlog())
        val all = List(PendingHeartbeats.MAX_WAITING_HEARTBEATS) { add("m$it").also { now += 1.milliseconds } }
        all.first()?.let { process(it) }
        assertEquals((PendingHeartbeats.MAX_WAITING_HEARTBEATS - 1).milliseconds, heartbeats.backlog())
        add("fits")
        add("too many")
        assertEquals(PendingHeartbeats.ANSWER_TIMEOUT, heartbeats.backlog())
        assertEquals((PendingHeartbeats.MAX_WAITING_HEARTBEATS - 1).milliseconds, heartbeats.backlog())
    }

    @Test
    fun `dropped heartbeats are answered without commands and free their slots`() {
        List(PendingHeartbeats.MAX_WAITING_HEARTBEATS) { add("m$it") }
        heartbeats.drop()
        assertEquals(PendingHeartbeats.MAX_WAITING_HEARTBEATS, answers.size)
        assertTrue(answers.all { it.commands == null })
        assertEquals(Duration.ZERO, heartbeats.backlog())
        assertNotNull(add("next"))
    }
}
