package glenspool.core

import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancelledWorkTracker
import glenspool.core.model.ExitReason
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import glenspool.simulation.SchedulerDriver
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What any controller does about cancelled work while nobody leads. */
class CancelledWorkTrackerTest : SchedulerDriver() {
    private val work = CancelledWorkTracker(40.seconds)
    private val places = mapOf("a" to listOf("m1", "m2"), "b" to listOf("m2", "m3"))

    private fun due(at: Int, known: Map<String, Int> = mapOf("a" to 0, "b" to 4)) =
        work
            .suspects(at.seconds, known.map { Cancellation(it.key, it.value.seconds, 1) }) { places[it].orEmpty() }

    @Test
    fun `machines are asked when their time is half over, and only about what was cancelled`() {
        assertEquals(emptyList<String>(), due(15).map { it.machine })
        assertEquals(listOf("m1" to setOf("a"), "m2" to setOf("a")), due(17).map { it.machine to it.jobs })
        assertEquals(
            listOf("m1" to setOf("a"), "m2" to setOf("a", "b"), "m3" to setOf("b")),
            due(21).map {
                it.machine to
                    it.jobs
            },
        )
    }

    @Test
    fun `what still runs is stopped, and a machine that was seen to be rid of it is left alone`() {
        val (m1, m2, m3) = due(21)
        assertEquals(
            emptyList<StopTask>(),
            work
                .probed(m1, heartbeat("m1", listOf(task("a", 0, 1, TaskState.EXITED, ExitReason.STOPPED), task("other", 0, 1, TaskState.RUNNING)))),
        )
        val running =
            heartbeat("m2", listOf(task("a", 1, 7, TaskState.RUNNING), task("b", 0, 3, TaskState.EXITED, ExitReason.DONE)))
        assertEquals(listOf("a" to 7L), work.probed(m2, running).map { it.key.job to it.attempt })
        assertEquals(emptyList<StopTask>(), work.probed(m3, null))
        assertEquals(listOf("m2" to setOf("a"), "m3" to setOf("b")), due(22).map { it.machine to it.jobs })
    }

    @Test
    fun `a machine that does not answer, or does not obey, is deleted before the time is over, and no other`() {
        val (m1, m2, _) = due(21)
        work.probed(m1, heartbeat("m1"))
        work.probed(m2, heartbeat("m2", listOf(task("a", 1, 7, TaskState.RUNNING))))
        due(30)
        assertEquals(emptyList<String>(), work.overdue(30.seconds))
        due(31)
        assertEquals(listOf("m2"), work.overdue(31.seconds))
        // One that was never asked may be rid of it.
        val (_, m3) = due(35)
        assertEquals(listOf("m2"), work.overdue(35.seconds))
        work.probed(m3, null)
        assertEquals(listOf("m2", "m3"), work.overdue(35.seconds))
        work.deleted("m2")
        due(36)
        assertEquals(listOf("m3"), work.overdue(36.seconds))
    }

    @Test
    fun `what ended meanwhile, or was cancelled very long ago, is nobody's concern`() {
        assertEquals(emptyList<String>(), due(81, mapOf("a" to 0)).map { it.machine })
        assertEquals(emptyList<String>(), due(21, mapOf("gone" to 0)).map { it.machine })
        assertEquals(emptyList<String>(), work.overdue(100.seconds))
    }

    @Test
    fun `a leader that hears of a cancellation from another controller stops the work at once`() {
        val running = busy(1)
        val (machine, task) = running.entries.single()
        val stops =
            step { jobCancelled("a", 900, now) }
                .filterIsInstance<SendCommands>()
                .flatMap { it.commands }
                .filterIsInstance<StopTask>()
        assertEquals(listOf(StopTask(task.key, task.attempt, Duration.ZERO, StopCause.CANCELLED)), stops)
        // The state service tells the same later: nothing changes but its version, which a final record is conditioned
        // on.
        assertEquals(emptyList<SendCommands>(), step { jobCancelled("a", 901, now) }.filterIsInstance<SendCommands>())
        val after =
            say(heartbeat(machine, listOf(task.copy(state = TaskState.EXITED, exit = ExitReason.STOPPED)))).second +
                wait(1.seconds)
        assertEquals(
            listOf<Long?>(901),
            after
                .filterIsInstance<StoreChanges>()
                .flatMap { it.writes }
                .filterIsInstance<StoreFinalState>()
                .map { it.cancelVersion },
        )
    }
}
