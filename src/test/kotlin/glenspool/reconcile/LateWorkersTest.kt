package glenspool.reconcile

import glenspool.core.LargeFleet
import glenspool.core.OrderCause
import glenspool.core.OrderKind
import glenspool.core.StartCause
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.ReceivedOrder
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Cold starts of a full fleet after which workers that lost their tasks answer the leader's requests, but find the
 * leader late with their own heartbeats. Guards against tasks that are placed anew, with a machine rented for them,
 * although their own machine is about to report.
 */
class LateWorkersTest {
    private val policy = RecoveryPolicy()
    private val timings = RecoveryTimings(config().lease, config().heartbeatInterval, config().listLag)

    /** How long at most a missing task waits for the first heartbeat of its worker, as documented for operators. */
    private val documentedWait = config().lease / 2

    /** The time until a machine that sends no heartbeats has been probed, has the leader's token and is known. */
    private val contactTime = 6.seconds

    private val oneGpu = Resources(1.0, 1.0, 4.0)

    /** A fleet of [machines] machines with four GPUs, each of which runs a task of one GPU. */
    private fun fullCluster(machines: Int = 8, priority: Priority = Priority.STANDARD): ClusterSimulation {
        val recoveryFactory = { token: Long, at: Duration, kind: StartKind ->
            RecoveryEngine(policy, timings, token, at, kind)
        }
        val config = config(peerZones = setOf("b"))
        val simulation =
            ClusterSimulation(
                7,
                config,
                listOf(bigType),
                FaultRates(),
                maxMachines = machines + 4,
                recoveryFactory = recoveryFactory,
            )
        repeat(machines) { simulation.addMachine(bigType, if (it % 2 == 0) "a" else "b", false, Duration.ZERO) }
        simulation.elect()
        simulation.run(3.seconds)
        repeat(machines / MACHINES_PER_JOB) { number ->
            val tasks = MACHINES_PER_JOB * TASKS_PER_MACHINE
            val kind = if (priority == Priority.CRITICAL) JobKind.SERVICE else JobKind.ARRAY
            simulation.submit(
                job("a$number", kind, tasks, oneGpu, priority = priority, estimatedDuration = 5000.seconds),
            )
        }
        simulation.run(40.seconds, withoutRandomFaults = true)
        assertEquals(machines * TASKS_PER_MACHINE, simulation.runningTasks)
        return simulation
    }

    private val ClusterSimulation.runningTasks get() = machineNames.sumOf { tasksOn(it).size }

    private fun ClusterSimulation.runFor(time: Duration) = run(now + time, withoutRandomFaults = true)

    /** Lets the leases of [machines] expire, and restarts all controllers; the heartbeats are late by [lateness]. */
    private fun ClusterSimulation.restartControllers(machines: List<String>, lateness: Duration) {
        machines.forEach(::expireLease)
        machines.forEach { dropHeartbeats(it, DOWNTIME + lateness) }
        stopControllers(DOWNTIME)
        runFor(DOWNTIME)
        receivedOrders.clear()
    }

    private fun ClusterSimulation.runUntil(phase: RecoveryPhase) {
        repeat(60) { if (recovery?.phase != phase) runFor(200.milliseconds) }
        assertEquals(phase, recovery?.phase)
    }

    private val ClusterSimulation.orderCounts: Map<OrderCause, Int>
        get() = receivedOrders.groupingBy(ReceivedOrder::cause).eachCount()

    /** @property lateness the time from the controllers' restart to the worker's first heartbeat */
    private class Scenario(
        val name: String,
        val lateness: Duration = 7.seconds,
        val afterRestart: ClusterSimulation.(machine: String) -> Unit = {},
    )

    private val scenarios =
        listOf(
            Scenario("the worker reports when gathering is complete"),
            Scenario("the worker reports just within half a lease of its first answer", lateness = 9.seconds),
            Scenario("the recovery is paused while it repairs") {
                runUntil(RecoveryPhase.REPAIRING)
                recovery?.pause()
                runFor(6.seconds)
                recovery?.resume()
            },
            Scenario("the recovery is paused from the start") {
                recovery?.pause()
                runFor(8.seconds)
                recovery?.resume()
            },
            Scenario("another leader continues the recovery") {
                runFor(4.seconds)
                changeLeader(1.seconds)
            },
            Scenario("two more leaders continue the recovery", lateness = 8.seconds) {
                repeat(2) {
                    runFor(2.seconds)
                    changeLeader(1.seconds)
                }
            },
            Scenario("the machine begins another incarnation while its task waits", lateness = 8.seconds) { machine ->
                runFor(5.seconds)
                expireLease(machine)
            },
        )

    @TestFactory
    fun `tasks of a worker that finds the leader late are restored on its machine, and nothing is rented`() =
        scenarios.map { scenario -> DynamicTest.dynamicTest(scenario.name) { verifyRestored(scenario) } }

    private fun verifyRestored(scenario: Scenario) {
        val simulation = fullCluster()
        val machine = simulation.machineNames[3]
        val tasks = simulation.tasksOn(machine).toSet()
        simulation.restartControllers(listOf(machine), scenario.lateness)
        scenario.afterRestart(simulation, machine)
        simulation.runFor(60.seconds)

        assertEquals(emptyList<String>(), simulation.violations)
        val expected: Map<OrderCause, Int> = mapOf(StartCause.RESTORED to TASKS_PER_MACHINE)
        assertEquals(expected, simulation.orderCounts, "${simulation.recoveryNotices}")
        assertEquals(tasks, simulation.tasksOn(machine).toSet())
    }

    /** Returns when the tasks of a machine whose heartbeats are cut were started on the only empty machine. */
    private fun timesUntilStartedElsewhere(priority: Priority): List<Duration> {
        val simulation = fullCluster(priority = priority)
        val machine = simulation.machineNames[3]
        val tasks = simulation.tasksOn(machine).toSet()
        simulation.addMachine(bigType, "a", false, Duration.ZERO)
        simulation.restartControllers(listOf(machine), lateness = 60.seconds)
        val restartedAt = simulation.now
        simulation.runFor(30.seconds)

        assertEquals(emptyList<String>(), simulation.violations)
        val elsewhere = simulation.machineNames.filter { it != machine }.flatMap(simulation::tasksOn)
        assertTrue(elsewhere.containsAll(tasks), "$elsewhere")
        val starts = simulation.receivedOrders.filter { it.kind == OrderKind.START }
        assertEquals(List(TASKS_PER_MACHINE) { StartCause.PLACED }, starts.map { it.cause })
        return starts.map { it.at - restartedAt }
    }

    @Test
    fun `tasks of a machine whose heartbeats are cut are started elsewhere, critical ones sooner`() {
        val standard = timesUntilStartedElsewhere(Priority.STANDARD)
        val critical = timesUntilStartedElsewhere(Priority.CRITICAL)
        assertTrue(standard.all { it <= contactTime + documentedWait + probeInterval }, "$standard")
        assertTrue(critical.max() < standard.min(), "$critical, $standard")
    }

    @Test
    fun `a machine is rented for lost tasks within a bounded time if the heartbeats of their machine stay cut`() {
        val simulation = fullCluster()
        val machine = simulation.machineNames[3]
        simulation.restartControllers(listOf(machine), lateness = 60.seconds)
        val restartedAt = simulation.now
        simulation.runFor(25.seconds)

        assertEquals(emptyList<String>(), simulation.violations)
        val requests = simulation.receivedOrders.filter { it.kind == OrderKind.SCALE_OUT }
        val limit = contactTime + documentedWait + probeInterval * 2
        assertTrue(requests.isNotEmpty() && requests.first().at - restartedAt <= limit, "${simulation.receivedOrders}")
    }

    /** What a leader did in a cold start of a fleet of which every tenth worker lost its task and reports late. */
    private class Outcome(val lost: Int, val fleet: LargeFleet) {
        val work = fleet.core.workCounters.total
    }

    private fun restartWithLateTenth(machines: Int): Outcome {
        val engine = RecoveryEngine(policy, timings, LargeFleet.TOKEN, Duration.ZERO, StartKind.COLD)
        val fleet = LargeFleet(engine.hooks)
        val names = (1..machines).map { "m$it" }
        fleet.startFull(names)
        val (late, punctual) = names.partition { it.endsWith("3") }
        late.forEach { fleet.tasksByMachine.getValue(it).clear() }
        while (fleet.now < 14.seconds) {
            fleet.now += 250.milliseconds
            val isHeartbeatDue = fleet.now.inWholeMilliseconds % config().heartbeatInterval.inWholeMilliseconds == 0L
            if (isHeartbeatDue) {
                punctual.forEach(fleet::sendHeartbeat)
                late.forEach { if (fleet.now < 8.seconds) fleet.answerProbe(it) else fleet.sendHeartbeat(it) }
            }
            fleet.step { tick() }
            engine.tick(fleet.now)
        }
        return Outcome(late.size, fleet)
    }

    @Test
    fun `of four thousand machines a tenth reports late, and its tasks are restored without a write or a rental`() {
        val outcomes = listOf(400, 4000).associateWith(::restartWithLateTenth)
        for ((machines, outcome) in outcomes) {
            val fleet = outcome.fleet
            assertEquals(machines / 10, outcome.lost)
            val expected: Map<OrderCause, Long> = mapOf(StartCause.RESTORED to outcome.lost.toLong())
            assertEquals(expected, fleet.core.orderCounts.snapshot(), "$machines machines")
            assertEquals(0, fleet.storedChanges)
        }
        val (small, large) = outcomes.values.map { it.work }
        assertTrue(large <= small * 12, "$small for 400 machines, $large for 4,000")
    }

    private companion object {
        const val TASKS_PER_MACHINE = 4
        const val MACHINES_PER_JOB = 4

        /** Shorter than a lease, so that other workers keep their tasks. */
        val DOWNTIME = 4.seconds

        /** A machine without heartbeats is probed, and its tasks are checked again, this often at least. */
        val probeInterval = 5.seconds
    }
}
