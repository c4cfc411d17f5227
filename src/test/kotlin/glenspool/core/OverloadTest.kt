package glenspool.core

import glenspool.simulation.SchedulerDriver
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A leader with too little processor time must not take its own lateness for the failure of machines. */
class OverloadTest : SchedulerDriver() {
    private fun deleted(actions: List<Action>) =
        actions.filterIsInstance<DeleteMachines>().flatMap { it.machines }.toSet()

    /** Machines of which [lost] are silent while the process is [backlog] behind for [spell]. */
    private fun lostDuring(backlog: Duration, spell: Duration): Set<String> {
        val running = busy(10)
        val all = ArrayList<Action>()
        val end = now + spell
        while (now < end) {
            step { backlogMeasured(backlog) }
            all += live(2.seconds, running - LOST, emptySet())
        }
        return deleted(all)
    }

    @Test
    fun `silent machines are given up when the process keeps up`() {
        assertEquals(setOf(LOST), lostDuring(200.milliseconds, 16.seconds))
    }

    @Test
    fun `silence alone proves nothing while the process is behind`() {
        assertEquals(emptySet<String>(), lostDuring(1.seconds, 16.seconds))
    }

    @Test
    fun `what a machine sent may be among what waits`() {
        val running = busy(10)
        val heard = now
        val others = running - LOST

        fun silentFor(quiet: Duration, backlog: Duration): Set<String> {
            val all = ArrayList<Action>()
            while (now < heard + quiet) {
                for ((m, t) in others) all += say(heartbeat(m, listOf(t))).second
                step { backlogMeasured(backlog) }
                all += wait(200.milliseconds)
            }
            return deleted(all)
        }
        assertEquals(emptySet<String>(), silentFor(SILENCE, 0.seconds))
        assertEquals(emptySet<String>(), silentFor(SILENCE + 800.milliseconds, 900.milliseconds))
        assertEquals(setOf(LOST), silentFor(SILENCE + 1200.milliseconds, 900.milliseconds))
    }

    @Test
    fun `an unanswered question counts only when the process keeps up, and then a lost machine is given up`() {
        val running = busy(10)
        step { backlogMeasured(2.seconds) }
        step { probeEnded(LOST, null) }
        assertEquals(null, core.machines[LOST]?.reachability?.unreachableSince)
        // The spell is over after a while: a question without an answer counts again.
        val all = ArrayList<Action>()
        repeat(10) { all += live(2.seconds, running - LOST, setOf(LOST)) }
        assertEquals(setOf(LOST), deleted(all))
    }

    @Test
    fun `a machine that stays silent for a lease is given up however far the process is behind`() {
        val running = busy(10)
        val all = ArrayList<Action>()
        repeat(30) {
            step { backlogMeasured(1.seconds) }
            all += live(2.seconds, running - LOST, emptySet())
        }
        assertEquals(setOf(LOST), deleted(all))
    }

    @Test
    fun `a leader that is behind does not take itself for deaf`() {
        busy(10)
        val all = ArrayList<Action>()
        repeat(20) {
            step { backlogMeasured(3.seconds) }
            all += wait(1.seconds)
        }
        assertTrue(all.none { it is Resign })
    }

    private companion object {
        const val LOST = "m10"

        /** Two and a half reports. */
        val SILENCE = 5.seconds
    }
}
