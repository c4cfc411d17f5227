package glenspool.core

import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that results are stored before exited tasks are forgotten, and that failures are retried with backoff. */
class TaskResultsTest : SchedulerTestBase() {
    @Test
    fun `a finished task is forgotten only after its result is stored`() {
        registerMachines()
        submit(job("a", tasks = 2))
        val request = placeAndStore().single()
        commandsExecuted(request, runningTask("a", 0, 1), runningTask("a", 1, 2))
        val tasks = arrayOf(exitedTask("a", 0, 1, ExitReason.DONE), runningTask("a", 1, 2))
        invalidateEarlierStarts()
        assertTrue(replyWithAdvancedToken("m1", *tasks).isEmpty())
        assertTrue((singleStoreChanges(advanceTime(3.seconds)).writes.single() as UpdateJobRecord).record.done[0])
        confirmTransaction()
        val expected = listOf<Command>(ForgetTask(TaskKey("a", 0), 1, ForgetCause.RECORDED))
        assertEquals(expected, replyWithAdvancedToken("m1", *tasks))
    }

    @Test
    fun `the final state of a job is stored only when all of its tasks are done`() {
        registerMachines()
        submit(job("a", tasks = 2))
        placeAndStore()
        heartbeatReply("m1", exitedTask("a", 0, 1, ExitReason.DONE), runningTask("a", 1, 2))
        assertTrue(singleStoreChanges(advanceTime(3.seconds)).writes.single() is UpdateJobRecord)
        confirmTransaction()
        val afterLast = heartbeatActions("m1", exitedTask("a", 1, 2, ExitReason.DONE))
        assertTrue(singleStoreChanges(afterLast).writes.single() is StoreFinalState)
    }

    @Test
    fun `a job that fails everywhere is retried with growing backoff`() {
        registerMachines(3)
        submit(job("bad"))
        var starts = 0
        repeat(300) { tick ->
            now += 200.milliseconds
            val actions = ArrayList(step { tick() })
            while (actions.isNotEmpty()) {
                when (val action = actions.removeAt(0)) {
                    is StoreChanges -> actions += confirmTransaction()
                    is SendCommands -> {
                        val failed = action.failedTasks()
                        starts += failed.size
                        actions += commandsExecuted(action, *failed.toTypedArray())
                    }
                    else -> Unit
                }
            }
            if (tick % 5 == 0) for (machine in listOf("m1", "m2", "m3")) heartbeatReply(machine)
        }
        assertTrue(starts in 3..12, "$starts starts within a minute")
        assertFalse(scheduledJob("bad").isComplete)
    }

    private fun SendCommands.failedTasks(): List<TaskStatus> =
        commands.filterIsInstance<StartTask>().map { exitedTask("bad", it.key.task, it.attempt, ExitReason.ERROR) }

    @Test
    fun `a machine that runs its tasks slowly gets a higher slowness`() {
        registerMachines(2)
        runPairOfJobs("a", 10.seconds)
        runPairOfJobs("b", 10.seconds)
        val slowness = knownMachine("m1").health.slowness
        assertTrue(slowness > 1.5, "$slowness")
        assertTrue(knownMachine("m2").health.slowness < 1.2)
    }

    /** Runs a job of one task on each machine. It takes [duration] on m2, and four times as long on m1. */
    private fun runPairOfJobs(id: String, duration: Duration) {
        val ids = listOf(id, "$id-other")
        for (job in ids) submit(job(job, resourceRequest = wholeMachine))
        for (request in placeAndStore()) {
            val start = request.commands.filterIsInstance<StartTask>().single()
            commandsExecuted(request, runningTask(start.key.job, 0, start.attempt))
        }
        val placements = ids.map { scheduledJob(it).placements.getValue(0) }.associateBy { it.machine }
        now += duration
        for (machine in listOf("m2", "m1")) {
            if (machine == "m1") now += duration * 3
            val placement = placements.getValue(machine)
            heartbeatReply(machine, exitedTask(placement.key.job, 0, placement.attempt, ExitReason.DONE))
            confirmTransaction()
        }
        heartbeatReply("m2")
    }
}
