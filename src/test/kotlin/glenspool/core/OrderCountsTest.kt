package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.TaskState
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Every order is counted once, under the cause that it was given for. */
class OrderCountsTest : SchedulerDriver() {
    private val counts get() = core.orderCounts.snapshot()

    @Test
    fun `starts, stops, permissions to forget and deletions are counted by cause`() {
        val running = busy(2)
        assertEquals(mapOf<OrderCause, Long>(StartCause.PLACED to 2), counts)
        // A task of a job that nobody knows, and one of a known job in the wrong place.
        say(heartbeat("m3", listOf(task("unknown", 0, 1, TaskState.RUNNING), task("a", 0, 9, TaskState.RUNNING))))
        say(heartbeat("m1", listOf(running.getValue("m1").copy(state = TaskState.EXITED, exit = ExitReason.ERROR))))
        step { jobCancelled("a", ++revision, now) }
        wait(1.seconds)
        list(running.keys, failed = setOf("m1"))
        val expected =
            mapOf(
                StartCause.PLACED to 2L, StopCause.CANCELLED to 1L, StopCause.ORPHANED to 1L, StopCause.UNRECORDED to 1L,
                ForgetCause.NO_RESULT to 1L, DeletionCause.FAILED to 1L,
            )
        assertEquals(expected, counts)
        assertEquals(
            "start.placed=2 stop.cancelled=1 stop.orphaned=1 stop.unrecorded=1 forget.no-result=1 deletion.failed=1",
            core.orderCounts
                .toString(),
        )
    }

    @Test
    fun `rented machines are counted by what they are wanted for, and a repeated request is not counted again`() {
        started(0)
        submit(job("s", JobKind.SERVICE, 2, Resources(14.0, 4.0, 50.0), priority = Priority.CRITICAL))
        val requests = wait(2.seconds).filterIsInstance<ScaleOut>()
        val before = counts
        assertEquals(requests.sumOf { it.count }.toLong(), before.values.sum())
        assertEquals(2L, before[ScaleOutCause.WAITING_WORK])
        val request = requests.first()
        step { scaleOutUnanswered(request) }
        assertEquals(
            listOf(request),
            wait(3.seconds).filterIsInstance<ScaleOut>().filter {
                it.request ==
                    request.request
            },
        )
        assertEquals(before[ScaleOutCause.WAITING_WORK], counts[ScaleOutCause.WAITING_WORK])
    }
}
