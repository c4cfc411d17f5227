package glenspool.faults

import glenspool.config.WorkerSettings
import glenspool.simulation.CancellationNode
import glenspool.simulation.CancellationSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Random chains of restarts around an outage of the store: one, two or all controllers, together or in turn, several
 * times; machines that are cut from the network and come back, controllers that are partitioned before, clocks that
 * drift, and controllers of the version in production.
 */
class RandomRestartChainTest {
    /** How controllers change to the version in production and back, which they do only when they restart. */
    private enum class VersionChanges {
        NONE,

        /** As docs/upgrade.md says, a controller is replaced by the version in production only after a wait. */
        AFTER_WAIT,

        /** Within seconds, but no controller is partitioned, so that the others notice. */
        WITHOUT_WAIT,
    }

    @Test
    fun `cancelled work ends in time over random chains of restarts`() {
        val confirmed =
            (1L..SEEDS).sumOf { seed ->
                val simulation = runChain(seed, VersionChanges.NONE)
                assertHeld(simulation, seed)
                simulation.confirmed.size
            }
        assertTrue(confirmed > SEEDS * 2, "$confirmed confirmed")
    }

    @Test
    fun `cancelled work ends in time over random chains of restarts that change the version`() {
        for (seed in 1L..SEEDS) assertHeld(runChain(seed, VersionChanges.AFTER_WAIT), seed)
    }

    @Test
    fun `cancelled work ends in time over random chains of restarts that change the version without a wait`() {
        for (seed in 1L..SEEDS) {
            val simulation = runChain(seed, VersionChanges.WITHOUT_WAIT)
            // Until the others notice the change they may claim too much, which must not keep cancelled work alive.
            val tooLate = simulation.violations.filter { "ran_cancelled" in it }
            assertEquals(emptyList<String>(), tooLate.take(3), "seed $seed")
        }
    }

    private fun assertHeld(simulation: CancellationSimulation, seed: Long) =
        assertEquals(emptyList<String>(), simulation.violations.take(3), "seed $seed")

    private fun runChain(seed: Long, versionChanges: VersionChanges): CancellationSimulation {
        val settings = SETTINGS[(seed % SETTINGS.size).toInt()]
        val messageLoss = if (seed % 5 == 0L) 0.1 else 0.0
        val simulation = CancellationSimulation(seed, settings, messageLoss)
        RestartChain(simulation, Random(seed), versionChanges).schedule()
        simulation.run(END)
        return simulation
    }

    /** The events of one chain. */
    private class RestartChain(
        private val simulation: CancellationSimulation,
        private val random: Random,
        private val versionChanges: VersionChanges,
    ) {
        private val changesVersions = versionChanges != VersionChanges.NONE

        /** When a member that was replaced by the version in production may start at the earliest. */
        private val replacedFrom = HashMap<CancellationNode, Duration>()

        fun schedule() {
            simulation.workers.forEach { worker -> worker.jobs += worker.name }
            if (changesVersions && chance(0.5)) setVersion(anyMember(), isOld = true)
            if (chance(0.4)) cutOffMember()
            // While the store refuses two members, only the third, perhaps of the old version, confirms cancellations.
            if (changesVersions && chance(0.5)) repeat(2) { cutOffMember() }
            val outageStart = 32.seconds + upTo(20.seconds)
            val outage = 30.seconds + upTo(90.seconds)
            simulation.at(outageStart) { simulation.storeDownUntil = simulation.now + outage }
            simulation.workers.filter { chance(0.5) }.forEach { worker ->
                val cancelledAt = 28.seconds + upTo(outageStart - 28.seconds)
                val cut = upTo(simulation.settings.lease * 1.2)
                if (chance(0.6)) simulation.at(cancelledAt) { worker.cutUntil = simulation.now + cut }
                requestCancellation(worker.name, cancelledAt)
            }
            scheduleRestarts(outageStart, outageStart + outage)
            repeat(6) { cutWorker(outageStart + upTo(outage)) }
        }

        private fun chance(probability: Double) = random.nextDouble() < probability

        private fun upTo(limit: Duration) = limit * random.nextDouble()

        private fun anyMember() = simulation.members[random.nextInt(simulation.members.size)]

        /** Cuts a member from the store and the other controllers, but not from the workers. */
        private fun cutOffMember() {
            val member = anyMember()
            val until = 40.seconds + upTo(100.seconds)
            simulation.at(10.seconds + upTo(30.seconds)) {
                member.storeRefusedUntil = until
                val isPartitioned = versionChanges != VersionChanges.WITHOUT_WAIT && chance(0.7)
                if (isPartitioned) member.partitionedUntil = until
            }
        }

        /** A user repeats the request at any controller until it is confirmed, for a minute at most. */
        private fun requestCancellation(job: String, from: Duration) {
            repeat(40) { attempt ->
                simulation.at(from + 1500.milliseconds * attempt) {
                    if (job !in simulation.confirmed) anyMember().cancel(job)
                }
            }
        }

        private fun scheduleRestarts(outageStart: Duration, outageEnd: Duration) {
            var moment = if (chance(0.5)) 18.seconds else outageStart - 2.seconds + upTo(20.seconds)
            while (moment < outageEnd) {
                when (random.nextInt(4)) {
                    0 -> restart(anyMember(), moment)
                    1 -> simulation.members.forEach { if (chance(0.7)) restart(it, moment) }
                    2 -> simulation.members.forEach { restart(it, moment) }
                    else -> simulation.members.forEach { restart(it, moment + upTo(10.seconds)) }
                }
                moment += 300.milliseconds + upTo(25.seconds)
            }
        }

        private fun restart(member: CancellationNode, moment: Duration) {
            val time = if (chance(0.3)) 300.milliseconds else 6.seconds + upTo(2.seconds)
            val changesVersion = changesVersions && chance(0.2)
            simulation.at(moment) {
                if (changesVersion) setVersion(member, isOld = !member.isOldVersion)
                val waits = member.isOldVersion && versionChanges == VersionChanges.AFTER_WAIT
                if (changesVersion && waits) replacedFrom[member] = simulation.now + REPLACEMENT_WAIT
                // A restart during the wait does not shorten it.
                val remainingWait = replacedFrom[member]?.let { it - simulation.now } ?: Duration.ZERO
                member.stop(maxOf(time, remainingWait))
            }
        }

        /** No worker reaches a controller of the old version, which renews leases without a limit. */
        private fun setVersion(member: CancellationNode, isOld: Boolean) {
            member.isOldVersion = isOld
            member.isCutFromWorkers = isOld
        }

        private fun cutWorker(moment: Duration) {
            val worker = simulation.workers[random.nextInt(simulation.workers.size)]
            val cut = upTo(simulation.settings.lease * 1.2)
            simulation.at(moment) { worker.cutUntil = simulation.now + cut }
        }
    }

    private companion object {
        const val SEEDS = 400L
        val END = 220.seconds

        /** See docs/upgrade.md, "Rolling back". */
        val REPLACEMENT_WAIT = 15.seconds

        /** Deployments with leases from an eighth to a half of the deadline. */
        val SETTINGS =
            listOf(
                CancellationSimulation.SETTINGS,
                CancellationSimulation.SHORT_INTERVALS,
                WorkerSettings(4.seconds, 22.seconds, 30.seconds, 6.seconds, 52.seconds),
                WorkerSettings(1.seconds, 6.seconds, 30.seconds, 6.seconds, 48.seconds),
            )
    }
}
