package glenspool.faults

import glenspool.simulation.CancellationSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * All controllers restart during an outage of the store, some of them several times, after a cancellation was
 * confirmed. None of them can know the cancellation, and its work must end in time nevertheless.
 */
class ControllerRestartChainTest {
    /** A simulation in which each worker runs a job of its own, named like the worker. */
    private fun simulation(seed: Long) =
        CancellationSimulation(seed, CancellationSimulation.SHORT_INTERVALS).apply {
            workers.forEach { it.jobs += it.name }
        }

    /** Users cancel all jobs at [moment], while their workers are cut from the network for [cut]. */
    private fun CancellationSimulation.cancelAll(moment: Duration, cut: Duration) {
        at(moment) {
            workers.forEach { it.cutUntil = now + cut }
            workers.forEach { members[0].cancel(it.name) }
        }
    }

    private fun CancellationSimulation.storeDown(from: Duration, until: Duration) = at(from) { storeDownUntil = until }

    private fun CancellationSimulation.stopAll(moment: Duration, time: Duration) =
        at(moment) { members.forEach { it.stop(time) } }

    private fun assertHeld(simulation: CancellationSimulation, seed: Long) {
        assertEquals(simulation.workers.size, simulation.confirmed.size, "seed $seed")
        assertEquals(emptyList<String>(), simulation.violations.take(3), "seed $seed")
    }

    // Controllers that have read nothing kept renewing the lease of a cancelled task from one restart to the next.
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `controllers that have read nothing do not renew leases, however often one or all of them restart`(seed: Long) {
        for (restartsAll in listOf(false, true)) {
            val simulation = simulation(seed)
            simulation.cancelAll(30.seconds, cut = 10.seconds)
            simulation.storeDown(30.8.seconds, until = 150.seconds)
            simulation.stopAll(31.seconds, 8.seconds)
            for (moment in listOf(49.seconds, 68.seconds)) {
                if (restartsAll) {
                    simulation.stopAll(moment, 8.seconds)
                } else {
                    simulation.at(moment) { simulation.members[2].stop(8.seconds) }
                }
            }
            simulation.run(200.seconds)
            assertHeld(simulation, seed)
        }
    }

    // A controller that had read nothing renewed a lease that came from one cut off since before the cancellation.
    @ParameterizedTest
    @ValueSource(longs = [4, 5, 6])
    fun `controllers that have read nothing do not extend the leases of a controller that was cut off`(seed: Long) {
        val simulation = simulation(seed)
        simulation.run(30.seconds)
        for (worker in simulation.workers) worker.nodeIndex = 0
        val (isolated, second, third) = simulation.members
        // A late message would tell the isolated controller of the cancellations, and it would stop their work.
        simulation.deliversLateMessages = false
        isolated.partitionedUntil = 150.seconds
        isolated.storeRefusedUntil = 150.seconds
        second.isCutFromWorkers = true
        third.isCutFromWorkers = true
        simulation.at(46.seconds) { simulation.workers.forEach { second.cancel(it.name) } }
        simulation.storeDown(47.seconds, until = 150.seconds)
        simulation.stopAll(80.seconds, 1.seconds)
        simulation.at(80.seconds) { listOf(second, third).forEach { it.isCutFromWorkers = false } }
        simulation.run(200.seconds)
        assertHeld(simulation, seed)
    }

    // A controller relied on another one not to confirm anything, although the production version had taken its place.
    @ParameterizedTest
    @ValueSource(longs = [7, 8, 9])
    fun `a controller that restarts in the production version is not relied on to wait with confirmations`(seed: Long) {
        val simulation = simulation(seed)
        val (first, replaced, third) = simulation.members
        simulation.run(29.seconds)
        listOf(first, third).forEach { it.storeRefusedUntil = 150.seconds }
        simulation.at(30.seconds) {
            replaced.isOldVersion = true
            // A node of the old version renews leases without limit, so no worker must reach it.
            replaced.isCutFromWorkers = true
            replaced.stop(8.seconds)
        }
        simulation.at(38.1.seconds) { simulation.workers.forEach { replaced.cancel(it.name) } }
        simulation.run(160.seconds)
        assertEquals(simulation.workers.size, simulation.confirmed.size, "seed $seed")
        val tooLate = simulation.violations.filter { "ran_cancelled" in it }
        assertEquals(emptyList<String>(), tooLate.take(3), "seed $seed")
    }
}
