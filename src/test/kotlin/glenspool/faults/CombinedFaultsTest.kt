package glenspool.faults

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.simulation.FaultRates
import glenspool.simulation.job
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Faults of messages and transactions under load, and random combinations of all faults. */
class CombinedFaultsTest : FaultScenario() {
    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53, 54])
    fun `commands and their replies are delayed for seconds, and hung machines resume`(seed: Long) {
        val simulation =
            simulation(
                seed,
                FaultRates(delayedCommands = 0.4, hangs = 0.05, messageLoss = 0.05, cancellationBursts = 0.01),
            )
        for (number in 0 until 20) {
            simulation.submitTracked(array("a-$number", team = "t${number % 3}", estimatedDuration = 15.seconds))
            simulation.runFor(4.seconds)
        }
        simulation.runFor(40.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [91, 92, 93, 94])
    fun `there is more work of all priorities than capacity, over slow links`(seed: Long) {
        val simulation = simulation(seed, FaultRates(delayedCommands = 0.1, messageLoss = 0.1), machines = 4)
        for (number in 0 until 24) {
            val priority = listOf(Priority.IDLE, Priority.STANDARD, Priority.URGENT)[number % 3]
            val spec = array("a-$number", tasks = 4, team = "t${number % 2}", estimatedDuration = 12.seconds)
            simulation.submitTracked(spec.copy(priority = priority))
            simulation.runFor(1.seconds)
        }
        simulation.runFor(60.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [121, 122, 123, 124])
    fun `four one-task jobs a second are submitted for minutes, and one is cancelled after every fourth`(seed: Long) {
        val simulation =
            simulation(
                seed,
                FaultRates(messageLoss = 0.02, delayedCommands = 0.02, immediateCommitShare = 0.5),
                machines = 12,
            )
        val random = Random(seed)
        for (number in 0 until 480) {
            val duration = (2 + random.nextInt(6)).seconds
            val team = if (number % 8 == 0) "t1" else "t0"
            simulation.submitTracked(array("a-$number", tasks = 1, estimatedDuration = duration, team = team))
            simulation.runFor(250.milliseconds)
            if (number % 4 == 0) simulation.cancel("a-${maxOf(0, number - random.nextInt(12))}")
        }
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [131, 132, 133, 134])
    fun `transactions without a response are executed immediately, or late after newer ones`(seed: Long) {
        val immediateCommitShare = if (seed % 2 == 0L) 1.0 else 0.2
        val simulation =
            simulation(
                seed,
                FaultRates(messageLoss = 0.5, immediateCommitShare = immediateCommitShare, failovers = 0.02),
            )
        for (number in 0 until 15) {
            val spec = array("a-$number", tasks = 2, estimatedDuration = 8.seconds, team = "t${number % 3}")
            simulation.submitTracked(spec)
            simulation.runFor(5.seconds)
            if (number % 4 == 3) simulation.cancelRunningJobs(2, hang = false)
        }
        simulation.runFor(20.seconds)
        simulation.finishAndVerify(seed)
    }

    private val allFaults =
        listOf<FaultRates.() -> FaultRates>(
            { copy(messageLoss = 0.1, immediateCommitShare = 0.5) },
            { copy(delayedCommands = 0.1) },
            { copy(machinePartitions = 0.04) },
            { copy(hangs = 0.04) },
            { copy(failovers = 0.05) },
            { copy(storeOutages = 0.02) },
            { copy(oneWayPartitions = 0.03) },
            { copy(duplicateHeartbeats = 0.2) },
            { copy(leaderIsolations = 0.02) },
            { copy(zonePartitions = 0.02) },
            { copy(restarts = 0.02) },
            { copy(heartbeatOutages = 0.03) },
            { copy(heartbeatsForNextTerm = 0.3) },
            { copy(cancellationBursts = 0.02) },
            { copy(maxDeletionDelaySeconds = 4) },
            { copy(machineLosses = 0.02) },
        )

    private fun randomFaults(random: Random): FaultRates {
        val chosen = allFaults.shuffled(random).take(3 + random.nextInt(2))
        return chosen.fold(FaultRates()) { rates, withFault -> rates.withFault() }
    }

    private fun randomJob(random: Random, number: Int): JobSpec =
        when (random.nextInt(6)) {
            0 -> service("s-$number", 1 + random.nextInt(2), "t${random.nextInt(3)}")
            1 ->
                job(
                    "g-$number", JobKind.GANG, 2 + random.nextInt(2), Resources(4.0, 2.0, 16.0),
                    sameZone = random.nextBoolean(), estimatedDuration = 15.seconds,
                )
            2 -> array("z-$number", zone = "b", estimatedDuration = 20.seconds)
            else ->
                array(
                    "a-$number", tasks = 1 + random.nextInt(4), team = "t${random.nextInt(3)}",
                    estimatedDuration = (3 + random.nextInt(30)).seconds,
                )
        }

    @ParameterizedTest
    @ValueSource(
        longs = [
            201, 202, 203, 204, 205, 206, 207, 208, 209, 210, 211, 212, 213, 214, 215, 216, 217, 218, 219, 220,
        ],
    )
    fun `three or four kinds of faults are combined at random`(seed: Long) {
        val random = Random(seed)
        val simulation = simulation(seed, randomFaults(random))
        for (number in 0 until 20) {
            simulation.submitTracked(randomJob(random, number))
            simulation.runFor((1 + random.nextInt(8)).seconds)
            if (random.nextInt(4) == 0) simulation.cancel(ids[random.nextInt(ids.size)])
        }
        simulation.runFor(40.seconds)
        simulation.finishAndVerify(seed)
    }
}
