package glenspool.core

import glenspool.core.lifecycle.Placement
import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
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

    /** Guards against a copy of an old start that runs on a machine whose worker began anew (review/5). */
    @Test
    fun `a worker that began anew is told to stop a task that is placed elsewhere, and its machine is deleted`() {
        val attempt = placeAnew()
        val copyStarted = listOf(runningTask("a", 0, 1))
        val (commands, actions) = receiveHeartbeat(restartedHeartbeat(1, copyStarted))
        assertEquals(listOf(StopTask(TaskKey("a", 0), 1, Duration.ZERO, StopCause.ORPHANED)), commands)
        val probe = actions.filterIsInstance<Probe>().single()
        val afterReply = step { probeEnded(probe, restartedHeartbeat(2, copyStarted)) }
        assertEquals(commands, afterReply.commandRequests().single().commands)
        val later = advanceTime(1.seconds)
        assertEquals(DeletionCause.RESTARTED, (afterReply + later).deletions().single().causes["m1"])
        assertTrue((afterReply + later).contains(AdvanceFencingToken(TokenAdvanceCause.RESTARTED_WORKER)))
        assertEquals(attempt, scheduledJob("a").placements.getValue(0))
    }

    /** The stored start is invalid for a worker that has learned a token which no earlier start has. */
    @Test
    fun `a worker that began anew gets the advanced token until its machine is gone`() {
        placeAnew()
        val probe = receiveHeartbeat(restartedHeartbeat(1)).second.filterIsInstance<Probe>().single()
        step { probeEnded(probe, restartedHeartbeat(2)) }
        invalidateEarlierStarts()
        assertEquals(listOf(TOKEN + 1), advanceTime(200.milliseconds).commandRequests().map { it.token })
    }

    @Test
    fun `a late copy of a heartbeat does not lead to the deletion of its machine`() {
        placeAnew()
        val (_, actions) = receiveHeartbeat(restartedHeartbeat(1, listOf(runningTask("a", 0, 1))))
        val probe = actions.filterIsInstance<Probe>().single()
        step { probeEnded(probe, heartbeat("m1")) }
        assertTrue(advanceTime(1.seconds).deletions().isEmpty())
    }

    @Test
    fun `late copies of heartbeats of the whole fleet lead to few probes`() {
        registerMachines(machines = 50)
        val probes = (1..50).flatMap { receiveHeartbeat(heartbeat("m$it").copy(sequence = 0, token = 0)).second }
        assertEquals(4, probes.filterIsInstance<Probe>().size)
    }

    /** Starts a task on m1, lets it fail there, and places it on m2. Returns the second placement. */
    private fun placeAnew(): Placement {
        registerMachines(machines = 1)
        submit(job("a"))
        val request = placeAndStore().single()
        commandsExecuted(request, runningTask("a", 0, 1))
        heartbeatReply("m2")
        heartbeatReply("m1", exitedTask("a", 0, 1, ExitReason.ERROR))
        advanceTime(1200.milliseconds)
        confirmTransaction()
        return scheduledJob("a").placements.getValue(0).also { assertEquals("m2", it.machine) }
    }

    private fun restartedHeartbeat(sequence: Long, tasks: List<TaskStatus> = emptyList()) =
        heartbeat("m1", tasks, token = 0).copy(incarnation = 1, sequence = sequence)

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
