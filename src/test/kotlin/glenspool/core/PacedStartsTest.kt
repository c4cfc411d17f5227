package glenspool.core

import glenspool.core.model.Priority
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Tests that deferred starts are sent in the order of their urgency, regardless of when they were queued. */
class PacedStartsTest : SchedulerTestBase(config(), SchedulerHooks(gate = StartAllowance())) {
    private val allowance = core.hooks.gate as StartAllowance

    /** An order gate that admits [starts] more starts and all other orders. */
    private class StartAllowance(var starts: Int = 0) : OrderGate {
        override fun admits(order: ProposedOrder): Boolean = order.cause !is StartCause || starts-- > 0
    }

    private fun submitAndPlace(id: String, priority: Priority, deadlineSeconds: Int) {
        submit(
            job(
                id, resourceRequest = wholeMachine, priority = priority, deadline = deadlineSeconds.seconds,
                estimatedDuration = 1.seconds,
            ),
        )
        advanceTime(1.seconds)
        confirmTransaction()
    }

    /** The job whose start is sent when one is admitted. */
    private fun nextStarted(): String {
        allowance.starts = 1
        val start = advanceTime(1.seconds).starts().single()
        allowance.starts = 0
        return start.key.job
    }

    @Test
    fun `starts are sent by highest priority, then earliest deadline, and none is sent twice`() {
        registerMachines(4)
        submitAndPlace("idle", Priority.IDLE, 50)
        submitAndPlace("later", Priority.STANDARD, 90)
        submitAndPlace("sooner", Priority.STANDARD, 60)
        submitAndPlace("urgent", Priority.URGENT, 900)
        assertEquals(0, advanceTime(2.seconds).starts().size)
        assertEquals(listOf("urgent", "sooner", "later", "idle"), List(4) { nextStarted() })
        allowance.starts = 9
        assertEquals(0, advanceTime(1.seconds).starts().size)
    }
}
