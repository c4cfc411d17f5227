package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests that cancelled work is gone by its deadline, even if no stop command reaches its machine. */
class CancellationDeadlineTest : SchedulerTestBase() {
    @Test
    fun `cancelled work on a silent machine is gone by its deadline`() {
        // All other machines are silent too, so silence alone would not cause the deletion of this one.
        registerMachines(3)
        submit(job("a"))
        advanceTime(1.seconds)
        confirmTransaction()
        cancel("a")
        val cancelledAt = now
        val machine = scheduledJob("a").placements.getValue(0).machine
        val actions = advanceTime(30.seconds)
        assertTrue(actions.deletions().any { machine in it.machines })
        assertTrue(now - cancelledAt < core.config.cancellationDeadline)
    }

    @Test
    fun `cancelled work on a machine with heartbeats but unreachable is gone by its deadline`() {
        val running = startBusyMachines(1)
        val machine = running.keys.single()
        cancel("a")
        val cancelledAt = now
        var deletedAt: Duration? = null
        while (deletedAt == null && now - cancelledAt < core.config.cancellationDeadline) {
            if (runWithHeartbeats(2.seconds, running, setOf(machine)).any { it is DeleteMachines }) deletedAt = now
        }
        val latest = core.config.cancellationDeadline * 0.9
        assertTrue(deletedAt != null && deletedAt - cancelledAt < latest, "$deletedAt")
    }

    @Test
    fun `without a leader, only unreachable machines with cancelled work are overdue, shortly before its deadline`() {
        val running = startBusyMachines(3)
        submit(job("b"))
        cancel("a")
        // The stop is executed on m1 and m2; m3 is silent from now on.
        for (machine in listOf("m1", "m2")) {
            heartbeatReply(machine, running.getValue(machine).exited(ExitReason.STOPPED))
        }
        val cancelledAt = now

        fun overdueAfter(elapsed: Int) = core.overdueMachines(cancelledAt + elapsed.seconds)
        assertEquals(emptyList<String>(), overdueAfter(31).map { it.machine })
        assertEquals(listOf("m3" to setOf("a")), overdueAfter(33).map { it.machine to it.jobs })
        assertEquals(emptyList<String>(), overdueAfter(34).map { it.machine })
        assertEquals(listOf("m3"), overdueAfter(37).map { it.machine })
        step { deletionEnded(listOf("m3"), true) }
        assertEquals(emptyList<String>(), overdueAfter(50).map { it.machine })
    }
}
