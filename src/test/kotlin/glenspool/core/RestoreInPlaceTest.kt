package glenspool.core

import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** A stored place whose task is gone from its machine is used again, if the machine's own reports arrive. */
class RestoreInPlaceTest :
    SchedulerDriver(
        config(),
        SchedulerHooks(newWorkNeedsOwnHeartbeat = true, missingTaskPolicy = {
            MissingTaskPolicy.RESTORE
        }),
    ) {
    private val again = StartTask(TaskKey("a", 0), 3, StartCause.RESTORED)

    private fun placedBefore() {
        step { machineTypesKnown(listOf(bigType)) }
        submit(job("a"), listOf(StoredPlacement(0, 3, "m1")), last = 3)
    }

    private fun List<Action>.writes() = filterIsInstance<StoreChanges>().size

    @Test
    fun `it is started there under the same attempt, and nothing is stored`() {
        placedBefore()
        val actions = say(heartbeat("m1")).second + wait(2.seconds)
        assertEquals(listOf(again) to 0, actions.starts() to actions.writes())
    }

    @Test
    fun `so it is when an answer shows the absence and the machine has reported before, under an earlier leader's token`() {
        placedBefore()
        say(heartbeat("m1", token = TOKEN - 1))
        val actions = step { probeEnded("m1", heartbeat("m1")) } + wait(2.seconds)
        assertEquals(listOf(again) to 0, actions.starts() to actions.writes())
    }

    @Test
    fun `a machine that only answers is given nothing`() {
        placedBefore()
        val actions = step { probeEnded("m1", heartbeat("m1")) } + wait(2.seconds)
        assertEquals(0, actions.starts().size)
        assertEquals(emptyMap<Int, Any>(), core.jobs.getValue("a").placements)
    }
}
