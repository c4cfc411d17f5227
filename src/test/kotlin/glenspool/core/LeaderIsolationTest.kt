package glenspool.core

import glenspool.simulation.bigType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** A leader that is cut off from its workers resigns in time, and no other leader does. */
class LeaderIsolationTest : SchedulerTestBase() {
    @Test
    fun `a leader that receives no heartbeats resigns before the workers' leases expire`() {
        busy(4)
        val silent = wait(core.config.lease / 2)
        assertEquals(1, silent.count { it is Resign })
    }

    @Test
    fun `time in which the leader's own lease was uncertain does not count as silence of machines`() {
        val running = busy(4)
        // Its lease is unsure for 12 s; calls still end meanwhile, so the core's own time goes on.
        repeat(12) {
            now += 1.seconds
            step { machineTypesKnown(listOf(bigType)) }
        }
        step { resumed(12.seconds) }
        val actions = live(4.seconds, running, emptySet())
        assertTrue(actions.none { it is Resign || it is DeleteMachines })
    }

    @Test
    fun `a leader that receives heartbeats from some workers does not resign`() {
        val running = busy(4)
        repeat(10) {
            assertTrue(wait(2.seconds).none { it is Resign })
            heartbeatReply("m1", running.getValue("m1"))
        }
    }

    @Test
    fun `a leader that reaches no machine deletes none, and resigns`() {
        val running = busy(5)
        running.keys.forEach { machine -> step { probeEnded(machine, null) } }
        val actions = live(30.seconds, running, running.keys)
        assertTrue(actions.none { it is DeleteMachines })
        assertTrue(actions.any { it is Resign })
    }
}
