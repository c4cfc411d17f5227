package glenspool.api

import glenspool.simulation.runUntilInterrupted
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A node that has just started lets workers wait for its first read instead of refusing them. */
class DeferredHeartbeatsTest {
    @Volatile
    private var now = Duration.ZERO

    @Volatile
    private var isReady = false
    private val heartbeats = DeferredHeartbeats({ now }) { isReady }
    private val answered = LinkedBlockingQueue<String>()
    private val runner = thread(start = false) { runUntilInterrupted(heartbeats::run) }

    @AfterEach
    fun stop() {
        runner.interrupt()
        runner.join()
    }

    private fun add(machine: String): Boolean = heartbeats.add(taskCount = 1) { answered.add(machine) }

    private fun nextAnswered(): String? = answered.poll(20, TimeUnit.SECONDS)

    @Test
    fun `heartbeats are answered in order of arrival as soon as the node is ready`() {
        listOf("m1", "m2", "m3").forEach { assertTrue(add(it)) }
        isReady = true
        runner.start()
        assertEquals(listOf("m1", "m2", "m3"), List(3) { nextAnswered() })
    }

    @Test
    fun `a heartbeat that has waited too long is answered before the node is ready, and newer ones wait`() {
        add("late")
        now += 1.milliseconds
        add("newer")
        now = DeferredHeartbeats.MAX_WAIT
        runner.start()
        assertEquals("late", nextAnswered())
        assertTrue(answered.isEmpty())
        now += 1.milliseconds
        assertEquals("newer", nextAnswered())
    }

    @Test
    fun `the number of waiting heartbeats is limited`() {
        repeat(DeferredHeartbeats.MAX_HEARTBEATS) { assertTrue(add("m$it")) }
        assertFalse(add("too many"))
    }

    @Test
    fun `the number of tasks in waiting heartbeats is limited, and an answered one frees its share`() {
        assertTrue(heartbeats.add(DeferredHeartbeats.MAX_TASKS) { answered.add("large") })
        assertFalse(add("too many"))
        isReady = true
        runner.start()
        assertEquals("large", nextAnswered())
        assertTrue(add("next"))
        assertEquals("next", nextAnswered())
    }
}
