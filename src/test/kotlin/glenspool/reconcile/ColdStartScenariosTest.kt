package glenspool.reconcile

import glenspool.core.OrderKind
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.Team
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.OrderRateChecker
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.state.Keys
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Stops all controllers and restarts them. Each scenario plants differences and faults and defines which orders workers
 * and the cloud may receive after the restart. Without a difference no order is allowed. Every invariant is checked
 * throughout.
 */
class ColdStartScenariosTest {
    private val policy = RecoveryPolicy()
    private val timings = RecoveryTimings(config().lease, config().heartbeatInterval, config().listLag)
    private val teams = listOf(Team("t0", 0.0, 0.0, null, null), Team("t1", 0.0, 0.0, null, 4.0))

    /**
     * @property downtime how long all controllers are down
     * @property orders how many orders may be received after the restart, by kind; none of kinds that are missing
     * @property expectedDifferences kinds of differences that the recovery must find
     * @property plant called just before the controllers stop
     * @property afterRestart called just after they have restarted
     */
    private class Scenario(
        val name: String,
        val downtime: Duration = 4.seconds,
        val orders: Map<OrderKind, IntRange> = emptyMap(),
        val expectedDifferences: Set<DifferenceKind> = emptySet(),
        val plant: ClusterSimulation.() -> Unit = {},
        val afterRestart: ClusterSimulation.() -> Unit = {},
    )

    private val wholeMachine = Resources(14.0, 4.0, 50.0)
    private val service = job("s", JobKind.SERVICE, 4, priority = Priority.CRITICAL, spread = true)
    private val array = job("a", JobKind.ARRAY, 6, estimatedDuration = 5000.seconds)
    private val gang =
        job("g", JobKind.GANG, 2, wholeMachine, priority = Priority.URGENT, estimatedDuration = 5000.seconds)
    private val quotaLimited = job("l", JobKind.ARRAY, 4, team = "t1", estimatedDuration = 5000.seconds)
    private val unrecorded = job("u", JobKind.ARRAY, 2, estimatedDuration = 5000.seconds)
    private val jobs = listOf(service, array, gang, quotaLimited)
    private val taskCount = 4 + 6 + 2 + 4

    private val ClusterSimulation.runningTasks get() = machineNames.sumOf { tasksOn(it).size }

    /** A fleet in which every task of [jobs] runs. */
    private fun runningCluster(): ClusterSimulation {
        val recoveryFactory = { token: Long, at: Duration, kind: StartKind ->
            RecoveryEngine(policy, timings, token, at, kind)
        }
        val config = config(teams, peerZones = setOf("b"))
        val simulation = ClusterSimulation(7, config, listOf(bigType), FaultRates(), recoveryFactory = recoveryFactory)
        repeat(8) { simulation.addMachine(bigType, if (it % 2 == 0) "a" else "b", false, Duration.ZERO) }
        simulation.elect()
        simulation.run(3.seconds)
        jobs.forEach(simulation::submit)
        simulation.run(40.seconds, withoutRandomFaults = true)
        assertEquals(taskCount, simulation.runningTasks)
        return simulation
    }

    private fun ClusterSimulation.hasTaskOf(job: JobSpec, machine: String) = tasksOn(machine).any { it.job == job.id }

    private fun ClusterSimulation.machineWith(job: JobSpec) = machineNames.first { hasTaskOf(job, it) }

    private fun ClusterSimulation.machineWithout(job: JobSpec) = machineNames.first { !hasTaskOf(job, it) }

    private fun ClusterSimulation.plantUnrecordedTask() = addOrphanedTask(machineWith(quotaLimited), unrecorded, 0, 3)

    private fun ClusterSimulation.endLeaseOfMachineWithOneTask() {
        machineNames
            .filter { tasksOn(it).size == 1 && !hasTaskOf(gang, it) }
            .take(1)
            .forEach { expireLease(it) }
    }

    private fun ClusterSimulation.runFor(time: Duration) = run(now + time, withoutRandomFaults = true)

    private fun ClusterSimulation.restartControllers(downtime: Duration) {
        stopControllers(downtime)
        runFor(downtime)
    }

    private fun exactly(kind: OrderKind, number: Int) = mapOf(kind to number..number)

    private val scenarios =
        listOf(
            Scenario("nothing differs"),
            Scenario("nothing differs, and the restart takes longer than half a lease", downtime = 9.seconds),
            Scenario(
                "a task was lost with its machine's lease",
                orders = exactly(OrderKind.START, 1),
                plant = { endLeaseOfMachineWithOneTask() },
            ),
            Scenario("all leases expired", downtime = 30.seconds, orders = exactly(OrderKind.START, taskCount)),
            Scenario(
                "a task runs whose job was never recorded",
                orders = exactly(OrderKind.STOP, 1),
                expectedDifferences = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantUnrecordedTask() },
            ),
            Scenario(
                "a task runs whose job was never recorded, and its user submits the job again",
                orders =
                    mapOf(
                        OrderKind.STOP to 1..1,
                        OrderKind.START to 2..2,
                        OrderKind.SCALE_OUT to 0..1,
                        OrderKind.DELETION to 0..1,
                    ),
                expectedDifferences = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantUnrecordedTask() },
                afterRestart = { submit(unrecorded) },
            ),
            Scenario(
                "two machines report the same task",
                orders = exactly(OrderKind.STOP, 1),
                expectedDifferences = setOf(DifferenceKind.DUPLICATE_TASK, DifferenceKind.ORPHAN_TASK),
                plant = { addOrphanedTask(machineWithout(array), array, 0, 9) },
            ),
            Scenario("a machine reports late", plant = { partitionMachine(machineWith(array), 10.seconds) }),
            Scenario(
                "one zone is silent for a while",
                plant = {
                    machineNames
                        .filterIndexed { index, _ -> index % 2 == 1 }
                        .forEach { partitionMachine(it, 11.seconds) }
                },
            ),
            Scenario(
                "workers report one by one",
                plant = {
                    machineNames.forEachIndexed { index, machine -> partitionMachine(machine, (5 + index).seconds) }
                },
            ),
            Scenario(
                "a machine answers requests but sends no heartbeats",
                plant = { dropHeartbeats(machineWith(quotaLimited), 12.seconds) },
            ),
            Scenario(
                "a job was cancelled just before the controllers stopped",
                orders = exactly(OrderKind.STOP, 6),
                plant = { assertTrue(cancel(array.id)) },
            ),
            Scenario(
                "part of a gang was lost",
                orders = mapOf(OrderKind.STOP to 0..1, OrderKind.START to 2..8, OrderKind.DELETION to 0..1),
                plant = { expireLease(machineWith(gang)) },
            ),
            Scenario(
                "a spot machine was preempted",
                orders =
                    mapOf(
                        OrderKind.START to 1..8,
                        OrderKind.STOP to 0..2,
                        OrderKind.DELETION to 1..1,
                        OrderKind.SCALE_OUT to 0..4,
                    ),
                expectedDifferences = setOf(DifferenceKind.UNHEARD_MACHINE),
                plant = { removeMachine(machineWith(array)) },
            ),
            Scenario("the controllers stop again immediately", afterRestart = { stopControllers(1.seconds) }),
            Scenario(
                "the controllers stop again after the orphaned task was reported",
                orders = exactly(OrderKind.STOP, 1),
                expectedDifferences = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantUnrecordedTask() },
                afterRestart = {
                    runFor(5.seconds)
                    stopControllers(2.seconds)
                },
            ),
            Scenario(
                "the leader ends while all leases have expired and half of the tasks are restored",
                downtime = 30.seconds,
                orders = exactly(OrderKind.START, taskCount),
                afterRestart = {
                    runFor(3.seconds)
                    changeLeader(1.seconds)
                },
            ),
            Scenario(
                "the state service is unavailable just after the restart",
                afterRestart = { startStoreOutage(8.seconds) },
            ),
            Scenario(
                "most of the fleet is silent for longer than the gathering phase lasts",
                plant = {
                    machineNames
                        .filterNot { hasTaskOf(gang, it) }
                        .take(5)
                        .forEach { partitionMachine(it, 12500.milliseconds) }
                },
            ),
            Scenario(
                "a team is at its quota while an orphaned task of the team occupies resources",
                orders = exactly(OrderKind.STOP, 1),
                expectedDifferences = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { addOrphanedTask(machineWithout(quotaLimited), quotaLimited, 0, 9) },
            ),
        )

    @TestFactory
    fun `after a cold start only real differences are repaired`(): List<DynamicTest> =
        scenarios.map { scenario ->
            DynamicTest.dynamicTest(scenario.name) { verify(scenario) }
        }

    private fun verify(scenario: Scenario) {
        val simulation = runningCluster()
        val fleet = simulation.machineNames.size
        scenario.plant(simulation)
        simulation.restartControllers(scenario.downtime)
        simulation.receivedOrders.clear()
        scenario.afterRestart(simulation)
        val found = HashSet<DifferenceKind>()
        repeat(60) {
            simulation.runFor(1.seconds)
            val findings = simulation.recovery?.snapshot?.findings
            findings?.values?.forEach { machine -> machine.differences.mapTo(found) { it.kind } }
        }

        val name = scenario.name
        assertEquals(emptyList<String>(), simulation.violations)
        val received = simulation.receivedOrders.groupingBy { it.kind }.eachCount()
        for (kind in OrderKind.entries - OrderKind.FORGET) {
            val number = received[kind] ?: 0
            val allowed = scenario.orders[kind] ?: 0..0
            val problem = "$name: $kind: $number received, $allowed allowed; ${simulation.recoveryNotices}"
            assertTrue(number in allowed, problem)
        }
        assertTrue(found.containsAll(scenario.expectedDifferences), "$name: found only $found")
        assertTrue(simulation.recovery?.isActive != true, "$name: the recovery did not end")
        assertEquals(emptyList<String>(), OrderRateChecker(policy.rates, fleet).violations(simulation.receivedOrders))
    }

    @Test
    fun `the checks detect an unnecessary order and an order above the rate limit`() {
        val simulation = runningCluster()
        simulation.restartControllers(4.seconds)
        simulation.receivedOrders.clear()
        simulation.runFor(10.seconds)
        assertEquals(emptyList<Any>(), simulation.receivedOrders)

        // An unnecessary stop and start of the same task, as ordered by a scheduler that treats the task as lost.
        val machine = simulation.machineWith(array)
        val task = simulation.tasksOn(machine).first { it.job == array.id }
        simulation.restartTask(machine, task)
        assertEquals(listOf(OrderKind.STOP, OrderKind.START), simulation.receivedOrders.map { it.kind })
        val checker = OrderRateChecker(policy.rates, 8)
        assertEquals(emptyList<String>(), checker.violations(simulation.receivedOrders))

        // 0.1 stops per second and machine allow one stop per second in a fleet of 8, and a burst of one.
        repeat(2) { simulation.restartTask(machine, task) }
        assertEquals(1, checker.violations(simulation.receivedOrders).size)
    }

    @Test
    fun `a restored task keeps its stored placement, so that nothing is written for it`() {
        val simulation = runningCluster()
        val keys = listOf(service, array, quotaLimited).map { Keys.job(it.id) }

        fun recordVersions() =
            simulation.state.entries
                .filterKeys { it in keys }
                .mapValues { it.value.version }
        simulation.restartControllers(30.seconds)
        val before = recordVersions()

        simulation.runFor(60.seconds)

        assertEquals(before, recordVersions())
        assertEquals(taskCount, simulation.runningTasks)
    }
}
