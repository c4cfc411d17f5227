package glenspool.core

import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.RecoveryPhase
import glenspool.simulation.FaultRates
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Simulates whole days with failovers, isolated leaders and recoveries after cold starts. */
class FailoverSimulationTest {
    @ParameterizedTest
    @ValueSource(longs = [31085, 31, 33, 34, 35, 36])
    fun `failovers amid delayed messages and outages break no rule`(seed: Long) {
        val faults =
            FaultRates(
                messageLoss = 0.05, delayedCommands = 0.08, failovers = 0.03, storeOutages = 0.02,
                machinePartitions = 0.02, hangs = 0.02, machineLosses = 0.01,
            )
        RandomizedSimulation(seed, faults).run()
    }

    @ParameterizedTest
    @ValueSource(longs = [131, 132, 133, 134])
    fun `split records break no rule amid failovers`(seed: Long) {
        // The value limit is so small that hardly any placement fits into a record.
        val faults = FaultRates(messageLoss = 0.05, delayedCommands = 0.05, failovers = 0.04, machineLosses = 0.01)
        val day =
            RandomizedSimulation(
                seed, faults, hasDependencies = seed % 2 == 0L, allControllersNew = true, valueBytes = 800,
            ).run()
        assertEquals(0, day.oversizedTransactionCount)
        assertTrue(day.state.log.any { it.first.startsWith("g/p/") }, "no part was stored")
    }

    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73, 74, 75, 76])
    fun `a leader isolated with its workers breaks no rule, alone and with all other faults`(seed: Long) {
        val singleFaults = FaultRates(leaderIsolations = 0.03)
        val combinedFaults =
            singleFaults.copy(
                messageLoss = 0.05, delayedCommands = 0.05, duplicateHeartbeats = 0.1, oneWayPartitions = 0.02,
                storeOutages = 0.01, hangs = 0.02, restarts = 0.01,
            )
        RandomizedSimulation(seed, if (seed % 2 == 0L) singleFaults else combinedFaults).run()
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83, 84])
    fun `a zone cut off with its controller breaks no rule, alone and with all other faults`(seed: Long) {
        val singleFaults = FaultRates(zonePartitions = 0.03)
        val combinedFaults =
            singleFaults.copy(
                messageLoss = 0.05, delayedCommands = 0.05, duplicateHeartbeats = 0.1, failovers = 0.02,
                machineLosses = 0.01, hangs = 0.02,
            )
        RandomizedSimulation(seed, if (seed % 2 == 0L) singleFaults else combinedFaults).run()
    }

    @ParameterizedTest
    @ValueSource(longs = [141, 142, 143, 144, 145, 146, 147, 148, 149, 150])
    fun `recoveries after cold starts break no rule, alone and with all other faults`(seed: Long) {
        val singleFaults = FaultRates(heartbeatOutages = 0.02, machineLosses = 0.01)
        val combinedFaults =
            FaultRates(
                messageLoss = 0.05, delayedCommands = 0.05, duplicateHeartbeats = 0.1, oneWayPartitions = 0.02,
                failovers = 0.02, machineLosses = 0.01, machinePartitions = 0.02,
                hangs = 0.02, restarts = 0.01, leaderIsolations = 0.01, heartbeatOutages = 0.02,
                heartbeatsForNextTerm = 0.05, zonePartitions = 0.005,
            )
        val faults = if (seed % 2 == 0L) singleFaults else combinedFaults
        val day =
            RandomizedSimulation(
                seed, faults, hasDependencies = seed % 3 == 0L, allControllersNew = true, coldStarts = true,
            ).run()
        val phases = day.recoveryNotices.filterIsInstance<RecoveryNotice.PhaseEntered>().map { it.state.phase }
        assertTrue(phases.any { it >= RecoveryPhase.GATHERING }, "no recovery was started")
    }
}
