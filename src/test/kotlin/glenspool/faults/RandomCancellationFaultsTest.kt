package glenspool.faults

import glenspool.simulation.CancellationSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Partitions, rejections by the store, store outages, restarts of nodes and lost messages in random order, with
 * cancellations at any node.
 */
class RandomCancellationFaultsTest {
    @Test
    fun `cancelled work ends in time with random faults`() {
        val confirmed = (1L..300L).sumOf { runRandomFaults(it).confirmed.size }
        assertTrue(confirmed > 1000, "$confirmed confirmed")
    }

    private fun runRandomFaults(seed: Long): CancellationSimulation {
        val random = Random(seed)
        val settings = if (seed % 2 == 0L) CancellationSimulation.SHORT_INTERVALS else CancellationSimulation.SETTINGS
        val simulation = CancellationSimulation(seed, settings, messageLoss = if (seed % 3 == 0L) 0.1 else 0.0)
        scheduleEvents(simulation, random)
        simulation.run(400.seconds)
        assertEquals(emptyList<String>(), simulation.violations.take(3), "seed $seed")
        return simulation
    }

    private fun scheduleEvents(simulation: CancellationSimulation, random: Random) {
        var moment = 20.0
        var jobs = 0
        while (moment < 280.0) {
            moment += random.nextDouble() * 6
            val node = simulation.members[random.nextInt(3)]
            val span = (random.nextDouble() * 70).seconds
            val kind = random.nextInt(12)
            simulation.at(moment.seconds) {
                when (kind) {
                    0 -> node.storeRefusedUntil = simulation.now + span
                    1 -> node.partitionedUntil = simulation.now + span
                    2 -> simulation.storeDownUntil = simulation.now + span
                    3 -> node.stop(if (random.nextBoolean()) 300.milliseconds else 8.seconds)
                    else -> {
                        val worker = simulation.workers[random.nextInt(simulation.workers.size)]
                        val job = "j-${jobs++}"
                        worker.jobs += job
                        val cancelledAt = simulation.now + (random.nextDouble() * 20).seconds
                        simulation.at(cancelledAt) { node.cancel(job) }
                    }
                }
            }
        }
    }
}
