package glenspool.core

import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.core.cluster.SuspectMachine
import glenspool.core.model.ExitReason
import glenspool.core.model.StopTask
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests how controllers enforce cancellations while there is no leader. */
class CancelledWorkTrackerTest : SchedulerTestBase() {
    private val tracker = CancelledWorkTracker(40.seconds)
    private val machinesByJob = mapOf("a" to listOf("m1", "m2"), "b" to listOf("m2", "m3"))

    /** The machines to probe after [at] seconds; [cancelledAt] has the second in which each job was cancelled. */
    private fun machinesToProbe(at: Int, cancelledAt: Map<String, Int> = mapOf("a" to 0, "b" to 4)) =
        tracker
            .update(
                at.seconds,
                cancelledAt.map { (job, second) -> Cancellation(job, second.seconds, 1) },
            ) { job -> machinesByJob[job].orEmpty() }
            .toList()

    private fun machineJobsToProbe(at: Int) = machinesToProbe(at).map { it.machine to it.jobs }

    @Test
    fun `machines are probed after two fifths of the deadline, and only for jobs cancelled that long ago`() {
        assertEquals(emptyList<String>(), machinesToProbe(15).map { it.machine })
        assertEquals(listOf("m1" to setOf("a"), "m2" to setOf("a")), machineJobsToProbe(17))
        val expected = listOf("m1" to setOf("a"), "m2" to setOf("a", "b"), "m3" to setOf("b"))
        assertEquals(expected, machineJobsToProbe(21))
    }

    @Test
    fun `cancelled tasks that still run are stopped, and a machine without any is not probed again`() {
        val (m1, m2, m3) = machinesToProbe(21)
        val stopped = listOf(exitedTask("a", 0, 1, ExitReason.STOPPED), runningTask("other", 0, 1))
        assertEquals(emptyList<StopTask>(), tracker.recordProbe(m1, heartbeat("m1", stopped)))
        val running = listOf(runningTask("a", 1, 7), exitedTask("b", 0, 3, ExitReason.DONE))
        val stops = tracker.recordProbe(m2, heartbeat("m2", running))
        assertEquals(listOf("a" to 7L), stops.map { it.key.job to it.attempt })
        assertEquals(emptyList<StopTask>(), tracker.recordProbe(m3, null))
        assertEquals(listOf("m2" to setOf("a"), "m3" to setOf("b")), machineJobsToProbe(22))
    }

    @Test
    fun `only machines that do not answer a probe or do not stop the work are deleted before the deadline`() {
        val (m1, m2, _) = machinesToProbe(21)
        tracker.recordProbe(m1, heartbeat("m1"))
        tracker.recordProbe(m2, heartbeat("m2", listOf(runningTask("a", 1, 7))))
        machinesToProbe(30)
        assertEquals(emptyList<String>(), tracker.overdueMachines(30.seconds))
        machinesToProbe(31)
        assertEquals(listOf("m2"), tracker.overdueMachines(31.seconds))
        // A machine that was never probed is not overdue, since it may have stopped the work.
        val (_, m3) = machinesToProbe(35)
        assertEquals(listOf("m2"), tracker.overdueMachines(35.seconds))
        tracker.recordProbe(m3, null)
        assertEquals(listOf("m2", "m3"), tracker.overdueMachines(35.seconds))
        tracker.recordDeletion("m2")
        machinesToProbe(36)
        assertEquals(listOf("m3"), tracker.overdueMachines(36.seconds))
    }

    @Test
    fun `machines that were never probed and those with the earliest deadline are probed first`() {
        val (m1, m2, m3) = machinesToProbe(21)
        assertEquals(listOf(m1, m2, m3), takeProbes())
        listOf(m1, m2, m3).forEach { tracker.recordProbe(it, null) }
        assertEquals(emptyList<SuspectMachine>(), takeProbes())
        machinesToProbe(22, mapOf("b" to 4))
        machinesToProbe(23)
        assertEquals(listOf(m1, m2, m3), takeProbes())
        assertEquals(emptyList<SuspectMachine>(), machinesToProbe(24).let { takeProbes() }, "probes are in progress")
    }

    private fun takeProbes() = generateSequence { tracker.takeProbe { true } }.toList()

    @Test
    fun `machines that could not be probed in time are deleted near the deadline, the earliest first`() {
        machinesToProbe(30)
        machinesToProbe(35)
        assertEquals(listOf("m1", "m2"), tracker.overdueMachines(35.seconds))
        machinesToProbe(39)
        assertEquals(listOf("m1", "m2", "m3"), tracker.overdueMachines(39.seconds))
    }

    @Test
    fun `machines that become suspects near the deadline are probed before they are deleted`() {
        machinesToProbe(37)
        assertEquals(emptyList<String>(), tracker.overdueMachines(37.seconds))
        val unanswered = generateSequence { tracker.takeProbe { true } }.first()
        tracker.recordProbe(unanswered, null)
        assertEquals(listOf("m1"), tracker.overdueMachines(38.seconds))
    }

    @Test
    fun `machines whose cancelled work is gone are not suspected again once all are clear`() {
        machinesToProbe(21).forEach { tracker.recordProbe(it, heartbeat(it.machine)) }
        repeat(3) { assertEquals(emptyList<SuspectMachine>(), machinesToProbe(22 + it)) }
    }

    @Test
    fun `machines that are not rid of cancelled work by its deadline are named once, if there was time for it`() {
        val jobA = mapOf("a" to 0)
        val m1 = machinesToProbe(21, jobA).first()
        tracker.recordProbe(m1, heartbeat("m1"))
        machinesToProbe(40, jobA)
        assertEquals(emptyList<SuspectMachine>(), tracker.missedDeadlines(40.seconds))
        assertEquals(listOf("m2"), tracker.missedDeadlines(41.seconds).map { it.machine })
        assertEquals(emptyList<SuspectMachine>(), tracker.missedDeadlines(42.seconds))
        machinesToProbe(43, emptyMap())
        machinesToProbe(44, jobA)
        assertEquals(emptyList<SuspectMachine>(), tracker.missedDeadlines(44.seconds))
    }

    @Test
    fun `machines that the last leader reports are suspects beside those of stored placements`() {
        val reported =
            listOf(SuspectMachine("m1", setOf("orphan"), 1.seconds), SuspectMachine("m9", setOf("c"), 2.seconds))
        val cancellations = listOf(Cancellation("a", 0.seconds, 1))

        fun suspects() = tracker.update(35.seconds, cancellations, reported) { listOf("m1") }.toSet()
        assertEquals(setOf(SuspectMachine("m1", setOf("a", "orphan"), 0.seconds), reported[1]), suspects())
        tracker.recordProbe(reported[0], heartbeat("m1"))
        assertEquals(setOf(SuspectMachine("m1", setOf("a"), 0.seconds), reported[1]), suspects())
    }

    @Test
    fun `machines are not probed for jobs that ended meanwhile or were cancelled long ago`() {
        assertEquals(emptyList<String>(), machinesToProbe(81, mapOf("a" to 0)).map { it.machine })
        assertEquals(emptyList<String>(), machinesToProbe(21, mapOf("gone" to 0)).map { it.machine })
        assertEquals(emptyList<String>(), tracker.overdueMachines(100.seconds))
    }

    @Test
    fun `a leader that receives a cancellation from another controller stops the work immediately`() {
        val (machine, task) = startBusyMachines(1).entries.single()
        val stops = step { jobCancelled("a", 900, now) }.stops()
        assertEquals(listOf(StopTask(task.key, task.attempt, Duration.ZERO, StopCause.CANCELLED)), stops)
        // The key-value store later reports the same cancellation. Only its version changes, on which the transaction
        // that stores the final state is conditional.
        assertEquals(emptyList<SendCommands>(), step { jobCancelled("a", 901, now) }.commandRequests())
        val afterStop = heartbeatActions(machine, task.exited(ExitReason.STOPPED)) + advanceTime(1.seconds)
        val finalStates = afterStop.writes().filterIsInstance<StoreFinalState>()
        assertEquals(listOf<Long?>(901), finalStates.map { it.cancelVersion })
    }
}
