package glenspool.core

import glenspool.simulation.bigType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Tests that a leader that is isolated from its workers resigns in time, and that no other leader does. */
class LeaderIsolationTest : SchedulerTestBase() {
    @Test
    fun `a leader that receives no heartbeats resigns before the workers' leases expire`() {
        startBusyMachines(4)
        val actions = advanceTime(core.config.lease / 2)
        assertEquals(1, actions.count { it is Resign })
    }

    @Test
    fun `time in which the leader's own lease was uncertain does not count as silence of machines`() {
        val running = startBusyMachines(4)
        // The leader's lease is uncertain for 12 s. Calls still end meanwhile, so the core's clock advances.
        repeat(12) {
            now += 1.seconds
            step { machineTypesRead(listOf(bigType)) }
        }
        step { processResumed(12.seconds) }
        val actions = runWithHeartbeats(4.seconds, running, emptySet())
        assertTrue(actions.none { it is Resign || it is DeleteMachines })
    }

    @Test
    fun `a leader that receives heartbeats from some workers does not resign`() {
        val running = startBusyMachines(4)
        repeat(10) {
            assertTrue(advanceTime(2.seconds).none { it is Resign })
            heartbeatReply("m1", running.getValue("m1"))
        }
    }

    @Test
    fun `a leader that reaches no machine deletes none, and resigns`() {
        val running = startBusyMachines(5)
        running.keys.forEach { machine -> step { probeEnded(machine, null) } }
        val actions = runWithHeartbeats(30.seconds, running, running.keys)
        assertTrue(actions.none { it is DeleteMachines })
        assertTrue(actions.any { it is Resign })
    }
}
