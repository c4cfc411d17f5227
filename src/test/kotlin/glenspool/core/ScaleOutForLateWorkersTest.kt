package glenspool.core

import glenspool.core.model.Priority
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against machines that are rented for work which fits on a machine whose worker has only answered requests so
 * far, and which may get work as soon as the worker sends a heartbeat.
 */
class ScaleOutForLateWorkersTest : SchedulerTestBase(config(), SchedulerHooks(newWorkRequiresWorkerHeartbeat = true)) {
    private val wait = config().lease / 2

    /** Answers a probe of the only machine every second, and returns the resulting actions. */
    private fun answerProbesFor(time: Duration): List<Action> {
        val end = now + time
        val actions = ArrayList<Action>()
        while (now < end) {
            actions += step { probeEnded("m1", heartbeat("m1")) }
            actions += advanceTime(1.seconds)
        }
        return actions
    }

    /** Submits a job while the worker of the only machine has answered requests for a second. */
    private fun submitToSilentWorker(priority: Priority = Priority.STANDARD) {
        step { machineTypesRead(listOf(bigType)) }
        step { probeEnded("m1", heartbeat("m1")) }
        answerProbesFor(1.seconds)
        submit(job("a", tasks = 4, estimatedDuration = 100.seconds, priority = priority))
    }

    @Test
    fun `nothing is rented while a worker that answers requests may still send its first heartbeat`() {
        submitToSilentWorker()
        assertEquals(emptyList<ScaleOut>(), answerProbesFor(wait - 2.seconds).scaleOuts())
        val actions = heartbeatActions("m1") + advanceTime(1.seconds) + confirmTransaction()
        assertEquals(listOf("m1"), actions.commandRequests().filter { it.commands.isNotEmpty() }.map { it.machine })
        assertEquals(emptyList<ScaleOut>(), actions.scaleOuts())
    }

    @Test
    fun `a machine is rented within a bounded time if the worker sends no heartbeat`() {
        submitToSilentWorker()
        val scaleOuts = answerProbesFor(wait + 3.seconds).scaleOuts()
        assertTrue(scaleOuts.sumOf { it.count } == 1, "$scaleOuts")
    }

    @Test
    fun `a machine is rented sooner for critical work`() {
        submitToSilentWorker(Priority.CRITICAL)
        val scaleOuts = answerProbesFor(wait / 2 + 1.seconds).scaleOuts()
        assertTrue(scaleOuts.sumOf { it.count } == 1, "$scaleOuts")
    }
}
