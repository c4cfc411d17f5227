package glenspool.core

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Objective
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * A full fleet that can't grow, a stream of small work that would fill it for ever, and one largest job of each kind.
 */
class StarvationTest {
    private val machines = 6

    private fun play(
        largest: List<JobSpec>,
        objectives: List<Objective> = emptyList(),
        small: (Int) -> JobSpec,
    ): ClusterSimulation {
        val w =
            ClusterSimulation(7, config(objectives = objectives), listOf(bigType), FaultRates(), maxMachines = machines)
        repeat(machines) { w.addMachine(bigType, if (it % 2 == 0) "a" else "b", false, Duration.ZERO) }
        w.elect()
        var n = 0
        while (w.now < 60.seconds) {
            w.submit(small(n++))
            w.run(w.now + 2.seconds)
        }
        largest.forEach(w::submit)
        val at = w.now
        while (w.now - at < 5.minutes) {
            w.submit(small(n++))
            w.run(w.now + 2.seconds)
        }
        assertEquals(emptyList<String>(), w.violations)
        for (j in largest) {
            val begun = w.firstStart[j.id]
            assertTrue(begun != null && begun - at < 4.minutes, "${j.id} began after ${begun?.minus(at)}: ${w.describe(j.id)}")
        }
        // The stream goes on meanwhile: nothing is bought by stopping everything else.
        assertTrue(w.firstStart.keys.count { it.startsWith("small-") } > n / 3, "${w.firstStart.size} of $n began")
        return w
    }

    /** More work than the fleet can do: each takes a third of a machine for longer than a third of the pause. */
    private fun small(n: Int, priority: Priority) =
        job("small-$n", tasks = 6, priority = priority, estimatedDuration = 14.seconds, checkpointInterval = 5.seconds, image = "i${n % 3}")

    @Test
    fun `the largest array, too late for its aim from the first, begins among small ones that can still meet it`() {
        val aim = Objective("finished", "class-ARRAY", 30.seconds, 0.9)
        val large =
            job(
                "large", tasks = 90, resourceRequest = Resources(4.0, 1.0, 16.0), estimatedDuration = 100.seconds,
                checkpointInterval =
                    5
                        .seconds,
                image = "large",
            )
        play(listOf(large), listOf(aim)) { small(it, Priority.STANDARD) }
    }

    @Test
    fun `a gang that takes the whole fleet begins among small work of its own priority`() {
        play(listOf(job("large", JobKind.GANG, machines, Resources(14.0, 4.0, 50.0), priority = Priority.STANDARD))) {
            small(it, Priority.STANDARD)
        }
    }

    @Test
    fun `the largest gang and service begin among small work below them`() {
        val gang =
            job(
                "large-gang", JobKind.GANG, machines - 2, Resources(14.0, 4.0, 50.0), priority = Priority.URGENT,
                estimatedDuration =
                    40
                        .seconds,
            )
        val service =
            job("large-service", JobKind.SERVICE, 6, Resources(2.0, 1.0, 8.0), priority = Priority.CRITICAL, spread = true)
        play(listOf(gang, service)) { small(it, Priority.STANDARD) }
    }
}
