package glenspool.core

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.Team
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoveryTimings
import glenspool.reconcile.StartKind
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.simulation.leanType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Simulates a day with random jobs and faults. It checks every rule at every start and every tick, and that each job
 * reaches its final state once the faults are over.
 */
class RandomizedSimulation(
    private val seed: Long,
    private val faults: FaultRates,
    private val hasDependencies: Boolean = false,
    private val allControllersNew: Boolean = false,
    private val valueBytes: Int = 4096,
    private val coldStarts: Boolean = false,
) {
    private val random = Random(seed * 31)
    private val simulation = newSimulation()
    private val jobs = ArrayList<String>()

    private fun newSimulation(): ClusterSimulation {
        val deployment = config(TEAMS, peerZones = setOf("b")).copy(valueBytes = valueBytes)
        val timings = RecoveryTimings(deployment.lease, deployment.heartbeatInterval, deployment.listLag)
        val recoveryFactory = { token: Long, startedAt: Duration, kind: StartKind ->
            RecoveryEngine(RecoveryPolicy(), timings, token, startedAt, kind)
        }
        val types = listOf(bigType, leanType)
        val simulation =
            ClusterSimulation(seed, deployment, types, faults, recoveryFactory = recoveryFactory.takeIf { coldStarts })
        simulation.state.maxValueBytes = valueBytes
        for (number in 0 until 6) {
            val type = if (number % 3 == 2) leanType else bigType
            val zone = if (number % 2 == 0) "a" else "b"
            simulation.addMachine(type, zone, false, Duration.ZERO)
        }
        simulation.elect()
        return simulation
    }

    fun run(): ClusterSimulation {
        simulation.allControllersNew = allControllersNew
        repeat(30, ::submitRandomJob)
        simulation.run(simulation.now + 200.seconds)
        simulation.allControllersNew = true
        if (faults.oldVersionLeaders > 0) simulation.elect()
        simulation.run(simulation.now + 500.seconds, withoutRandomFaults = true)
        assertEquals(emptyList<String>(), simulation.violations, "seed $seed")
        jobs.filter { it.startsWith("s-") }.forEach(::checkAndCancelService)
        simulation.run(simulation.now + 400.seconds, withoutRandomFaults = true)
        assertEquals(emptyList<String>(), simulation.violations, "seed $seed")
        checkFinalStates()
        return simulation
    }

    private fun submitRandomJob(number: Int) {
        val spec = randomJob(number)
        simulation.submit(spec, if (hasDependencies) randomDependencies() else emptyList())
        jobs.add(spec.id)
        simulation.run(simulation.now + random.nextInt(8).seconds)
        if (random.nextInt(5) == 0) simulation.cancel(jobs[random.nextInt(jobs.size)])
        // Without a leader, cancelled work on hung machines is not stopped in this simulation. Therefore all
        // controllers are away only for a short time if machines hang.
        if (coldStarts && random.nextInt(6) == 0) {
            simulation.stopControllers((1 + random.nextInt(if (faults.hangs > 0) 5 else 24)).seconds)
        }
    }

    private fun randomJob(number: Int): JobSpec =
        when (random.nextInt(4)) {
            0 -> randomService("s-$number")
            1 -> randomGang("g-$number")
            2 -> randomCheckpointedArray("c-$number")
            else -> randomArray("a-$number")
        }

    private fun randomService(id: String) =
        job(
            id, JobKind.SERVICE, 1 + random.nextInt(3), team = randomTeam(), priority = Priority.CRITICAL,
            spread = random.nextBoolean(), image = randomImage(),
        )

    private fun randomGang(id: String) =
        job(
            id, JobKind.GANG, 1 + random.nextInt(4),
            if (random.nextBoolean()) Resources(4.0, 2.0, 16.0) else Resources(2.0, 1.0, 4.0),
            "t0", Priority.URGENT, sameZone = random.nextBoolean(), image = randomImage(),
            imageGb = 1.0 + random.nextInt(9),
        )

    private fun randomCheckpointedArray(id: String) =
        job(
            id, JobKind.ARRAY, 1 + random.nextInt(5), Resources(2.0, 0.0, 20.0), randomTeam(), Priority.IDLE,
            zone = listOf(null, "a", "b")[random.nextInt(3)], spot = true, checkpointInterval = 3.seconds,
        )

    private fun randomArray(id: String) =
        job(
            id, JobKind.ARRAY, 1 + random.nextInt(6), team = randomTeam(),
            types = if (random.nextBoolean()) null else listOf("big"), spot = random.nextBoolean(),
            image = randomImage(),
        )

    private fun randomTeam() = "t${random.nextInt(3)}"

    private fun randomImage() = "i${random.nextInt(3)}"

    /** Returns some earlier jobs in any state, except services. */
    private fun randomDependencies(): List<String> {
        val candidates =
            jobs.filter { job ->
                !job.startsWith("s-") && !(simulation.finalState(job) == "cancelled" && random.nextInt(4) > 0)
            }
        if (candidates.isEmpty() || random.nextInt(3) == 0) return emptyList()
        val count = 1 + random.nextInt(3)
        return List(count) { candidates[maxOf(0, candidates.size - 1 - random.nextInt(6))] }.distinct()
    }

    private fun checkAndCancelService(id: String) {
        // A dependency may in turn wait for the quota of a team whose services are still running.
        val hasUnfinishedDependency = simulation.dependenciesOf[id].orEmpty().any { simulation.finalState(it) == null }
        val tasks = simulation.specs.getValue(id).tasks
        val isAsExpected =
            simulation.finalState(id) == "cancelled" ||
                simulation.runningReplicas(id) == tasks ||
                simulation.isTeamAtQuota(id) ||
                hasUnfinishedDependency
        val replicas = "${simulation.runningReplicas(id)} replicas of $tasks"
        assertTrue(isAsExpected, "seed $seed: $id has $replicas: ${simulation.describe(id)}")
        if (simulation.hasRecord(id)) assertTrue(simulation.cancel(id))
    }

    private fun checkFinalStates() {
        for (id in jobs) {
            val state = "done ${simulation.completedTasks[id]}: ${simulation.describe(id)}"
            assertTrue(simulation.finalState(id) != null, "seed $seed: $id has not ended, $state")
        }
        for (id in jobs) {
            val expected = if (simulation.abortedSince(id) == null) "done" else "cancelled"
            assertEquals(expected, simulation.finalState(id), "seed $seed: $id")
        }
    }

    private companion object {
        val TEAMS =
            listOf(
                Team("t0", 0.0, 0.0, null, null),
                Team("t1", 0.0, 4.0, null, 12.0),
                Team("t2", 0.0, 0.0, null, 6.0),
            )
    }
}
