package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Tests that every order is counted once, under its cause. */
class OrderCountsTest : SchedulerTestBase() {
    private val counts get() = core.orderCounts.snapshot()

    @Test
    fun `starts, stops, permissions to forget and deletions are counted by cause`() {
        val running = startBusyMachines(2)
        assertEquals(mapOf<OrderCause, Long>(StartCause.PLACED to 2), counts)
        // m3 reports a task of an unknown job, and a task of a known job that has no placement there.
        heartbeatReply("m3", runningTask("unknown", 0, 1), runningTask("a", 0, 9))
        invalidateEarlierStarts()
        replyWithAdvancedToken("m1", running.getValue("m1").exited(ExitReason.ERROR))
        cancel("a")
        advanceTime(1.seconds)
        applyCloudList(running.keys, failed = setOf("m1"))
        val expected =
            mapOf(
                StartCause.PLACED to 2L,
                StopCause.CANCELLED to 1L,
                StopCause.ORPHANED to 1L,
                StopCause.UNRECORDED to 1L,
                ForgetCause.NO_RESULT to 1L,
                DeletionCause.FAILED to 1L,
            )
        assertEquals(expected, counts)
        assertEquals(
            "start.placed=2 stop.cancelled=1 stop.orphaned=1 stop.unrecorded=1 forget.no-result=1 deletion.failed=1",
            core.orderCounts.toString(),
        )
    }

    @Test
    fun `rented machines are counted by cause, and a repeated request is not counted again`() {
        registerMachines(0)
        submit(job("s", JobKind.SERVICE, 2, wholeMachine, priority = Priority.CRITICAL))
        val requests = advanceTime(2.seconds).scaleOuts()
        val before = counts
        assertEquals(requests.sumOf { it.count }.toLong(), before.values.sum())
        assertEquals(2L, before[ScaleOutCause.WAITING_WORK])
        val request = requests.first()
        step { scaleOutUnanswered(request) }
        val repeated = advanceTime(3.seconds).scaleOuts().filter { it.request == request.request }
        assertEquals(listOf(request), repeated)
        assertEquals(before[ScaleOutCause.WAITING_WORK], counts[ScaleOutCause.WAITING_WORK])
    }
}
