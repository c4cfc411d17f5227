package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that a leader with too little processor time does not mistake its own backlog for the failure of machines. */
class OverloadTest : SchedulerTestBase() {
    /**
     * The machines that are deleted within [period] while [LOST_MACHINE] is silent and the process has the given
     * [backlog].
     */
    private fun deletedDuring(backlog: Duration, period: Duration): Set<String> {
        val running = startBusyMachines(10)
        val actions = ArrayList<Action>()
        val end = now + period
        while (now < end) {
            step { backlogMeasured(backlog) }
            actions += runWithHeartbeats(2.seconds, running - LOST_MACHINE, emptySet())
        }
        return actions.deletedMachines()
    }

    @Test
    fun `silent machines are deleted when the process is not overloaded`() {
        assertEquals(setOf(LOST_MACHINE), deletedDuring(200.milliseconds, 16.seconds))
    }

    @Test
    fun `silent machines are not deleted while the process is overloaded`() {
        assertEquals(emptySet<String>(), deletedDuring(1.seconds, 16.seconds))
    }

    @Test
    fun `the backlog, which may hold a machine's heartbeat, is subtracted from the machine's silence`() {
        val running = startBusyMachines(10)
        val lastContactAt = now
        val others = running - LOST_MACHINE

        fun deletedAfter(silence: Duration, backlog: Duration): Set<String> {
            val actions = ArrayList<Action>()
            while (now < lastContactAt + silence) {
                for ((machine, task) in others) actions += heartbeatActions(machine, task)
                step { backlogMeasured(backlog) }
                actions += advanceTime(200.milliseconds)
            }
            return actions.deletedMachines()
        }
        assertEquals(emptySet<String>(), deletedAfter(SILENCE_LIMIT, 0.seconds))
        assertEquals(emptySet<String>(), deletedAfter(SILENCE_LIMIT + 800.milliseconds, 900.milliseconds))
        assertEquals(setOf(LOST_MACHINE), deletedAfter(SILENCE_LIMIT + 1200.milliseconds, 900.milliseconds))
    }

    @Test
    fun `an unanswered probe counts only without overload, and then a lost machine is deleted`() {
        val running = startBusyMachines(10)
        step { backlogMeasured(2.seconds) }
        step { probeEnded(LOST_MACHINE, null) }
        assertEquals(null, core.machines[LOST_MACHINE]?.reachability?.unreachableSince)
        // After a while the overload is over, and an unanswered probe counts again.
        val actions = ArrayList<Action>()
        repeat(10) { actions += runWithHeartbeats(2.seconds, running - LOST_MACHINE, setOf(LOST_MACHINE)) }
        assertEquals(setOf(LOST_MACHINE), actions.deletedMachines())
    }

    @Test
    fun `a machine that stays silent for a lease is deleted even while the process is overloaded`() {
        val running = startBusyMachines(10)
        val actions = ArrayList<Action>()
        repeat(30) {
            step { backlogMeasured(1.seconds) }
            actions += runWithHeartbeats(2.seconds, running - LOST_MACHINE, emptySet())
        }
        assertEquals(setOf(LOST_MACHINE), actions.deletedMachines())
    }

    @Test
    fun `an overloaded leader does not resign for lack of heartbeats`() {
        startBusyMachines(10)
        val actions = ArrayList<Action>()
        repeat(20) {
            step { backlogMeasured(3.seconds) }
            actions += advanceTime(1.seconds)
        }
        assertTrue(actions.none { it is Resign })
    }

    private companion object {
        const val LOST_MACHINE = "m10"

        /** The silence after which a machine is declared lost: two and a half heartbeat intervals. */
        val SILENCE_LIMIT = 5.seconds
    }
}
