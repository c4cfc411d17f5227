package glenspool.rollout

import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Checks random runs of the rollout by a reference model. */
class RolloutModelTest {
    private fun modelAfterRun(seed: Long): RolloutModel {
        val run = RolloutModelRun(seed)
        repeat(STEPS_PER_RUN) { if (run.model.violations.isEmpty()) run.step() }
        return run.model
    }

    @Property(seed = "20261202", shrinking = ShrinkingMode.OFF)
    fun `no unfenced process reads a form above its build, and no level changes without evidence`(
        @ForAll @LongRange(min = 0) seed: Long,
    ) {
        assertEquals(emptyList<String>(), modelAfterRun(seed).violations, "seed $seed")
    }

    /** Guards the property above, which would also hold for a rollout that never changes anything. */
    @Test
    fun `each kind of change occurs in the random runs`() {
        val models = (1L..12L).map(::modelAfterRun)
        val activations = models.map { it.activations }
        assertTrue(activations.count { 2 in it } >= 3, "$activations")
        assertTrue(activations.any { it.values.any { times -> times > 1 } }, "no level was activated twice")
        assertTrue(models.sumOf { it.formWrites } > 200)
    }

    private companion object {
        const val STEPS_PER_RUN = 700
    }
}
