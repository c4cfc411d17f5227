package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.simulation.bigType
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/**
 * Tests that no task is started twice: a start is sent only after its placement is stored, and a higher fencing token
 * invalidates the starts in flight.
 */
class StartFencingTest : SchedulerTestBase() {
    @Test
    fun `no start is sent before the placement is stored`() {
        registerMachines()
        val beforeStored = submit(job("a")) + advanceTime(2.seconds)
        assertEquals(1, beforeStored.filterIsInstance<StoreChanges>().size)
        assertTrue(beforeStored.starts().isEmpty())
        assertEquals(listOf(TaskKey("a", 0)), confirmTransaction().starts().map { it.key })
    }

    @Test
    fun `a placement is stored only if the job is not cancelled, and a refused one is never started`() {
        registerMachines()
        val write = singleStoreChanges(submit(job("a")) + advanceTime(1.seconds)).writes.single() as UpdateJobRecord
        assertTrue(write.requiresUncancelled)
        cancel("a")
        val afterRefusal = step { transactionEnded(StoreOutcome.Refused(setOf("g/c/a"))) } + advanceTime(3.seconds)
        assertTrue(afterRefusal.starts().isEmpty())
        assertEquals(revision, (singleStoreChanges(afterRefusal).writes.single() as StoreFinalState).cancelVersion)
    }

    @Test
    fun `a task missing in a heartbeat without this leader's fencing token keeps its placement`() {
        // An earlier leader's start may still be in flight while the worker would accept it.
        step { machineTypesRead(listOf(bigType)) }
        submit(job("a"), listOf(StoredPlacement(0, 1, "m1")), lastAttempt = 1)
        receiveHeartbeat(heartbeat("m1", token = TOKEN - 1))
        receiveHeartbeat(heartbeat("m2"))
        assertTrue(advanceTime(2.seconds).filterIsInstance<StoreChanges>().isEmpty())
        assertEquals("m1", scheduledJob("a").placements.getValue(0).machine)
        val afterOwnToken = heartbeatActions("m1") + advanceTime(2.seconds)
        assertTrue(afterOwnToken.any { it is StoreChanges })
    }

    @Test
    fun `an unanswered start is invalidated only by a higher fencing token`() {
        val request = sendSingleStart()
        now += 3.seconds
        commandsUnanswered(request)
        heartbeatReply("m1")
        assertEquals(1, scheduledJob("a").placements.size)
        assertTrue(advanceTime(2.seconds).any { it is AdvanceFencingToken })
        step { fencingTokenAdvanced(TOKEN + 1) }
        receiveHeartbeat(heartbeat("m1", token = TOKEN))
        assertEquals(1, scheduledJob("a").placements.getValue(0).attempt)
        receiveHeartbeat(heartbeat("m1", token = TOKEN + 1))
        advanceTime(2.seconds)
        assertEquals(2, scheduledJob("a").placements.getValue(0).attempt)
    }

    @Test
    fun `an exited task is not forgotten while a start of it may be in flight`() {
        val request = sendSingleStart()
        now += 3.seconds
        commandsUnanswered(request)
        val exited = exitedTask("a", 0, 1, ExitReason.ERROR)
        assertFalse(heartbeatReply("m1", exited).any { it is ForgetTask })
        val (commands, _) = receiveHeartbeat(heartbeat("m1", listOf(exited), token = TOKEN + 1))
        assertTrue(commands.contains(ForgetTask(TaskKey("a", 0), 1, ForgetCause.NO_RESULT)))
    }

    @Test
    fun `a task is not placed where a start of it may still arrive`() {
        val request = sendSingleStart()
        commandsUnanswered(request)
        heartbeatReply("m1", exitedTask("a", 0, 1, ExitReason.ERROR))
        advanceTime(4.seconds)
        assertTrue(scheduledJob("a").placements.isEmpty())
    }

    @Test
    fun `a start that was never sent does not delay the end of a cancelled job`() {
        val request = sendSingleStart()
        commandsUnanswered(request, CommandOutcome.NOT_SENT)
        cancel("a")
        assertTrue(advanceTime(3.seconds).writes().any { it is StoreFinalState })
    }

    @Test
    fun `a heartbeat of a worker that lost its fencing token removes no placement, whatever its sequence`() {
        // The worker restarted, so it would execute commands of an earlier leader that are still in flight.
        commandsExecuted(sendSingleStart(), runningTask("a", 0, 1))
        receiveHeartbeat(heartbeat("m1", token = 0))
        assertEquals(1L, scheduledJob("a").placements.getValue(0).attempt)
        heartbeatReply("m1")
        advanceTime(1.seconds)
        assertTrue(scheduledJob("a").placements.values.none { it.attempt == 1L })
    }
}
