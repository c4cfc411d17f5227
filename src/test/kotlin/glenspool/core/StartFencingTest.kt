package glenspool.core

import glenspool.core.model.Command
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
import kotlin.time.Duration
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
    fun `a worker that lost its fencing token keeps the placement until it shows a higher one than the start had`() {
        // The worker restarted, so it would execute commands that are still in flight, also copies of the start.
        commandsExecuted(sendSingleStart(), runningTask("a", 0, 1))
        receiveHeartbeat(heartbeat("m1", token = 0))
        assertEquals(1L, scheduledJob("a").placements.getValue(0).attempt)
        heartbeatReply("m1")
        assertEquals(AdvanceFencingToken(TokenAdvanceCause.MISSING_TASK), advanceOfToken(1.seconds))
        assertEquals(1L, scheduledJob("a").placements.getValue(0).attempt)
        invalidateEarlierStarts()
        replyWithAdvancedToken("m1")
        advanceTime(1.seconds)
        assertTrue(scheduledJob("a").placements.values.none { it.attempt == 1L })
    }

    @Test
    fun `an exited task whose start was answered is forgotten only after the worker shows a higher token`() {
        commandsExecuted(sendSingleStart(), runningTask("a", 0, 1))
        val exited = exitedTask("a", 0, 1, ExitReason.ERROR)
        assertFalse(heartbeatReply("m1", exited).any { it is ForgetTask })
        assertEquals(AdvanceFencingToken(TokenAdvanceCause.EXITED_ATTEMPTS), advanceOfToken(62.seconds))
        invalidateEarlierStarts()
        assertFalse(heartbeatReply("m1", exited).any { it is ForgetTask })
        val expected = listOf<Command>(ForgetTask(TaskKey("a", 0), 1, ForgetCause.NO_RESULT))
        assertEquals(expected, replyWithAdvancedToken("m1", exited))
    }

    @Test
    fun `an exited task is forgotten at once if its start was sent to an earlier incarnation`() {
        commandsExecuted(sendSingleStart(), runningTask("a", 0, 1))
        val exited = exitedTask("a", 0, 1, ExitReason.UNKNOWN)
        val (commands, _) = receiveHeartbeat(heartbeat("m1", listOf(exited), incarnation = 2))
        assertTrue(commands.any { it is ForgetTask })
    }

    @Test
    fun `a long heartbeat advances the token at once`() {
        commandsExecuted(sendSingleStart(), runningTask("a", 0, 1))
        val exited = (0 until 200).map { exitedTask("a", 0, 1L + it, ExitReason.ERROR) }
        heartbeatReply("m1", *exited.toTypedArray())
        assertEquals(AdvanceFencingToken(TokenAdvanceCause.LONG_REPORT), advanceOfToken(1.seconds))
    }

    @Test
    fun `a start that is refused because the token was advanced is sent again at once with the new token`() {
        val request = sendSingleStart()
        invalidateEarlierStarts()
        val repeated = commandsUnanswered(request, CommandOutcome.REFUSED).commandRequests().single()
        assertEquals(TOKEN + 1, repeated.token)
        assertEquals(request.commands, repeated.commands)
    }

    private fun advanceOfToken(time: Duration): AdvanceFencingToken? =
        advanceTime(time).filterIsInstance<AdvanceFencingToken>().firstOrNull()
}
