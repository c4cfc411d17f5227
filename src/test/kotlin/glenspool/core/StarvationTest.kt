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
 * Simulates a full fleet that cannot grow, with a stream of small jobs that would keep it full forever. The largest job
 * of each kind has to start nevertheless.
 */
class StarvationTest {
    private val machineCount = 6

    /** Runs small jobs for a minute, then submits the [largest] jobs, and runs small jobs for five more minutes. */
    private fun simulateWithSmallWork(
        largest: List<JobSpec>,
        objectives: List<Objective> = emptyList(),
    ): ClusterSimulation {
        val settings = config(objectives = objectives)
        val simulation = ClusterSimulation(7, settings, listOf(bigType), FaultRates(), maxMachines = machineCount)
        repeat(machineCount) { simulation.addMachine(bigType, if (it % 2 == 0) "a" else "b", false, Duration.ZERO) }
        simulation.elect()
        var smallJobs = 0

        fun submitSmallUntil(end: Duration) {
            while (simulation.now < end) {
                simulation.submit(smallJob(smallJobs++))
                simulation.run(simulation.now + 2.seconds)
            }
        }
        submitSmallUntil(60.seconds)
        largest.forEach(simulation::submit)
        val submittedAt = simulation.now
        submitSmallUntil(submittedAt + 5.minutes)
        assertEquals(emptyList<String>(), simulation.violations)
        for (job in largest) {
            val startedAt = simulation.firstStartTimes[job.id]
            val waited = startedAt?.minus(submittedAt)
            val message = "${job.id} started after $waited: ${simulation.describe(job.id)}"
            assertTrue(waited != null && waited < 4.minutes, message)
        }
        // Small jobs have to start in the meantime as well: nothing is gained by stopping all other work.
        val startedSmallJobs = simulation.firstStartTimes.keys.count { it.startsWith("small-") }
        assertTrue(startedSmallJobs > smallJobs / 3, "${simulation.firstStartTimes.size} of $smallJobs started")
        return simulation
    }

    /**
     * Small jobs are more work than the fleet can do: each task takes a third of a machine for longer than a third of
     * the time between two jobs.
     */
    private fun smallJob(number: Int) =
        job(
            "small-$number", tasks = 6, priority = Priority.STANDARD, estimatedDuration = 14.seconds,
            checkpointInterval = 5.seconds, image = "i${number % 3}",
        )

    @Test
    fun `the largest array starts although it cannot meet its objective and small arrays can`() {
        val objective = Objective("finished", "class-ARRAY", 30.seconds, 0.9)
        val large =
            job(
                "large", tasks = 90, resourceRequest = Resources(4.0, 1.0, 16.0), estimatedDuration = 100.seconds,
                checkpointInterval = 5.seconds, image = "large",
            )
        simulateWithSmallWork(listOf(large), listOf(objective))
    }

    @Test
    fun `a gang that needs the whole fleet starts while small jobs of the same priority arrive`() {
        val gang = job("large", JobKind.GANG, machineCount, Resources(14.0, 4.0, 50.0), priority = Priority.STANDARD)
        simulateWithSmallWork(listOf(gang))
    }

    @Test
    fun `the largest gang and service start while small jobs of lower priority arrive`() {
        val gang =
            job(
                "large-gang", JobKind.GANG, machineCount - 2, Resources(14.0, 4.0, 50.0), priority = Priority.URGENT,
                estimatedDuration = 40.seconds,
            )
        val service =
            job(
                "large-service", JobKind.SERVICE, 6, Resources(2.0, 1.0, 8.0), priority = Priority.CRITICAL,
                spread = true,
            )
        simulateWithSmallWork(listOf(gang, service))
    }
}
