package glenspool.core

import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Tests that delayed and duplicate heartbeats, and those of a restarted sequence, are not used as evidence. */
class StaleHeartbeatTest : SchedulerTestBase() {
    @Test
    fun `a heartbeat older than the newest one changes nothing`() {
        registerMachines()
        submit(job("a"))
        advanceTime(1.seconds)
        val stale = heartbeat("m1")
        val request = confirmTransaction().commandRequests().single()
        commandsExecuted(request, runningTask("a", 0, 1))
        receiveHeartbeat(stale)
        assertEquals(1, scheduledJob("a").placements.size)
    }

    @Test
    fun `a duplicate heartbeat does not count as contact, not even with the newest sequence number`() {
        registerMachines()
        val last = heartbeat("m1")
        receiveHeartbeat(last)
        val lastContactAt = knownMachine("m1").reachability.lastContactAt
        now += 3.seconds
        receiveHeartbeat(last)
        receiveHeartbeat(last.copy(sequence = last.sequence - 1))
        assertEquals(lastContactAt, knownMachine("m1").reachability.lastContactAt)
    }

    @Test
    fun `a duplicate heartbeat does not bring a deleted machine back, nor does a new leader use the machine`() {
        registerMachines()
        val last = heartbeat("m1")
        receiveHeartbeat(last)
        step { deletionEnded(listOf("m1"), true) }
        receiveHeartbeat(last.copy(sequence = last.sequence + 5))
        assertTrue("m1" !in core.machines)
        // The next leader does not know of the deletion, but the duplicate can't have the next leader's fencing token.
        val next = Scheduler(config(), TOKEN + 1, now)
        val service = job("a", JobKind.SERVICE, priority = Priority.CRITICAL)
        val firstActions =
            next.step(now, now) {
                machineTypesRead(listOf(bigType))
                heartbeatReceived(last)
                jobRecordRead(JobRecord(service, now, 0, BitSet(), emptyList()), 1)
            }
        val actions = firstActions + tickAfter(2, next)
        assertTrue(next.jobs.getValue("a").placements.isEmpty())
        // The machine is not counted as capacity that will soon be available either.
        val later = (3..8).flatMap { tickAfter(it, next) }
        assertTrue((actions + later).any { it is ScaleOut })
    }

    private fun tickAfter(seconds: Int, scheduler: Scheduler): List<Action> {
        val time = now + seconds.seconds
        return scheduler.step(time, time) { tick() }
    }

    @Test
    fun `a machine whose sequence number decreases within an incarnation is ignored, and deleted`() {
        val running = startBusyMachines(4)
        val restarted = running.keys.first()
        val others = running - restarted
        val actions = ArrayList<Action>()
        repeat(10) { round ->
            actions += runWithHeartbeats(2.seconds, others, emptySet())
            receiveHeartbeat(heartbeat(restarted).copy(incarnation = 1, sequence = round.toLong() % 3))
        }
        assertEquals(1, scheduledJob("a").placements.values.count { it.machine == restarted })
        assertEquals(setOf(restarted), actions.deletedMachines())
    }
}
