package glenspool.faults

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.Team
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Base class of tests that inject faults into a cluster in simulated time. Every rule is checked at every start and
 * tick. All jobs submitted by [submitTracked] have to end correctly once the faults are over.
 */
abstract class FaultScenario {
    private val teams =
        listOf(Team("t0", 0.0, 0.0, null, null), Team("t1", 0.0, 4.0, null, 8.0), Team("t2", 0.0, 0.0, null, 4.0))
    protected val ids = ArrayList<String>()

    /** Creates a cluster with a leader. A third of its machines are in zone b, the others in zone a. */
    protected fun simulation(seed: Long, faults: FaultRates = FaultRates(), machines: Int = 9): ClusterSimulation {
        val deployment = config(teams, peerZones = setOf("b"))
        val simulation = ClusterSimulation(seed, deployment, listOf(bigType), faults, maxMachines = 18)
        simulation.allControllersNew = true
        for (number in 0 until machines) {
            simulation.addMachine(bigType, if (number % 3 == 0) "b" else "a", false, Duration.ZERO)
        }
        simulation.elect()
        simulation.run(3.seconds)
        return simulation
    }

    protected fun ClusterSimulation.submitTracked(spec: JobSpec) {
        submit(spec)
        ids.add(spec.id)
    }

    /** Submits a job for each number, without a pause between them. */
    protected fun ClusterSimulation.submitEach(numbers: IntRange, spec: (number: Int) -> JobSpec) =
        numbers.forEach { submitTracked(spec(it)) }

    protected fun ClusterSimulation.runFor(time: Duration) = run(now + time)

    protected fun array(
        id: String,
        tasks: Int = 3,
        team: String = "t0",
        estimatedDuration: Duration = 60.seconds,
        zone: String? = null,
        resourceRequest: Resources = Resources(2.0, 1.0, 8.0),
    ): JobSpec {
        val image = "i${id.hashCode() and 1}"
        return job(
            id, tasks = tasks, team = team, estimatedDuration = estimatedDuration, zone = zone,
            resourceRequest = resourceRequest, image = image,
        )
    }

    protected fun service(id: String, tasks: Int = 2, team: String = "t1") =
        job(id, JobKind.SERVICE, tasks, team = team, priority = Priority.CRITICAL)

    /**
     * Ends the faults and verifies that every job ends as expected, that no rule was broken, and that no job waits in
     * vain.
     */
    protected fun ClusterSimulation.finishAndVerify(seed: Long) {
        run(now + 330.seconds, withoutRandomFaults = true)
        for (id in ids) {
            val isActiveService =
                specs.getValue(id).kind == JobKind.SERVICE && hasRecord(id) && abortedSince(id) == null
            if (isActiveService) assertTrue(cancel(id))
        }
        run(now + 250.seconds, withoutRandomFaults = true)
        assertEquals(emptyList<String>(), (violations + reportedViolations).take(4), "seed $seed")
        for (id in ids) {
            val expected = if (abortedSince(id) == null) "done" else "cancelled"
            assertEquals(expected, finalState(id), "seed $seed: $id ${describe(id)}")
        }
    }
}
