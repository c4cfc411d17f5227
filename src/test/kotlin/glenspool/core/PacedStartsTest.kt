package glenspool.core

import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Starts that have to wait go out in the order of their urgency, whenever they were decided. */
class PacedStartsTest : SchedulerDriver(config(), SchedulerHooks(gate = Allowance())) {
    private val allowed = core.hooks.gate as Allowance

    /** How many starts may go out. */
    private class Allowance(var starts: Int = 0) : OrderGate {
        override fun admits(order: ProposedOrder): Boolean = order.cause !is StartCause || starts-- > 0
    }

    private fun placed(id: String, priority: Priority, deadline: Int) {
        submit(
            job(
                id, resourceRequest = Resources(14.0, 4.0, 50.0), priority = priority, deadline = deadline.seconds,
                estimatedDuration =
                    1
                        .seconds,
            ),
        )
        wait(1.seconds)
        confirm()
    }

    private fun next(): String {
        allowed.starts = 1
        return wait(1.seconds)
            .starts()
            .single()
            .key.job
            .also { allowed.starts = 0 }
    }

    @Test
    fun `the highest priority goes first, then the nearest deadline, and nothing is sent twice`() {
        started(4)
        placed("idle", Priority.IDLE, 50)
        placed("later", Priority.STANDARD, 90)
        placed("sooner", Priority.STANDARD, 60)
        placed("urgent", Priority.URGENT, 900)
        assertEquals(0, wait(2.seconds).starts().size)
        assertEquals(listOf("urgent", "sooner", "later", "idle"), List(4) { next() })
        allowed.starts = 9
        assertEquals(0, wait(1.seconds).starts().size)
    }
}
