package glenspool.core

import glenspool.simulation.FaultRates
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

/** Simulates whole days with faults of machines and of the network. */
class FaultSimulationTest {
    private fun simulate(seed: Long, faults: FaultRates) = RandomizedSimulation(seed, faults).run()

    @ParameterizedTest
    @ValueSource(longs = [1, 1056, 2, 3])
    fun `without faults all jobs end and more than 30 tasks start`(seed: Long) {
        assertTrue(simulate(seed, FaultRates()).startCount > 30)
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 11021, 11056, 11011, 12, 13, 14, 15, 16])
    fun `lost and delayed messages break no rule`(seed: Long) {
        simulate(seed, FaultRates(messageLoss = 0.1, delayedCommands = 0.1))
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 21157, 22, 23, 24, 25, 26])
    fun `machines that fail, hang, are cut off or reclaimed break no rule`(seed: Long) {
        simulate(
            seed,
            FaultRates(machineLosses = 0.02, machinePartitions = 0.04, hangs = 0.04, preemptionNotices = 0.05),
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53, 54, 55, 56])
    fun `machines that send heartbeats but are unreachable break no rule`(seed: Long) {
        simulate(seed, FaultRates(oneWayPartitions = 0.05, messageLoss = 0.03, failovers = 0.01))
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63, 64, 65, 66])
    fun `late duplicates of heartbeats and machines that restart break no rule`(seed: Long) {
        simulate(
            seed,
            FaultRates(
                duplicateHeartbeats = 0.3, machineLosses = 0.02, restarts = 0.02, machinePartitions = 0.02,
                failovers = 0.02,
            ),
        )
    }

    @Test
    fun `two runs with the same seed end at the same store revision`() {
        val faults = FaultRates(messageLoss = 0.05, delayedCommands = 0.05, failovers = 0.02, machineLosses = 0.01)
        assertEquals(simulate(41, faults).state.revision, simulate(41, faults).state.revision)
    }
}
