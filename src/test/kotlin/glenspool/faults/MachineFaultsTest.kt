package glenspool.faults

import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.simulation.FaultRates
import glenspool.simulation.MachineFault
import glenspool.simulation.job
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration.Companion.seconds

/** Failures of machines and of whole zones combined with other faults. */
class MachineFaultsTest : FaultScenario() {
    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33, 34, 35, 36])
    fun `jobs bound to one zone, including arrays, lose machines`(seed: Long) {
        val simulation = simulation(seed, FaultRates(messageLoss = 0.03))
        simulation.submitEach(0 until 3) { array("z-$it", tasks = 4, zone = "b") }
        simulation.submitTracked(job("one-0", tasks = 5, sameZone = true, estimatedDuration = 40.seconds))
        simulation.submitTracked(
            job(
                "g-0", JobKind.GANG, 3, Resources(4.0, 2.0, 16.0), sameZone = true,
                estimatedDuration = 40.seconds, checkpointInterval = 5.seconds,
            ),
        )
        simulation.submitTracked(job("s-0", JobKind.SERVICE, 3, priority = Priority.CRITICAL, spread = true))
        simulation.run(25.seconds)
        val fault = if (seed % 2 == 0L) MachineFault.DIE else MachineFault.CUT
        simulation.injectFault(fault, 0.5, 45.seconds)
        if (seed % 3 == 0L) simulation.changeLeader(2.seconds)
        simulation.run(70.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44])
    fun `work is cancelled in a zone that is cut off with its controller for longer than a lease`(seed: Long) {
        val simulation = simulation(seed)
        simulation.submitEach(0 until 8) { number ->
            array("a-$number", estimatedDuration = 90.seconds, zone = if (number % 2 == 0) "b" else null)
        }
        simulation.run(20.seconds)
        simulation.partitionZone("b", if (seed % 2 == 0L) 30.seconds else 70.seconds)
        simulation.run(24.seconds)
        simulation.cancelRunningJobs(4, hang = false)
        simulation.run(110.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [151, 152, 153, 154])
    fun `workers cannot send heartbeats but still receive commands`(seed: Long) {
        val simulation = simulation(seed, FaultRates(heartbeatOutages = 0.02, messageLoss = 0.02))
        for (number in 0 until 14) {
            val spec = array("a-$number", tasks = 3, estimatedDuration = 20.seconds, team = "t${number % 3}")
            simulation.submitTracked(spec)
            simulation.runFor(6.seconds)
            when (number) {
                5 -> simulation.injectFault(MachineFault.MUTE, 0.4, 40.seconds)
                7 -> simulation.cancelRunningJobs(3, hang = false)
                8 -> simulation.changeLeader(2.seconds)
            }
        }
        simulation.runFor(60.seconds)
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [161, 162, 163, 164])
    fun `cancelled work on hanging machines ends in time though the cloud answers late`(seed: Long) {
        val simulation = simulation(seed, FaultRates(maxDeletionDelaySeconds = 6))
        simulation.submitEach(0 until 6) { array("a-$it", estimatedDuration = 200.seconds, team = "t${it % 2}") }
        simulation.run(20.seconds)
        simulation.cancelRunningJobs(4, hang = true)
        simulation.injectFault(MachineFault.HANG, 0.3, 55.seconds)
        if (seed % 2 == 0L) simulation.changeLeader(3.seconds)
        simulation.run(90.seconds)
        simulation.finishAndVerify(seed)
    }
}
