package glenspool.core

import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

private val RESTORING_HOOKS =
    SchedulerHooks(newWorkRequiresWorkerHeartbeat = true, missingTaskPolicy = { MissingTaskPolicy.RESTORE })

/**
 * Tests that a task that is missing on its machine is started there again under its stored placement, if the worker
 * sends heartbeats without a request.
 */
class RestoreInPlaceTest : SchedulerTestBase(config(), RESTORING_HOOKS) {
    private val restoringStart = StartTask(TaskKey("a", 0), 3, StartCause.RESTORED)

    private fun submitWithStoredPlacement() {
        step { machineTypesRead(listOf(bigType)) }
        submit(job("a"), listOf(StoredPlacement(0, 3, "m1")), lastAttempt = 3)
    }

    private fun List<Action>.transactionCount() = filterIsInstance<StoreChanges>().size

    @Test
    fun `a missing task is started on its machine under the same attempt, and nothing is stored`() {
        submitWithStoredPlacement()
        val actions = heartbeatActions("m1") + advanceTime(2.seconds)
        assertEquals(listOf(restoringStart) to 0, actions.starts() to actions.transactionCount())
    }

    @Test
    fun `a task missing in a probe's answer is restored if a heartbeat came before, under an earlier leader's token`() {
        submitWithStoredPlacement()
        receiveHeartbeat(heartbeat("m1", token = TOKEN - 1))
        val actions = step { probeEnded("m1", heartbeat("m1")) } + advanceTime(2.seconds)
        assertEquals(listOf(restoringStart) to 0, actions.starts() to actions.transactionCount())
    }

    @Test
    fun `nothing is started on a machine that only answers probes`() {
        submitWithStoredPlacement()
        val actions = step { probeEnded("m1", heartbeat("m1")) } + advanceTime(2.seconds)
        assertEquals(0, actions.starts().size)
        assertEquals(emptyMap<Int, Any>(), scheduledJob("a").placements)
    }
}
