package glenspool.reconcile

import glenspool.core.OrderKind
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
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
 * All controllers are down and come back. Each row plants differences and faults, and says what workers and cloud may
 * receive after the return: no order without a difference. Every rule is checked throughout.
 */
class ColdStartScenariosTest {
    private val policy = RecoveryPolicy()
    private val setting = RecoverySetting(config().lease, config().heartbeatInterval, config().listLag)
    private val teams = listOf(Team("t0", 0.0, 0.0, null, null), Team("t1", 0.0, 0.0, null, 4.0))

    /** What one row is about. [orders]: what may be received after the return, by kind. */
    private class Row(
        val name: String,
        val away: Duration = 4.seconds,
        val orders: Map<OrderKind, IntRange> = emptyMap(),
        val listed: Set<DifferenceKind> = emptySet(),
        val plant: ClusterSimulation.() -> Unit = {},
        val afterReturn: ClusterSimulation.() -> Unit = {},
    )

    private val whole = Resources(14.0, 4.0, 50.0)
    private val services = job("s", JobKind.SERVICE, 4, priority = Priority.CRITICAL, spread = true)
    private val array = job("a", JobKind.ARRAY, 6, estimatedDuration = 5000.seconds)
    private val gang = job("g", JobKind.GANG, 2, whole, priority = Priority.URGENT, estimatedDuration = 5000.seconds)
    private val limited = job("l", JobKind.ARRAY, 4, team = "t1", estimatedDuration = 5000.seconds)
    private val unknown = job("u", JobKind.ARRAY, 2, estimatedDuration = 5000.seconds)
    private val tasks = 4 + 6 + 2 + 4

    /** A fleet in which everything runs that was submitted. */
    private fun running(): ClusterSimulation {
        val engine = { token: Long, at: Duration, kind: StartKind -> RecoveryEngine(policy, setting, token, at, kind) }
        val simulation = ClusterSimulation(7, config(teams, peerZones = setOf("b")), listOf(bigType), FaultRates(), recoverer = engine)
        repeat(8) { simulation.addMachine(bigType, if (it % 2 == 0) "a" else "b", false, Duration.ZERO) }
        simulation.elect()
        simulation.run(3.seconds)
        listOf(services, array, gang, limited).forEach(simulation::submit)
        simulation.run(40.seconds, calm = true)
        assertEquals(tasks, simulation.machineNames.sumOf { simulation.tasksOn(it).size })
        return simulation
    }

    private fun ClusterSimulation.machineWith(id: String) = machineNames.first { m -> tasksOn(m).any { it.job == id } }

    private fun ClusterSimulation.machineWithout(id: String) = machineNames.first { m -> tasksOn(m).none { it.job == id } }

    private fun orders(vararg of: Pair<OrderKind, Int>) = of.associate { (kind, number) -> kind to number..number }

    private val rows =
        listOf(
            Row("nothing differs"),
            Row("nothing differs, and the restart takes longer than half a lease", away = 9.seconds),
            Row("a task was lost with its machine's lease", orders = orders(OrderKind.START to 1), plant = {
                endLeaseOfOneTask()
            }),
            Row("all leases ran out", away = 30.seconds, orders = orders(OrderKind.START to tasks)),
            Row(
                "a task that the store never recorded", orders = orders(OrderKind.STOP to 1), listed = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantTask(machineWith("l"), unknown, 0, 3) },
            ),
            Row(
                "its user submits it again meanwhile",
                orders =
                    mapOf(
                        OrderKind.STOP to 1..1, OrderKind.START to 2..2, OrderKind.SCALE_OUT to 0..1,
                        OrderKind.DELETION to 0..1,
                    ),
                listed = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantTask(machineWith("l"), unknown, 0, 3) }, afterReturn = { submit(unknown) },
            ),
            Row(
                "two machines claim one task", orders = orders(OrderKind.STOP to 1), listed = setOf(DifferenceKind.DUPLICATE_TASK, DifferenceKind.ORPHAN_TASK),
                plant = { plantTask(machineWithout("a"), array, 0, 9) },
            ),
            Row("a machine that reports late", plant = { cut(machineWith("a"), 10.seconds) }),
            Row("one zone is silent for a while", plant = {
                machineNames
                    .filterIndexed {
                        i,
                        _,
                        ->
                        i % 2 == 1
                    }.forEach { cut(it, 11.seconds) }
            }),
            Row("workers that report one by one", plant = {
                machineNames.forEachIndexed {
                    i,
                    m,
                    ->
                    cut(m, (5 + i).seconds)
                }
            }),
            Row("a machine that only answers questions", plant = { mute(machineWith("l"), 12.seconds) }),
            Row(
                "a cancellation confirmed just before the end", orders = mapOf(OrderKind.STOP to 6..6), plant = {
                    assertTrue(cancel("a"))
                },
            ),
            Row(
                "part of a gang survived",
                orders =
                    mapOf(
                        OrderKind.STOP to 0..1, OrderKind.START to 2..8,
                        OrderKind.DELETION to 0..1,
                    ),
                plant = { endLease(machineWith("g")) },
            ),
            Row(
                "a machine was taken",
                orders =
                    mapOf(
                        OrderKind.START to 1..8, OrderKind.STOP to 0..2,
                        OrderKind.DELETION to 1..1, OrderKind.SCALE_OUT to 0..4,
                    ),
                listed = setOf(DifferenceKind.UNHEARD_MACHINE), plant = { take(machineWith("a")) },
            ),
            Row("the controllers end again at once", afterReturn = { allAway(1.seconds) }),
            Row(
                "they end again after the orphan was seen", orders = orders(OrderKind.STOP to 1), listed = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantTask(machineWith("l"), unknown, 0, 3) },
                afterReturn = {
                    run(now + 5.seconds, calm = true)
                    allAway(2.seconds)
                },
            ),
            Row(
                "the leader ends while all leases have run out and half of it is restored", away = 30.seconds,
                orders =
                    orders(
                        OrderKind.START to tasks,
                    ),
                afterReturn = {
                    run(now + 3.seconds, calm = true)
                    changeLeader(1.seconds)
                },
            ),
            Row("the state service is out just after the return", afterReturn = { outage(8.seconds) }),
            Row(
                "most of the fleet is silent for longer than gathering lasts",
                plant = {
                    machineNames
                        .filterNot { m ->
                            tasksOn(m).any { it.job == "g" }
                        }.take(5)
                        .forEach { cut(it, 12500.milliseconds) }
                },
            ),
            Row(
                "a team is at its limit while an orphan of it holds room", orders = orders(OrderKind.STOP to 1), listed = setOf(DifferenceKind.ORPHAN_TASK),
                plant = { plantTask(machineWithout("l"), limited, 0, 9) },
            ),
        )

    /** The lease of a machine that has a single task ends. */
    private fun ClusterSimulation.endLeaseOfOneTask() {
        machineNames
            .filter {
                tasksOn(it).size == 1 && tasksOn(it).single().job != "g"
            }.take(1)
            .forEach { endLease(it) }
    }

    @TestFactory
    fun `after a cold start only real differences are mended`() =
        rows.map { row ->
            DynamicTest.dynamicTest(row.name) { play(row) }
        }

    private fun play(row: Row) {
        val simulation = running()
        val before = simulation.machineNames
        row.plant(simulation)
        simulation.allAway(row.away)
        simulation.run(simulation.now + row.away, calm = true)
        simulation.received.clear()
        row.afterReturn(simulation)
        val kinds = HashSet<DifferenceKind>()
        repeat(60) {
            simulation.run(simulation.now + 1.seconds, calm = true)
            simulation.recovery
                ?.snapshot
                ?.findings
                ?.values
                ?.forEach { found -> found.differences.mapTo(kinds) { it.kind } }
        }
        assertEquals(emptyList<String>(), simulation.violations)
        val received = simulation.received.groupingBy { it.kind }.eachCount()
        for (kind in OrderKind.entries - OrderKind.FORGET) {
            val allowed = row.orders[kind] ?: 0..0
            assertTrue((received[kind] ?: 0) in allowed, "${row.name}: $kind: ${received[kind] ?: 0} received, $allowed allowed; ${simulation.recoveryNotices}")
        }
        assertTrue(kinds.containsAll(row.listed), "${row.name}: found only $kinds")
        assertTrue(simulation.recovery?.isActive != true, "${row.name}: the recovery did not end")
        assertEquals(emptyList<String>(), OrderRateChecker(policy.rates, before.size).faults(simulation.received))
    }

    @Test
    fun `the rows would notice a needless order and one above the rate`() {
        val simulation = running()
        simulation.allAway(4.seconds)
        simulation.run(simulation.now + 4.seconds, calm = true)
        simulation.received.clear()
        simulation.run(simulation.now + 10.seconds, calm = true)
        assertEquals(emptyList<Any>(), simulation.received)
        // A needless stop and start of the same task, as a scheduler would give them that takes it for lost.
        val machine = simulation.machineWith("a")
        val task: TaskKey = simulation.tasksOn(machine).first { it.job == "a" }
        simulation.restart(machine, task)
        assertEquals(listOf(OrderKind.STOP, OrderKind.START), simulation.received.map { it.kind })
        val checker = OrderRateChecker(policy.rates, 8)
        assertEquals(emptyList<String>(), checker.faults(simulation.received))
        // Stops: 0.1 a second for each of 8 machines is one a second, and as many at once.
        repeat(2) { simulation.restart(machine, task) }
        assertEquals(1, checker.faults(simulation.received).size)
    }

    @Test
    fun `a restored task keeps its stored place, so that nothing is written for it`() {
        val simulation = running()
        simulation.allAway(30.seconds)
        simulation.run(simulation.now + 30.seconds, calm = true)
        val records = {
            simulation.state.entries
                .filterKeys {
                    it == Keys.job("s") ||
                        it == Keys.job("a") ||
                        it == Keys.job("l")
                }.mapValues { it.value.version }
        }
        val before = records()
        simulation.run(simulation.now + 60.seconds, calm = true)
        assertEquals(before, records())
        assertEquals(tasks, simulation.machineNames.sumOf { simulation.tasksOn(it).size })
    }
}
