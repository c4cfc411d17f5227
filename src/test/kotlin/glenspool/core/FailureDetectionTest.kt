package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Tests which silent or unreachable machines are declared lost, and when. */
class FailureDetectionTest : SchedulerTestBase() {
    @Test
    fun `silence of the whole fleet is treated as the leader's own fault, and no machine is deleted early`() {
        startBusyMachines(4)
        assertTrue(advanceTime(25.seconds).none { it is DeleteMachines })
        // They are deleted in the end, since nothing else would replace the machines if they are really lost.
        assertTrue(advanceTime(30.seconds).any { it is DeleteMachines })
    }

    @Test
    fun `one silent machine among many is deleted, and its tasks move only after the confirmed deletion`() {
        val running = startBusyMachines(4)
        val lostTask = running.getValue("m1").key
        val actions = ArrayList<Action>()
        repeat(10) {
            actions += advanceTime(2.seconds)
            for (machine in listOf("m2", "m3", "m4")) heartbeatReply(machine, running.getValue(machine))
        }
        assertEquals(setOf("m1"), actions.deletedMachines())
        val job = scheduledJob("a")
        assertEquals("m1", job.placements.getValue(lostTask.task).machine)
        step { deletionEnded(listOf("m1"), true) }
        assertFalse(job.placements.containsKey(lostTask.task))
        heartbeatReply("m5")
        advanceTime(1.seconds)
        assertEquals("m5", job.placements.getValue(lostTask.task).machine)
    }

    @Test
    fun `a machine with heartbeats but unreachable gets no work, and is deleted while others are reachable`() {
        val running = startBusyMachines(4)
        val unreachable = running.keys.first()
        step { probeEnded(unreachable, null) }
        assertFalse(knownMachine(unreachable).isReady(now, 60.seconds))
        val actions = runWithHeartbeats(16.seconds, running, setOf(unreachable))
        assertEquals(setOf(unreachable), actions.deletedMachines())
    }

    @Test
    fun `a machine that is reachable again gets work again`() {
        val running = startBusyMachines(2)
        val unreachable = running.keys.first()
        step { probeEnded(unreachable, null) }
        assertFalse(knownMachine(unreachable).isReady(now, 60.seconds))
        // A probe that was never sent, because no thread was free, must not make the machine unreachable.
        val other = (running.keys - unreachable).single()
        step { probeEnded(other, null, wasSent = false) }
        assertTrue(knownMachine(other).isReady(now, 60.seconds))
        runWithHeartbeats(6.seconds, running, emptySet())
        assertTrue(knownMachine(unreachable).isReady(now, 60.seconds))
    }
}
