package glenspool.frozen

import glenspool.controller.transactionOf
import glenspool.core.CommandOutcome
import glenspool.core.Scheduler
import glenspool.core.SendCommands
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.core.model.Team
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoveryTimings
import glenspool.reconcile.StartKind
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.simulation.leanType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulated days with fixed seeds, for each of which a digest of all decisions is recorded. A change that is not meant
 * to alter behaviour leaves the digests as they are. A change that is meant to alter it records them again; see
 * CONTRIBUTING.md.
 */
class FrozenDecisionsTest {
    private val teams =
        listOf(Team("t0", 0.0, 0.0, null, null), Team("t1", 0.0, 4.0, null, 12.0), Team("t2", 0.0, 0.0, null, 6.0))

    private class Day(
        val seed: Long,
        val faults: FaultRates,
        val hasDependencies: Boolean = false,
        val valueBytes: Int = 4096,
        val coldStarts: Boolean = false,
    )

    private val days =
        mapOf(
            "ordinary" to Day(1, FaultRates()),
            "lost and held messages" to Day(2, FaultRates(messageLoss = 0.1, delayedCommands = 0.1)),
            "leaders change" to
                Day(
                    3,
                    FaultRates(
                        messageLoss = 0.05, delayedCommands = 0.05, failovers = 0.04, heartbeatsForNextTerm = 0.05,
                    ),
                ),
            "machines fail" to
                Day(
                    4,
                    FaultRates(
                        machineLosses = 0.02, machinePartitions = 0.04, hangs = 0.04, preemptionNotices = 0.05,
                        restarts = 0.02,
                    ),
                ),
            "zones are cut off" to Day(5, FaultRates(zonePartitions = 0.03, messageLoss = 0.03)),
            "the store is out" to
                Day(6, FaultRates(storeOutages = 0.04, messageLoss = 0.05, immediateCommitShare = 0.3)),
            "one way only" to
                Day(7, FaultRates(oneWayPartitions = 0.05, heartbeatOutages = 0.03, leaderIsolations = 0.02)),
            "cancellations" to Day(8, FaultRates(cancellationBursts = 0.05, hangs = 0.02, failovers = 0.02)),
            "dependencies" to
                Day(9, FaultRates(messageLoss = 0.05, failovers = 0.03, machineLosses = 0.01), hasDependencies = true),
            "split records" to Day(10, FaultRates(messageLoss = 0.03, failovers = 0.03), valueBytes = 800),
            "an upgrade" to
                Day(
                    11,
                    FaultRates(messageLoss = 0.03, failovers = 0.05, oldVersionLeaders = 0.5),
                    hasDependencies = true,
                ),
            "cold starts" to Day(12, FaultRates(heartbeatOutages = 0.02, machineLosses = 0.01), coldStarts = true),
            "cold starts amid all troubles" to
                Day(
                    13,
                    FaultRates(
                        messageLoss = 0.05, delayedCommands = 0.05, duplicateHeartbeats = 0.1, oneWayPartitions = 0.02,
                        machineLosses = 0.01, machinePartitions = 0.02, hangs = 0.02,
                    ),
                    hasDependencies = true,
                    coldStarts = true,
                ),
        )

    private fun jobOf(random: Random, number: Int) =
        when (number % 4) {
            0 ->
                job(
                    "service-$number", JobKind.SERVICE, 1 + random.nextInt(3),
                    team = "t${random.nextInt(3)}", priority = Priority.CRITICAL,
                    spread = random.nextBoolean(), image = "i${random.nextInt(3)}",
                )
            1 ->
                job(
                    "gang-$number", JobKind.GANG, 1 + random.nextInt(4), Resources(4.0, 2.0, 16.0),
                    "t0", Priority.URGENT, sameZone = random.nextBoolean(),
                    image = "i${random.nextInt(3)}", imageGb = 1.0 + random.nextInt(9),
                )
            2 ->
                job(
                    "cheap-$number", JobKind.ARRAY, 1 + random.nextInt(5), Resources(2.0, 0.0, 20.0),
                    "t${random.nextInt(3)}", Priority.IDLE,
                    zone = listOf(null, "a", "b")[random.nextInt(3)], spot = true, checkpointInterval = 3.seconds,
                )
            else ->
                job(
                    "array-$number", JobKind.ARRAY, 1 + random.nextInt(9), team = "t${random.nextInt(3)}",
                    types =
                        if (random
                                .nextBoolean()
                        ) {
                            null
                        } else {
                            listOf("big")
                        },
                    spot = random.nextBoolean(), image = "i${random.nextInt(3)}",
                    deadline =
                        if (random.nextBoolean()) {
                            60
                                .seconds
                        } else {
                            null
                        },
                )
        }

    private fun play(day: Day): String {
        val deployment = config(teams, peerZones = setOf("b")).copy(valueBytes = day.valueBytes)
        val timings = RecoveryTimings(deployment.lease, deployment.heartbeatInterval, deployment.listLag)
        val recoveryFactory = {
            token: Long,
            at: Duration,
            kind: StartKind,
            ->
            RecoveryEngine(RecoveryPolicy(), timings, token, at, kind)
        }
        val trace = DecisionTrace()
        val simulation =
            ClusterSimulation(
                day.seed, deployment, listOf(bigType, leanType), day.faults,
                recoveryFactory =
                    recoveryFactory.takeIf {
                        day.coldStarts
                    },
                trace = trace,
            )
        simulation.state.maxValueBytes = day.valueBytes
        simulation.allControllersNew = day.faults.oldVersionLeaders == 0.0
        for (number in 0 until 6) {
            simulation.addMachine(
                if (number % 3 ==
                    2
                ) {
                    leanType
                } else {
                    bigType
                },
                if (number % 2 == 0) "a" else "b", false, Duration.ZERO,
            )
        }
        simulation.elect()
        submitAll(simulation, day)
        simulation.run(simulation.now + 120.seconds)
        simulation.run(simulation.now + 120.seconds, withoutRandomFaults = true)
        assertEquals(emptyList<String>(), simulation.violations)
        simulation.changeLeader(1.seconds)
        return trace.digest()
    }

    private fun submitAll(simulation: ClusterSimulation, day: Day) {
        val random = Random(day.seed * 31)
        val ids = ArrayList<String>()
        for (number in 0 until 24) {
            val spec = jobOf(random, number)
            val earlier = ids.filterNot { it.startsWith("service") }
            val dependencies =
                if (day.hasDependencies &&
                    earlier.isNotEmpty() &&
                    random.nextInt(3) > 0
                ) {
                    listOf(earlier[random.nextInt(earlier.size)])
                } else {
                    emptyList()
                }
            simulation.submit(spec, dependencies)
            ids.add(spec.id)
            simulation.run(simulation.now + random.nextInt(7).seconds)
            if (random.nextInt(6) == 0) simulation.cancel(ids[random.nextInt(ids.size)])
            if (day.coldStarts && random.nextInt(6) == 0) simulation.stopControllers((1 + random.nextInt(20)).seconds)
        }
    }

    /** Runs one scheduler with 4,000 machines. They send heartbeats, most of them get work, and a few become silent. */
    private fun playLargeFleet(): String {
        val trace = DecisionTrace()
        val core = Scheduler(config(), 5, Duration.ZERO)
        var now = Duration.ZERO
        var revision = 10L
        val running = HashMap<String, HashMap<TaskKey, TaskStatus>>()
        val sequences = HashMap<String, Long>()

        fun heartbeat(machine: String): Heartbeat {
            val zone = if (machine.length % 2 == 0) "a" else "b"
            val sequence = sequences.merge(machine, 1, Long::plus) ?: 1
            val tasks = running[machine]?.values?.toList().orEmpty()
            return Heartbeat(machine, "addr-$machine", "big", zone, false, 1, sequence, 5, null, tasks)
        }

        fun step(event: Scheduler.() -> Unit) {
            val pendingActions = ArrayDeque(core.step(now, now, event))
            while (pendingActions.isNotEmpty()) {
                val action = pendingActions.removeFirst()
                trace.addAction(now, action) { transactionOf(1, it) }
                if (action is StoreChanges) {
                    pendingActions += core.step(now, now) { transactionEnded(StoreOutcome.Stored(++revision)) }
                }
                if (action !is SendCommands) continue
                for (start in action.commands.filterIsInstance<StartTask>()) {
                    running.getOrPut(action.machine) { HashMap() }[start.key] =
                        TaskStatus(start.key, start.attempt, TaskState.RUNNING, null, false)
                }
                pendingActions +=
                    core.step(now, now) {
                        commandsEnded(action.machine, action, CommandOutcome.DONE, heartbeat(action.machine))
                    }
            }
        }
        step { machineTypesRead(listOf(bigType)) }
        for (number in 1..400) {
            val priority = Priority.entries[number % 2]
            val request = Resources(4.0, 1.0, 16.0)
            val image = "i${number % 7}"
            val spec = job("j$number", tasks = 16, resourceRequest = request, image = image, priority = priority)
            step { jobRecordRead(JobRecord(spec, now, 0, BitSet(), emptyList()), ++revision) }
        }
        repeat(8) { turn ->
            for (number in 1..4000) {
                now += 0.25.milliseconds
                if (turn < 4 || number % 50 > 0) step { heartbeatReceived(heartbeat("m$number")) }
            }
            step { tick() }
        }
        trace.addWorkCounters(core.workCounters)
        return trace.digest()
    }

    @Test
    fun `the same days lead to the same decisions`() {
        val digests = days.mapValues { play(it.value) } + ("4000 machines" to playLargeFleet())
        GoldenFile("decisions.txt").check(digests)
    }
}
