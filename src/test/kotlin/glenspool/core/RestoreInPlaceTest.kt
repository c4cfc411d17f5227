package glenspool.core

import glenspool.core.model.Intent
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.standin.Driven
import glenspool.standin.bigType
import glenspool.standin.config
import glenspool.standin.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** A stored place whose task is gone from its machine is used again, if the machine's own reports arrive. */
class RestoreInPlaceTest :
    Driven(
        config(),
        SchedulerHooks(newWorkNeedsOwnReport = true, absence = {
            AbsenceRule.RESTORE
        }),
    ) {
    private val again = StartTask(TaskKey("a", 0), 3, StartCause.RESTORED)

    private fun placedBefore() {
        step { typesKnown(listOf(bigType)) }
        submit(job("a"), listOf(Intent(0, 3, "m1")), last = 3)
    }

    private fun List<Action>.writes() = filterIsInstance<Store>().size

    @Test
    fun `it is started there under the same attempt, and nothing is stored`() {
        placedBefore()
        val actions = say(report("m1")).second + wait(2.seconds)
        assertEquals(listOf(again) to 0, actions.starts() to actions.writes())
    }

    @Test
    fun `so it is when an answer shows the absence and the machine has reported before, under an earlier leader's token`() {
        placedBefore()
        say(report("m1", token = TOKEN - 1))
        val actions = step { probed("m1", report("m1")) } + wait(2.seconds)
        assertEquals(listOf(again) to 0, actions.starts() to actions.writes())
    }

    @Test
    fun `a machine that only answers is given nothing`() {
        placedBefore()
        val actions = step { probed("m1", report("m1")) } + wait(2.seconds)
        assertEquals(0, actions.starts().size)
        assertEquals(emptyMap<Int, Any>(), core.jobs.getValue("a").placements)
    }
}
