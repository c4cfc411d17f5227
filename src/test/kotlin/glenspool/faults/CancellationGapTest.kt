package glenspool.faults

import glenspool.config.WorkerSettings
import glenspool.simulation.CancellationNode
import glenspool.simulation.CancellationSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The store rejects only the leader, another controller confirms cancellations, and then the store is down for all
 * controllers, for longer than the cancellation deadline, while workers send their heartbeats to the old leader.
 * Cancelled work must nevertheless end in time, and no other work may be lost.
 */
class CancellationGapTest {
    /**
     * Creates a simulation in which all workers send their heartbeats to the old leader. Each worker runs one job of
     * each kind, named `kind-worker`.
     */
    private fun simulation(seed: Long, settings: WorkerSettings, vararg kinds: String): CancellationSimulation {
        val simulation = CancellationSimulation(seed, settings)
        for (worker in simulation.workers) {
            worker.nodeIndex = 0
            kinds.forEach { worker.jobs += "$it-${worker.name}" }
        }
        return simulation
    }

    private fun simulation(seed: Long, vararg kinds: String) = simulation(seed, CancellationSimulation.SETTINGS, *kinds)

    /** Schedules that users cancel the job `cancelled-worker` of each worker at the given moment. */
    private fun CancellationSimulation.cancelAll(moment: Duration, node: CancellationNode) {
        for (worker in workers) at(moment) { node.cancel("cancelled-${worker.name}") }
    }

    private fun CancellationSimulation.storeDown(from: Duration, until: Duration) = at(from) { storeDownUntil = until }

    private fun assertNoViolation(simulation: CancellationSimulation, seed: Long) {
        assertEquals(emptyList<String>(), simulation.violations.take(3), "seed $seed")
    }

    private fun assertNoCancelledJobRuns(simulation: CancellationSimulation, seed: Long) {
        assertTrue(simulation.workers.none { worker -> worker.jobs.any { it in simulation.confirmed } }, "seed $seed")
    }

    private fun assertAllConfirmed(simulation: CancellationSimulation) {
        assertEquals(simulation.workers.size, simulation.confirmed.size)
    }

    private fun assertNoJobKilled(simulation: CancellationSimulation, seed: Long) {
        assertEquals(emptyList<String>(), simulation.killedJobs, "seed $seed")
    }

    private fun assertNoHealthyJobKilled(simulation: CancellationSimulation, seed: Long) {
        assertEquals(emptyList<String>(), simulation.killedJobs.filter { it.startsWith("healthy") }, "seed $seed")
    }

    /**
     * Runs the sequence that the class comment describes, with the faults of [addFaults], and checks that no rule was
     * broken and no cancelled job still runs.
     */
    private fun runGapScenario(
        seed: Long,
        settings: WorkerSettings = CancellationSimulation.SETTINGS,
        addFaults: CancellationSimulation.() -> Unit = {},
    ): CancellationSimulation {
        val simulation = simulation(seed, settings, "cancelled", "healthy")
        simulation.run(30.seconds)
        val (leader, second, third) = simulation.members
        leader.storeRefusedUntil = 44.seconds
        simulation.storeDown(32.seconds, until = 93.seconds)
        for ((index, worker) in simulation.workers.withIndex()) {
            val node = if (index % 2 == 0) second else third
            simulation.at(30.seconds + (100 + index * 100).milliseconds) { node.cancel("cancelled-${worker.name}") }
        }
        simulation.addFaults()
        simulation.run(200.seconds)
        assertEquals(emptyList<String>(), simulation.violations, "seed $seed")
        assertNoCancelledJobRuns(simulation, seed)
        return simulation
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `cancelled work ends in time, and no other work is lost`(seed: Long) {
        for (settings in listOf(CancellationSimulation.SETTINGS, CancellationSimulation.SHORT_INTERVALS)) {
            val simulation = runGapScenario(seed, settings)
            assertAllConfirmed(simulation)
            assertNoJobKilled(simulation, seed)
            val healthy = simulation.workers.sumOf { worker -> worker.jobs.count { it.startsWith("healthy") } }
            assertEquals(simulation.workers.size, healthy)
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15])
    fun `the nodes that confirmed cancellations stop immediately afterwards`(seed: Long) {
        val simulation =
            runGapScenario(seed) {
                at(31.9.seconds) {
                    members[1].stop(6.seconds)
                    members[2].stop(200.milliseconds)
                }
            }
        assertTrue(simulation.confirmed.size > 3, "${simulation.confirmed.size} confirmed")
        assertNoHealthyJobKilled(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24, 25])
    fun `the old leader restarts within a second with an empty memory`(seed: Long) {
        val simulation = runGapScenario(seed) { at(33.seconds) { members[0].stop(500.milliseconds) } }
        assertAllConfirmed(simulation)
        assertNoJobKilled(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33, 34, 35])
    fun `cancellations are postponed while the old leader is partitioned from the other nodes`(seed: Long) {
        // The other nodes can't find out which cancellations the old leader knows, so they must not confirm any.
        for (span in listOf(20.seconds, 90.seconds)) {
            val simulation = runGapScenario(seed) { members[0].partitionedUntil = 30.seconds + span }
            assertEquals(0, simulation.confirmed.size)
            assertTrue(simulation.postponed > 0)
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33, 34, 35])
    fun `an old leader that was partitioned for a long time lets leases expire in time`(seed: Long) {
        val simulation = simulation(seed, "cancelled")
        simulation.run(30.seconds)
        simulation.members[0].partitionedUntil = 150.seconds
        simulation.members[0].storeRefusedUntil = 150.seconds
        simulation.cancelAll(48.seconds, simulation.members[1])
        simulation.storeDown(49.seconds, until = 120.seconds)
        simulation.run(200.seconds)
        assertAllConfirmed(simulation)
        assertNoViolation(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [36, 37, 38])
    fun `all nodes that know of a cancellation restart before the old leader is reachable again`(seed: Long) {
        val simulation = simulation(seed, "cancelled")
        simulation.run(30.seconds)
        simulation.members[0].partitionedUntil = 70.seconds
        simulation.members[0].storeRefusedUntil = 70.seconds
        simulation.cancelAll(50.seconds, simulation.members[1])
        simulation.storeDown(52.seconds, until = 170.seconds)
        // After the restart their memory is empty, so they report correctly that they know of no cancellation.
        simulation.at(60.seconds) { simulation.members.drop(1).forEach { it.stop(8.seconds) } }
        simulation.run(250.seconds)
        assertAllConfirmed(simulation)
        assertNoViolation(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44, 45])
    fun `the same sequence occurs twice within three minutes`(seed: Long) {
        val simulation = CancellationSimulation(seed)
        for (round in 0..1) {
            val from = 30.seconds + 84.seconds * round
            simulation.at(from) {
                for (worker in simulation.workers) worker.nodeIndex = round
                for (worker in simulation.workers) {
                    worker.jobs += listOf("cancelled-$round-${worker.name}", "healthy-$round-${worker.name}")
                }
            }
            simulation.at(from + 1.seconds) { simulation.members[round].storeRefusedUntil = from + 15.seconds }
            val next = simulation.members[(round + 1) % 3]
            for (worker in simulation.workers) {
                simulation.at(from + 2.seconds) { next.cancel("cancelled-$round-${worker.name}") }
            }
            simulation.storeDown(from + 3.seconds, until = from + 64.seconds)
        }
        simulation.run(260.seconds)
        assertEquals(emptyList<String>(), simulation.violations, "seed $seed")
        assertEquals(simulation.workers.size * 2, simulation.confirmed.size)
        assertNoJobKilled(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53])
    fun `no job is killed in a long store outage without confirmed cancellations, even if nodes restart`(seed: Long) {
        val simulation = CancellationSimulation(seed, CancellationSimulation.SHORT_INTERVALS)
        for (worker in simulation.workers) worker.jobs += "healthy-${worker.name}"
        simulation.run(30.seconds)
        simulation.storeDownUntil = 200.seconds
        for (number in 0..5) {
            val downTime = if (number % 2 == 0) 8.seconds else 300.milliseconds
            simulation.at((50 + number * 20).seconds) { simulation.members[number % 3].stop(downTime) }
        }
        simulation.run(250.seconds)
        assertNoJobKilled(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63])
    fun `a node with peers of the production version renews leases only while it cannot miss a cancellation`(
        seed: Long,
    ) {
        val simulation = simulation(seed, "cancelled")
        simulation.members[1].isOldVersion = true
        simulation.members[2].isOldVersion = true
        simulation.run(30.seconds)
        simulation.members[0].storeRefusedUntil = 44.seconds
        simulation.cancelAll(31.seconds, simulation.members[1])
        simulation.storeDown(32.seconds, until = 93.seconds)
        // A node of the old version renews leases without limit, so workers that the new node refuses must not reach
        // one.
        simulation.at(33.seconds) { simulation.members.drop(1).forEach { it.downUntil = 150.seconds } }
        simulation.run(200.seconds)
        assertNoViolation(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73])
    fun `hundreds of cancellations arrive within a fifth of a second`(seed: Long) {
        val simulation = simulation(seed, "healthy")
        val workers = simulation.workers
        val jobs = (0 until 600).map { "many-$it" }
        for ((index, job) in jobs.withIndex()) workers[index % workers.size].jobs += job
        simulation.run(30.seconds)
        simulation.members[0].storeRefusedUntil = 44.seconds
        for ((index, job) in jobs.withIndex()) {
            val node = simulation.members[1 + index % 2]
            simulation.at(30.5.seconds + (index / 3).milliseconds) { node.cancel(job) }
        }
        simulation.storeDown(31.seconds, until = 93.seconds)
        simulation.run(200.seconds)
        assertNoViolation(simulation, seed)
        assertEquals(jobs.size, simulation.confirmed.size)
        assertNoJobKilled(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83])
    fun `the node that stored a cancellation stops before it answers, and another node confirms it`(seed: Long) {
        val simulation = simulation(seed, "cancelled", "healthy")
        simulation.run(30.seconds)
        simulation.members[0].storeRefusedUntil = 44.seconds
        simulation.cancelAll(30.2.seconds, simulation.members[1])
        simulation.at(30.201.seconds) { simulation.members[1].stop(6.seconds) }
        simulation.cancelAll(31.2.seconds, simulation.members[2])
        simulation.storeDown(33.seconds, until = 94.seconds)
        simulation.run(200.seconds)
        assertNoViolation(simulation, seed)
        assertNoCancelledJobRuns(simulation, seed)
        assertNoHealthyJobKilled(simulation, seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [91, 92, 93])
    fun `the store is slow instead of down`(seed: Long) {
        val simulation =
            runGapScenario(seed) {
                at(29.seconds) { storeSlowUntil = 120.seconds }
                at(33.seconds) { storeDownUntil = 33.seconds }
            }
        assertAllConfirmed(simulation)
        assertNoJobKilled(simulation, seed)
    }
}
