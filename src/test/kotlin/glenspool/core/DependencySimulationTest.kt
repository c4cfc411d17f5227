package glenspool.core

import glenspool.simulation.FaultRates
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Simulates whole days of jobs with dependencies. */
class DependencySimulationTest {
    @ParameterizedTest
    @ValueSource(longs = [101, 102, 103, 104])
    fun `jobs start when all of their dependencies are done, and are aborted if one is cancelled`(seed: Long) {
        val day = RandomizedSimulation(seed, FaultRates(), hasDependencies = true).run()
        assertTrue(day.dependenciesOf.size > 5)
        assertTrue(day.dependenciesOf.keys.any { day.finalState(it) == "done" })
    }

    @ParameterizedTest
    @ValueSource(longs = [111, 112, 113, 114, 115, 116, 117, 118])
    fun `jobs with dependencies break no rule amid all faults and failovers`(seed: Long) {
        val faults =
            FaultRates(
                messageLoss = 0.05, delayedCommands = 0.05, duplicateHeartbeats = 0.05, oneWayPartitions = 0.01,
                storeOutages = 0.02, failovers = 0.04,
                machineLosses = 0.01, machinePartitions = 0.02, hangs = 0.01, restarts = 0.01, leaderIsolations = 0.01,
            )
        RandomizedSimulation(seed, faults, hasDependencies = true, allControllersNew = true).run()
    }

    @ParameterizedTest
    @ValueSource(longs = [121, 122, 123, 124, 125, 126, 127, 128])
    fun `leaders of old and new versions in turn break no rule for jobs with dependencies`(seed: Long) {
        val faults =
            FaultRates(
                messageLoss = 0.05, delayedCommands = 0.05, failovers = 0.06, storeOutages = 0.02,
                machineLosses = 0.01, machinePartitions = 0.02, oldVersionLeaders = 0.5,
            )
        RandomizedSimulation(seed, faults, hasDependencies = true).run()
    }
}
