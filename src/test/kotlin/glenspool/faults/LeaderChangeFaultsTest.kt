package glenspool.faults

import glenspool.core.model.Resources
import glenspool.simulation.FaultRates
import glenspool.simulation.MachineFault
import glenspool.simulation.bigType
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Changes of the leader combined with other faults. */
class LeaderChangeFaultsTest : FaultScenario() {
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a leader stops while machines with long tasks are partitioned, or unreachable for the new leader`(seed: Long) {
        val simulation = simulation(seed)
        simulation.submitEach(0 until 6) { array("a-$it", team = "t${it % 2}", estimatedDuration = 100.seconds) }
        simulation.run(20.seconds)
        val fault = if (seed % 2 == 0L) MachineFault.CUT else MachineFault.UNREACHABLE
        simulation.injectFault(fault, 0.5, 30.seconds)
        simulation.changeLeader(2.seconds)
        simulation.run(50.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16])
    fun `every team is at its quota while jobs on lost machines are cancelled and the leader changes`(seed: Long) {
        val simulation = simulation(seed)
        simulation.submitEach(0 until 10) { number ->
            array("a-$number", tasks = 2, team = "t${1 + number % 2}", estimatedDuration = 50.seconds)
        }
        simulation.run(15.seconds)
        simulation.cancelRunningJobs(4, hang = seed % 2 == 0L)
        if (seed % 2 == 1L) simulation.injectFault(MachineFault.CUT, 0.4, 40.seconds)
        simulation.run(15.3.seconds)
        simulation.changeLeader(if (seed % 3 == 0L) 200.milliseconds else 3.seconds)
        // These jobs wait for capacity that only seems to be free.
        simulation.submitEach(10 until 16) { number ->
            array("a-$number", tasks = 4, team = "t${1 + number % 2}", estimatedDuration = 20.seconds)
        }
        simulation.run(60.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24])
    fun `jobs of a team at its quota are cancelled during an election while machines are unreachable`(seed: Long) {
        val simulation = simulation(seed)
        simulation.submitEach(0 until 4) { array("a-$it", tasks = 2, team = "t1", estimatedDuration = 60.seconds) }
        simulation.submitTracked(service("s-1", 4, "t2"))
        simulation.run(15.seconds)
        simulation.injectFault(MachineFault.UNREACHABLE, 0.5, 35.seconds)
        simulation.changeLeader(4.seconds)
        simulation.run(16.seconds)
        simulation.cancelRunningJobs(2, hang = false)
        simulation.submitEach(4 until 10) { number ->
            array("a-$number", tasks = 3, team = "t${1 + number % 2}", estimatedDuration = 20.seconds)
        }
        simulation.run(60.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63, 64, 65, 66])
    fun `leaders change ten times in two minutes, also during an outage of the store`(seed: Long) {
        val simulation =
            simulation(seed, FaultRates(delayedCommands = 0.05, messageLoss = 0.03, duplicateHeartbeats = 0.1))
        val random = Random(seed)
        for (number in 0 until 10) {
            val tasks = 1 + random.nextInt(3)
            val duration = (5 + random.nextInt(40)).seconds
            simulation.submitTracked(array("a-$number", tasks, "t${number % 3}", duration))
            simulation.changeLeader((200 + random.nextInt(4000)).milliseconds)
            if (seed % 2 == 0L && number == 4) simulation.startStoreOutage(25.seconds)
            simulation.runFor((4 + random.nextInt(12)).seconds)
            if (number % 3 == 1) simulation.cancel("a-${random.nextInt(number)}")
        }
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73, 74])
    fun `jobs of two or three tasks end at different times while leaders change`(seed: Long) {
        val simulation = simulation(seed, FaultRates(messageLoss = 0.1, immediateCommitShare = 0.5))
        simulation.submitEach(0 until 12) { number ->
            array(
                "a-$number", tasks = 2 + number % 2, estimatedDuration = (2 + number).seconds,
                resourceRequest = Resources(12.0, 3.0, 40.0),
            )
        }
        while (simulation.now < 90.seconds) {
            simulation.runFor(7.seconds)
            simulation.changeLeader(if (seed % 2 == 0L) 100.milliseconds else 3.seconds)
        }
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83, 84, 85, 86])
    fun `jobs are cancelled in the seconds of a failover`(seed: Long) {
        val simulation =
            simulation(
                seed,
                FaultRates(
                    delayedCommands = 0.1, messageLoss = 0.05, immediateCommitShare = 0.5, heartbeatsForNextTerm = 0.2,
                ),
            )
        for (round in 0 until 6) {
            simulation.submitEach(0 until 5) { number ->
                array("a-$round-$number", team = "t${number % 3}", estimatedDuration = 25.seconds)
            }
            simulation.runFor(9.seconds + (seed * 70).milliseconds)
            simulation.changeLeader(2.seconds)
            simulation.cancelRunningJobs(3, hang = round % 2 == 0)
            simulation.runFor((500 * round).milliseconds)
            simulation.cancelRunningJobs(2, hang = false)
        }
        simulation.runFor(50.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [101, 102, 103, 104])
    fun `new machines start immediately and get work while writes are delayed and the leader stops`(seed: Long) {
        val simulation = simulation(seed, FaultRates(messageLoss = 0.4, immediateCommitShare = 0.3), machines = 2)
        simulation.submitEach(0 until 8) { number ->
            array("a-$number", tasks = 4, estimatedDuration = 20.seconds, team = "t${number % 2}")
        }
        simulation.runFor(2.seconds)
        for (number in 0 until 6) {
            val zone = if (number % 2 == 0) "a" else "b"
            simulation.addMachine(bigType, zone, false, (100 + number * 300).milliseconds)
        }
        simulation.runFor(2.seconds)
        simulation.changeLeader(500.milliseconds)
        simulation.runFor(4.seconds)
        simulation.changeLeader(3.seconds)
        simulation.runFor(40.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [111, 112, 113, 114])
    fun `all controllers are down for longer than a lease or for a moment, and leaders change soon after`(seed: Long) {
        val simulation = simulation(seed, FaultRates(heartbeatsForNextTerm = 0.3, delayedCommands = 0.1))
        simulation.submitEach(0 until 8) { array("a-$it", estimatedDuration = 70.seconds, team = "t${it % 3}") }
        simulation.submitTracked(service("s-0"))
        simulation.run(20.seconds)
        simulation.stopControllers(if (seed % 2 == 0L) 25.seconds else 800.milliseconds)
        simulation.run(60.seconds)
        repeat(4) {
            simulation.changeLeader(150.milliseconds)
            simulation.runFor(700.milliseconds)
        }
        simulation.runFor(20.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [141, 142, 143, 144, 145, 146])
    fun `heartbeats of earlier incarnations and attempts reach a new leader as its term begins`(seed: Long) {
        val faults =
            FaultRates(
                heartbeatsForNextTerm = 0.5, duplicateHeartbeats = 0.2, machinePartitions = 0.03, restarts = 0.01,
            )
        val simulation = simulation(seed, faults)
        for (number in 0 until 12) {
            val spec = array("a-$number", tasks = 3, estimatedDuration = 12.seconds, team = "t${number % 3}")
            simulation.submitTracked(spec)
            simulation.runFor(6.seconds)
            if (number % 2 == 0) simulation.changeLeader((300 + 500 * (number % 5)).milliseconds)
            if (number % 5 == 4) simulation.cancelRunningJobs(2, hang = true)
        }
        simulation.runFor(20.seconds)
        simulation.finishAndVerify(seed)
    }
}
