package glenspool.core

import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.core.model.ExitReason
import glenspool.core.model.StopTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What any controller does about cancelled work while there is no leader. */
class CancelledWorkTrackerTest : SchedulerTestBase() {
    private val tracker = CancelledWorkTracker(40.seconds)
    private val machinesByJob = mapOf("a" to listOf("m1", "m2"), "b" to listOf("m2", "m3"))

    /** The machines to ask after so many seconds; [cancelledAt] has the second of each job's cancellation. */
    private fun due(at: Int, cancelledAt: Map<String, Int> = mapOf("a" to 0, "b" to 4)) =
        tracker.suspects(at.seconds, cancelledAt.map { (job, second) -> Cancellation(job, second.seconds, 1) }) { job ->
            machinesByJob[job].orEmpty()
        }

    private fun dueJobs(at: Int) = due(at).map { it.machine to it.jobs }

    @Test
    fun `machines are probed when half their time is over, and only about what was cancelled`() {
        assertEquals(emptyList<String>(), due(15).map { it.machine })
        assertEquals(listOf("m1" to setOf("a"), "m2" to setOf("a")), dueJobs(17))
        val expected = listOf("m1" to setOf("a"), "m2" to setOf("a", "b"), "m3" to setOf("b"))
        assertEquals(expected, dueJobs(21))
    }

    @Test
    fun `what still runs is stopped, and a machine seen without cancelled work is not probed again`() {
        val (m1, m2, m3) = due(21)
        val stopped = listOf(exitedTask("a", 0, 1, ExitReason.STOPPED), runningTask("other", 0, 1))
        assertEquals(emptyList<StopTask>(), tracker.probed(m1, heartbeat("m1", stopped)))
        val running = listOf(runningTask("a", 1, 7), exitedTask("b", 0, 3, ExitReason.DONE))
        val stops = tracker.probed(m2, heartbeat("m2", running))
        assertEquals(listOf("a" to 7L), stops.map { it.key.job to it.attempt })
        assertEquals(emptyList<StopTask>(), tracker.probed(m3, null))
        assertEquals(listOf("m2" to setOf("a"), "m3" to setOf("b")), dueJobs(22))
    }

    @Test
    fun `a machine that does not answer, or does not stop the work, is deleted before the deadline, and no other`() {
        val (m1, m2, _) = due(21)
        tracker.probed(m1, heartbeat("m1"))
        tracker.probed(m2, heartbeat("m2", listOf(runningTask("a", 1, 7))))
        due(30)
        assertEquals(emptyList<String>(), tracker.overdue(30.seconds))
        due(31)
        assertEquals(listOf("m2"), tracker.overdue(31.seconds))
        // One that was never probed may have stopped the work.
        val (_, m3) = due(35)
        assertEquals(listOf("m2"), tracker.overdue(35.seconds))
        tracker.probed(m3, null)
        assertEquals(listOf("m2", "m3"), tracker.overdue(35.seconds))
        tracker.deleted("m2")
        due(36)
        assertEquals(listOf("m3"), tracker.overdue(36.seconds))
    }

    @Test
    fun `jobs that ended meanwhile, or were cancelled long before, are not probed for`() {
        assertEquals(emptyList<String>(), due(81, mapOf("a" to 0)).map { it.machine })
        assertEquals(emptyList<String>(), due(21, mapOf("gone" to 0)).map { it.machine })
        assertEquals(emptyList<String>(), tracker.overdue(100.seconds))
    }

    @Test
    fun `a leader told of a cancellation by another controller stops the work at once`() {
        val (machine, task) = busy(1).entries.single()
        val stops = step { jobCancelled("a", 900, now) }.stops()
        assertEquals(listOf(StopTask(task.key, task.attempt, Duration.ZERO, StopCause.CANCELLED)), stops)
        // The key-value store shows the same later: nothing changes but its version, which a final record is
        // conditioned on.
        assertEquals(emptyList<SendCommands>(), step { jobCancelled("a", 901, now) }.commandRequests())
        val afterStop = heartbeatActions(machine, task.exited(ExitReason.STOPPED)) + wait(1.seconds)
        val finalStates = afterStop.writes().filterIsInstance<StoreFinalState>()
        assertEquals(listOf<Long?>(901), finalStates.map { it.cancelVersion })
    }
}
