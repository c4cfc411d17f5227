package glenspool.core

import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.Resources
import glenspool.core.model.StopTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.Team
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val TEAM_WITH_FOUR_GPUS = listOf(Team("t0", 0.0, 0.0, null, 4.0))

/** Tests the handling of tasks that run without a stored placement, such as those started by earlier leaders. */
class OrphanedTasksTest : SchedulerTestBase(config(TEAM_WITH_FOUR_GPUS)) {
    @Test
    fun `an orphan of an unknown job blocks its task when the job is submitted again`() {
        registerMachines(2)
        heartbeatReply("m1", runningTask("a", 0, 7))
        submit(job("a", tasks = 2))
        advanceTime(2.seconds)
        assertEquals(setOf(1), scheduledJob("a").placements.keys, "task 0 runs on m1")
        assertEquals(setOf(TaskKey("a", 0)), scheduledJob("a").orphans.keys)
        // Both tasks use capacity of the machine: the one that was placed there, and the orphan until a heartbeat shows
        // that it is gone.
        assertEquals(Resources(12.0, 2.0, 48.0), knownMachine("m1").available(bigType))
        heartbeatReply("m1")
        advanceTime(2.seconds)
        confirmTransaction()
        assertEquals(setOf(0, 1), scheduledJob("a").placements.keys)
    }

    @Test
    fun `an orphan of a known job is stopped, and blocks its task until it is gone`() {
        registerMachines(2)
        heartbeatReply("m1", runningTask("a", 0, 7))
        submit(job("a"), lastAttempt = 9)
        val commands = heartbeatReply("m1", runningTask("a", 0, 7))
        assertEquals(listOf<Command>(StopTask(TaskKey("a", 0), 7, Duration.ZERO, StopCause.ORPHANED)), commands)
    }

    /** Guards against a copy of a start that runs until the worker has shown a new leader's token (review/5). */
    @Test
    fun `an orphan is stopped in the answer to the first heartbeat, also without this leader's token`() {
        registerMachines(2)
        submit(job("a"), listOf(StoredPlacement(0, 9, "m2")), lastAttempt = 9)
        val stop = StopTask(TaskKey("a", 0), 7, Duration.ZERO, StopCause.ORPHANED)
        val (commands, _) = receiveHeartbeat(heartbeat("m1", listOf(runningTask("a", 0, 7)), token = 0))
        assertEquals(listOf<Command>(stop), commands)
        val (others, _) = receiveHeartbeat(heartbeat("m2", listOf(runningTask("a", 0, 9)), token = 0))
        assertEquals(emptyList<Command>(), others)
    }

    /** Guards against a team whose quota stays in use, and whose jobs then wait in vain, until another node leads. */
    @Test
    fun `an orphan whose job has ended no longer counts for its team once it is gone`() {
        registerMachines(2)
        val (machine, task) = placeAndRun(job("a")).entries.single()
        val other = if (machine == "m1") "m2" else "m1"
        submit(job("b"))
        heartbeatReply(other, runningTask("a", 0, 7))
        heartbeatReply(machine, task.exited(ExitReason.DONE))
        repeat(3) {
            advanceTime(1.seconds)
            confirmTransaction()
        }
        assertEquals(setOf("b"), core.jobs.keys)
        heartbeatReply(other)
        heartbeatReply(machine)
        assertEquals(4, core.remainingQuota(scheduledJob("b")) + scheduledJob("b").placements.size)
    }
}
