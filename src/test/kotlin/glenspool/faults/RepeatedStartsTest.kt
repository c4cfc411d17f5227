package glenspool.faults

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.MachineFault
import glenspool.simulation.TaskSlot
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import org.junit.jupiter.params.provider.ValueSource
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Copies of start commands that workers have executed and answered arrive again, from milliseconds to several leases
 * later. None of them may start a task.
 */
class RepeatedStartsTest : FaultScenario() {
    /** What happens between the end of the attempts and the arrival of the copies. */
    enum class Interruption(val apply: (ClusterSimulation) -> Unit) {
        NONE({}),
        ALL_CONTROLLERS_BACK_WITHIN_A_SECOND({ it.stopControllers(800.milliseconds) }),
        LEADER_CHANGES_WITHIN_A_SECOND({ it.changeLeader(300.milliseconds) }),
        NOBODY_LEADS({ it.changeLeader(20.seconds) }),
        STORE_OUT({ it.startStoreOutage(20.seconds) }),
        MACHINES_HANG_FOR_A_MOMENT({ it.injectFault(MachineFault.HANG, 1.0, 800.milliseconds) }),
        MACHINES_CUT_FOR_A_MOMENT({ it.injectFault(MachineFault.CUT, 1.0, 800.milliseconds) }),
        LEASES_EXPIRE({ simulation -> simulation.machineNames.forEach(simulation::expireLease) }),
    }

    @ParameterizedTest
    @EnumSource
    fun `a late copy of an answered start does not start a task that was moved`(interruption: Interruption) {
        for (kind in JobKind.entries) {
            val simulation = simulationWith(jobOf(kind, 300.seconds))
            simulation.failTasksOnOneMachine(JOB)
            simulation.receiveCopies(4.seconds)
            interruption.apply(simulation)
            simulation.receiveCopies(100.seconds)
            simulation.verifyNothingStartedAgain("$kind")
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a late copy of an answered start does not start a task of a cancelled job`(interruption: Interruption) {
        for (kind in JobKind.entries) {
            val simulation = simulationWith(jobOf(kind, 300.seconds))
            assertTrue(simulation.cancel(JOB))
            simulation.receiveCopies(4.seconds)
            interruption.apply(simulation)
            simulation.receiveCopies(100.seconds)
            assertEquals("cancelled", simulation.finalState(JOB))
            simulation.verifyNothingStartedAgain("$kind")
        }
    }

    @ParameterizedTest
    @EnumSource
    fun `a late copy of an answered start does not start a task that is done`(interruption: Interruption) {
        for (kind in listOf(JobKind.ARRAY, JobKind.GANG)) {
            val simulation = simulationWith(jobOf(kind, 10.seconds))
            simulation.receiveCopies(20.seconds)
            interruption.apply(simulation)
            simulation.receiveCopies(100.seconds)
            assertNotNull(simulation.finalState(JOB))
            simulation.verifyNothingStartedAgain("$kind")
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [201, 202, 203, 204, 205, 206, 207, 208])
    fun `copies of answered commands arrive at random moments while tasks fail and leaders change`(seed: Long) {
        val faults =
            FaultRates(
                repeatedCommands = 0.7, taskFailures = 0.3, messageLoss = 0.02, failovers = 0.03,
                machinePartitions = 0.02, hangs = 0.02, cancellationBursts = 0.01,
            )
        val simulation = simulation(seed, faults)
        simulation.submitTracked(service("s-0"))
        simulation.submitTracked(job("g-0", JobKind.GANG, tasks = 3, estimatedDuration = 40.seconds))
        for (number in 0 until 20) {
            simulation.submitTracked(array("a-$number", team = "t${number % 3}", estimatedDuration = 25.seconds))
            simulation.runFor(5.seconds)
        }
        simulation.finishAndVerify(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [221, 222, 223, 224])
    fun `copies of commands that start one task and stop another arrive while jobs are cancelled`(seed: Long) {
        // While a delayed command has no answer, further ones for the same machine are collected.
        val simulation = simulation(seed, FaultRates(repeatedCommands = 0.8, delayedCommands = 0.3), machines = 3)
        for (number in 0 until 40) {
            simulation.submitTracked(array("a-$number", tasks = 2, estimatedDuration = 12.seconds))
            simulation.runFor(1.5.seconds)
            simulation.cancelRunningJobs(1, hang = false)
        }
        simulation.finishAndVerify(seed)
        assertTrue(simulation.hasExecutedStartAndStopAtOnce())
    }

    @ParameterizedTest
    @ValueSource(longs = [211, 212, 213, 214])
    fun `copies of transactions, heartbeats and commands arrive while leaders change`(seed: Long) {
        val faults =
            FaultRates(
                repeatedCommands = 0.5, repeatedTransactions = 0.7, duplicateHeartbeats = 0.3,
                heartbeatsForNextTerm = 0.2, taskFailures = 0.1, messageLoss = 0.05, failovers = 0.05,
            )
        val simulation = simulation(seed, faults)
        for (number in 0 until 30) {
            simulation.submitTracked(array("a-$number", team = "t${number % 3}", estimatedDuration = 15.seconds))
            simulation.runFor(3.seconds)
            if (number % 4 == 3) simulation.cancelRunningJobs(1, hang = false)
        }
        simulation.finishAndVerify(seed)
    }

    @Test
    fun `a late copy does not start a task on a machine that has lost its session and its token`() {
        val simulation = simulation(SEED, machines = 6)
        // Keeps the machines in use, so that none is returned.
        simulation.submit(service("s", tasks = 12, team = "t0"))
        simulation.submit(jobOf(JobKind.ARRAY, 300.seconds))
        simulation.runFor(8.seconds)
        val machine = simulation.failTasksOnOneMachine(JOB)
        simulation.runFor(90.seconds)
        simulation.restartMachine(machine)
        assertEquals(0, simulation.deliverCopiesAcrossRestarts())
    }

    /**
     * Guards against a task that runs unseen on a machine that was back within a moment (review/5). The copy itself can't
     * be prevented there; the task has to be stopped by the answer to the machine's first heartbeat.
     */
    @ParameterizedTest
    @EnumSource(names = ["NONE", "ALL_CONTROLLERS_BACK_WITHIN_A_SECOND", "LEADER_CHANGES_WITHIN_A_SECOND"])
    fun `what a late copy begins on a machine that lost its token is stopped by its first answer`(
        interruption: Interruption,
    ) {
        for (kind in JobKind.entries) {
            val simulation = simulation(SEED, machines = 6)
            // Fills all machines, so that none is returned.
            simulation.submit(service("s", tasks = 18, team = "t0"))
            simulation.submit(jobOf(kind, 300.seconds))
            simulation.runFor(8.seconds)
            val machine = simulation.failTasksOnOneMachine(JOB)
            simulation.runFor(4.seconds)
            simulation.restartMachine(machine)
            assertTrue(simulation.deliverCopiesAcrossRestarts() > 0)
            // The replicas of the service are placed on this machine, under the attempts that the copies name.
            val begunByCopies = simulation.attemptsOn(machine).filter { it.job == JOB }.toSet()
            interruption.apply(simulation)
            // A heartbeat that is sent while nobody leads is lost.
            val heartbeats = if (interruption == Interruption.NONE) 1 else 2
            simulation.runFor(HEARTBEAT_INTERVAL * heartbeats + 1.seconds)
            assertEquals(emptySet<TaskSlot>(), simulation.attemptsOn(machine) intersect begunByCopies, "$kind")
        }
    }

    private fun jobOf(kind: JobKind, estimatedDuration: Duration): JobSpec {
        val priority = if (kind == JobKind.SERVICE) Priority.CRITICAL else Priority.STANDARD
        return job(JOB, kind, tasks = 6, priority = priority, estimatedDuration = estimatedDuration)
    }

    private fun simulationWith(spec: JobSpec): ClusterSimulation {
        val simulation = simulation(SEED, machines = 6)
        simulation.submit(spec)
        simulation.runFor(8.seconds)
        assertTrue(simulation.hasExecutedSeveralCommandsAtOnce())
        return simulation
    }

    /** Runs for [time] while copies of all commands arrive every 100 ms. */
    private fun ClusterSimulation.receiveCopies(time: Duration) {
        val end = now + time
        while (now < end) {
            runFor(100.milliseconds)
            deliverCopiesOfCommands()
        }
    }

    private fun ClusterSimulation.verifyNothingStartedAgain(description: String) =
        assertEquals(emptyList<String>(), (violations + reportedViolations).take(2), description)

    private companion object {
        const val JOB = "job"
        const val SEED = 1L

        /** The longest time between two heartbeats of a worker, which sends one every 2 s give or take a quarter. */
        val HEARTBEAT_INTERVAL = 2.5.seconds
    }
}
