package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.FinalState
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Tests each rule for jobs with dependencies by the failure that it prevents. */
class JobDependenciesTest : SchedulerTestBase() {
    private fun List<Action>.finalStatesRequested() = filterIsInstance<ReadFinalStates>().flatMap { it.jobs }

    private fun List<Action>.finalStatesStored() = writes().filterIsInstance<StoreFinalState>()

    private fun finalStateRead(job: String, state: FinalState) =
        step { finalStatesRead(listOf(job), mapOf(job to state)) }

    @Test
    fun `a job is not placed before the final state of its dependency is stored`() {
        registerMachines()
        submit(job("a"))
        submit(job("b"), dependencies = listOf("a"))
        val request = placeAndStore().single()
        val start = request.commands.single()
        assertEquals("a", start.key.job)
        commandsExecuted(request, runningTask("a", 0, start.attempt))
        // Neither the worker's result nor the change in flight is sufficient.
        val atResult = heartbeatActions("m1", exitedTask("a", 0, start.attempt, ExitReason.DONE))
        val beforeStored = atResult + advanceTime(3.seconds)
        assertEquals(listOf("a"), beforeStored.finalStatesStored().map { it.id })
        val waiting = core.dependencies["b"]
        assertTrue(
            waiting != null &&
                waiting.waitsForDependencies &&
                waiting.waitingTaskCount() == 0 &&
                waiting.waitingTasks(1).isEmpty(),
        )
        assertTrue(beforeStored.writes().none { it.id == "b" })
        val afterStored = confirmTransaction() + advanceTime(1.seconds)
        assertEquals("b", (singleStoreChanges(afterStored).writes.single() as UpdateJobRecord).id)
        assertEquals(listOf(TaskKey("b", 0)), confirmTransaction().starts().map(StartTask::key))
    }

    @Test
    fun `a removed live record does not release dependents, and the job's final state is read until it is known`() {
        registerMachines()
        submit(job("a"))
        submit(job("b"), dependencies = listOf("a"))
        // After a reload of the store cache only the removal is known. The job may have been done or cancelled.
        val afterRemoval = step { jobRemoved("a") } + advanceTime(1.seconds)
        assertEquals(listOf("a"), afterRemoval.finalStatesRequested())
        assertNull(core.jobs["b"])
        // The request is not answered, so it is sent again.
        val afterNoAnswer = step { finalStatesRead(listOf("a"), emptyMap()) } + advanceTime(2.seconds)
        assertEquals(listOf("a"), afterNoAnswer.finalStatesRequested())
        assertNull(core.jobs["b"])
        finalStateRead("a", FinalState.DONE)
        assertFalse(scheduledJob("b").waitsForDependencies)
    }

    @Test
    fun `all direct and indirect dependents of a cancelled job are aborted, also in a long chain`() {
        val jobs = 600
        for (number in 0 until jobs) {
            val dependencies = if (number == 0) emptyList() else listOf("j${number - 1}")
            val record = JobRecord(job("j$number"), now, 0, BitSet(), emptyList(), dependencies)
            step { jobRecordRead(record, ++revision) }
        }
        val closed = HashSet<String>()
        var actions = cancel("j0") + advanceTime(1.seconds)
        while (closed.size < jobs) {
            val stored = actions.finalStatesStored()
            assertTrue(stored.isNotEmpty(), "no further job was closed after ${closed.size}")
            for (write in stored) {
                val abortedBy = if (write.id == "j0") null else "j0"
                assertEquals(FinalState.CANCELLED to abortedBy, write.finalState to write.abortedBy)
            }
            closed.addAll(stored.map { it.id })
            actions = confirmTransaction() + advanceTime(1.seconds)
        }
        assertEquals(0, core.dependencies.size)
        assertTrue(core.jobs.isEmpty())
    }

    @Test
    fun `a job that was done before its cancellation releases its dependents`() {
        submit(job("a"))
        submit(job("b"), dependencies = listOf("a"))
        // The user's cancellation was answered with the final state DONE, so it was never stored.
        step { jobRemoved("a") }
        advanceTime(1.seconds)
        finalStateRead("a", FinalState.DONE)
        assertEquals(setOf("b"), core.jobs.keys)
    }

    @Test
    fun `priority and deadline are inherited by dependencies, as long as a job depends on them`() {
        submit(job("a", priority = Priority.IDLE))
        submit(job("b", priority = Priority.IDLE, estimatedDuration = 20.seconds), dependencies = listOf("a"))
        val latestStartBefore = core.latestStart(scheduledJob("a"))
        submit(job("c", priority = Priority.URGENT, deadline = 90.seconds), dependencies = listOf("b"))
        val first = scheduledJob("a")
        assertEquals(
            Priority.URGENT to Priority.URGENT,
            first.effectivePriority to core.dependencies["b"]?.effectivePriority,
        )
        val latestStart = core.latestStart(first)
        assertTrue(latestStart < latestStartBefore, "the inherited deadline does not advance the latest start")
        val dueBy = first.dueBy
        assertTrue(dueBy != null && dueBy < 90.seconds - 30.seconds)
        cancel("c")
        advanceTime(1.seconds)
        confirmTransaction()
        assertEquals(Priority.IDLE, first.effectivePriority)
        assertNull(first.dueBy)
    }
}
