package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A leader with too little processor time must not take its own lateness for the failure of machines. */
class OverloadTest : SchedulerTestBase() {
    /** The machines deleted while [LOST] is silent and the process is [backlog] behind, for [period]. */
    private fun deletedDuring(backlog: Duration, period: Duration): Set<String> {
        val running = busy(10)
        val actions = ArrayList<Action>()
        val end = now + period
        while (now < end) {
            step { backlogMeasured(backlog) }
            actions += live(2.seconds, running - LOST, emptySet())
        }
        return actions.deletedMachines()
    }

    @Test
    fun `silent machines are deleted when the process is not overloaded`() {
        assertEquals(setOf(LOST), deletedDuring(200.milliseconds, 16.seconds))
    }

    @Test
    fun `silent machines are not deleted while the process is overloaded`() {
        assertEquals(emptySet<String>(), deletedDuring(1.seconds, 16.seconds))
    }

    @Test
    fun `the backlog, which may hold a machine's heartbeat, is subtracted from the machine's silence`() {
        val running = busy(10)
        val lastContactAt = now
        val others = running - LOST

        fun deletedAfter(silence: Duration, backlog: Duration): Set<String> {
            val actions = ArrayList<Action>()
            while (now < lastContactAt + silence) {
                for ((machine, task) in others) actions += heartbeatActions(machine, task)
                step { backlogMeasured(backlog) }
                actions += wait(200.milliseconds)
            }
            return actions.deletedMachines()
        }
        assertEquals(emptySet<String>(), deletedAfter(SILENCE, 0.seconds))
        assertEquals(emptySet<String>(), deletedAfter(SILENCE + 800.milliseconds, 900.milliseconds))
        assertEquals(setOf(LOST), deletedAfter(SILENCE + 1200.milliseconds, 900.milliseconds))
    }

    @Test
    fun `an unanswered probe counts only without overload, and then a lost machine is deleted`() {
        val running = busy(10)
        step { backlogMeasured(2.seconds) }
        step { probeEnded(LOST, null) }
        assertEquals(null, core.machines[LOST]?.reachability?.unreachableSince)
        // The overload is over after a while: a probe without an answer counts again.
        val actions = ArrayList<Action>()
        repeat(10) { actions += live(2.seconds, running - LOST, setOf(LOST)) }
        assertEquals(setOf(LOST), actions.deletedMachines())
    }

    @Test
    fun `a machine that stays silent for a lease is deleted even while the process is overloaded`() {
        val running = busy(10)
        val actions = ArrayList<Action>()
        repeat(30) {
            step { backlogMeasured(1.seconds) }
            actions += live(2.seconds, running - LOST, emptySet())
        }
        assertEquals(setOf(LOST), actions.deletedMachines())
    }

    @Test
    fun `an overloaded leader does not resign for lack of heartbeats`() {
        busy(10)
        val actions = ArrayList<Action>()
        repeat(20) {
            step { backlogMeasured(3.seconds) }
            actions += wait(1.seconds)
        }
        assertTrue(actions.none { it is Resign })
    }

    private companion object {
        const val LOST = "m10"

        /** Two and a half heartbeat intervals. */
        val SILENCE = 5.seconds
    }
}
