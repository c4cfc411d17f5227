package glenspool.faults

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.Team
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.MachineFault
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Troubles that meet, each meeting brought about on purpose round the real core, with every rule checked at every start
 * and tick, and whether everything ends once the troubles are over.
 */
class CombinedFaultsTest {
    private val teams =
        listOf(Team("t0", 0.0, 0.0, null, null), Team("t1", 0.0, 4.0, null, 8.0), Team("t2", 0.0, 0.0, null, 4.0))
    private val ids = ArrayList<String>()

    private fun simulation(seed: Long, faults: FaultRates = FaultRates(), machines: Int = 9): ClusterSimulation {
        val w = ClusterSimulation(seed, config(teams, peerZones = setOf("b")), listOf(bigType), faults, maxMachines = 18)
        w.allNew = true
        for (i in 0 until machines) w.addMachine(bigType, if (i % 3 == 0) "b" else "a", false, Duration.ZERO)
        w.elect()
        w.run(3.seconds)
        return w
    }

    private fun ClusterSimulation.take(spec: JobSpec) {
        submit(spec)
        ids.add(spec.id)
    }

    private fun array(
        id: String,
        tasks: Int = 3,
        team: String = "t0",
        estimatedDuration: Duration = 60.seconds,
        zone: String? = null,
        resourceRequest: Resources = Resources(2.0, 1.0, 8.0),
    ) = job(id, tasks = tasks, team = team, estimatedDuration = estimatedDuration, zone = zone, resourceRequest = resourceRequest, image = "i${id.hashCode() and 1}")

    private fun service(id: String, tasks: Int = 2, team: String = "t1") = job(id, JobKind.SERVICE, tasks, team = team, priority = Priority.CRITICAL)

    /** The troubles are over: every job ends as it should, and nobody waits for nothing. */
    private fun ClusterSimulation.finish(seed: Long) {
        run(now + 330.seconds, calm = true)
        for (id in ids) {
            if (specs.getValue(id).kind == JobKind.SERVICE &&
                live(id) &&
                abortedSince(id) == null
            ) {
                assertTrue(cancel(id))
            }
        }
        run(now + 250.seconds, calm = true)
        assertEquals(emptyList<String>(), violations.take(4), "seed $seed")
        for (id in ids) {
            assertEquals(
                if (abortedSince(id) ==
                    null
                ) {
                    "done"
                } else {
                    "cancelled"
                },
                end(id), "seed $seed: $id ${describe(id)}",
            )
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4])
    fun `a leader ends while machines with long tasks can't be reached, or don't hear the new one`(seed: Long) {
        val w = simulation(seed)
        for (n in 0 until 6) w.take(array("a-$n", team = "t${n % 2}", estimatedDuration = 100.seconds))
        w.run(20.seconds)
        w.injectFault(if (seed % 2 == 0L) MachineFault.CUT else MachineFault.UNREACHABLE, 0.5, 30.seconds)
        w.changeLeader(2.seconds)
        w.run(50.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15, 16])
    fun `every team is at its limit while jobs are cancelled whose machines are cut off or hang, and the leader changes`(
        seed: Long,
    ) {
        val w = simulation(seed)
        for (n in 0 until 10) w.take(array("a-$n", tasks = 2, team = "t${1 + n % 2}", estimatedDuration = 50.seconds))
        w.run(15.seconds)
        w.cancelRunningJobs(4, hang = seed % 2 == 0L)
        if (seed % 2 == 1L) w.injectFault(MachineFault.CUT, 0.4, 40.seconds)
        w.run(15.3.seconds)
        w.changeLeader(if (seed % 3 == 0L) 200.milliseconds else 3.seconds)
        // What waits wants the room that only seems to be free.
        for (n in 10 until 16) w.take(array("a-$n", tasks = 4, team = "t${1 + n % 2}", estimatedDuration = 20.seconds))
        w.run(60.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24])
    fun `a team is at its limit when the leader changes, some machines can't be asked, and a cancellation falls into that spell`(
        seed: Long,
    ) {
        val w = simulation(seed)
        for (n in 0 until 4) w.take(array("a-$n", tasks = 2, team = "t1", estimatedDuration = 60.seconds))
        w.take(service("s-1", 4, "t2"))
        w.run(15.seconds)
        w.injectFault(MachineFault.UNREACHABLE, 0.5, 35.seconds)
        w.changeLeader(4.seconds)
        w.run(16.seconds)
        w.cancelRunningJobs(2, hang = false)
        for (n in 4 until 10) w.take(array("a-$n", tasks = 3, team = "t${1 + n % 2}", estimatedDuration = 20.seconds))
        w.run(60.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33, 34, 35, 36])
    fun `jobs bound to one zone, arrays too, lose machines`(seed: Long) {
        val w = simulation(seed, FaultRates(lost = 0.03))
        for (n in 0 until 3) w.take(array("z-$n", tasks = 4, zone = "b"))
        w.take(job("one-0", tasks = 5, sameZone = true, estimatedDuration = 40.seconds))
        w
            .take(
                job(
                    "g-0", JobKind.GANG, 3, Resources(4.0, 2.0, 16.0), sameZone = true, estimatedDuration = 40.seconds,
                    checkpointInterval =
                        5
                            .seconds,
                ),
            )
        w.take(job("s-0", JobKind.SERVICE, 3, priority = Priority.CRITICAL, spread = true))
        w.run(25.seconds)
        w.injectFault(if (seed % 2 == 0L) MachineFault.DIE else MachineFault.CUT, 0.5, 45.seconds)
        if (seed % 3 == 0L) w.changeLeader(2.seconds)
        w.run(70.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44])
    fun `a zone with workers and a controller is cut off for longer than a lease, and work there is cancelled`(
        seed: Long,
    ) {
        val w = simulation(seed)
        for (n in 0 until 8) w.take(array("a-$n", estimatedDuration = 90.seconds, zone = if (n % 2 == 0) "b" else null))
        w.run(20.seconds)
        w.cutZone("b", if (seed % 2 == 0L) 30.seconds else 70.seconds)
        w.run(24.seconds)
        w.cancelRunningJobs(4, hang = false)
        w.run(110.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53, 54])
    fun `commands and their answers are held up for seconds, and machines go on after a hang`(seed: Long) {
        val w = simulation(seed, FaultRates(held = 0.4, hangs = 0.05, lost = 0.05, storms = 0.01))
        for (n in 0 until 20) {
            w.take(array("a-$n", team = "t${n % 3}", estimatedDuration = 15.seconds))
            w.run(w.now + 4.seconds)
        }
        w.run(w.now + 40.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63, 64, 65, 66])
    fun `leaders change ten times in two minutes, also inside an outage`(seed: Long) {
        val w = simulation(seed, FaultRates(held = 0.05, lost = 0.03, copies = 0.1))
        val r = Random(seed)
        for (n in 0 until 10) {
            w.take(array("a-$n", tasks = 1 + r.nextInt(3), team = "t${n % 3}", estimatedDuration = (5 + r.nextInt(40)).seconds))
            w.changeLeader((200 + r.nextInt(4000)).milliseconds)
            if (seed % 2 == 0L && n == 4) w.outage(25.seconds)
            w.run(w.now + (4 + r.nextInt(12)).seconds)
            if (n % 3 == 1) w.cancel("a-${r.nextInt(n)}")
        }
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73, 74])
    fun `jobs of two or three tasks end far apart across a change of leader`(seed: Long) {
        val w = simulation(seed, FaultRates(lost = 0.1, atOnce = 0.5))
        for (n in 0 until 12) {
            w
                .take(array("a-$n", tasks = 2 + n % 2, estimatedDuration = (2 + n).seconds, resourceRequest = Resources(12.0, 3.0, 40.0)))
        }
        while (w.now < 90.seconds) {
            w.run(w.now + 7.seconds)
            w.changeLeader(if (seed % 2 == 0L) 100.milliseconds else 3.seconds)
        }
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83, 84, 85, 86])
    fun `jobs are cancelled in the seconds in which work changes hands`(seed: Long) {
        val w = simulation(seed, FaultRates(held = 0.1, lost = 0.05, atOnce = 0.5, forNext = 0.2))
        for (round in 0 until 6) {
            for (n in 0 until 5) w.take(array("a-$round-$n", team = "t${n % 3}", estimatedDuration = 25.seconds))
            w.run(w.now + 9.seconds + (seed * 70).milliseconds)
            w.changeLeader(2.seconds)
            w.cancelRunningJobs(3, hang = round % 2 == 0)
            w.run(w.now + (500 * round).milliseconds)
            w.cancelRunningJobs(2, hang = false)
        }
        w.run(w.now + 50.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [91, 92, 93, 94])
    fun `there is more work than room, urgent and not, over slow links`(seed: Long) {
        val w = simulation(seed, FaultRates(held = 0.1, lost = 0.1), machines = 4)
        for (n in 0 until 24) {
            val p = listOf(Priority.IDLE, Priority.STANDARD, Priority.URGENT)[n % 3]
            w.take(array("a-$n", tasks = 4, estimatedDuration = 12.seconds).copy(priority = p, team = "t${n % 2}"))
            w.run(w.now + 1.seconds)
        }
        w.run(w.now + 60.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [101, 102, 103, 104])
    fun `new machines are up at once and get work while writes lag, and the leader ends`(seed: Long) {
        val w = simulation(seed, FaultRates(lost = 0.4, atOnce = 0.3), machines = 2)
        for (n in 0 until 8) w.take(array("a-$n", tasks = 4, estimatedDuration = 20.seconds, team = "t${n % 2}"))
        w.run(w.now + 2.seconds)
        for (i in 0 until 6) w.addMachine(bigType, if (i % 2 == 0) "a" else "b", false, (100 + i * 300).milliseconds)
        w.run(w.now + 2.seconds)
        w.changeLeader(500.milliseconds)
        w.run(w.now + 4.seconds)
        w.changeLeader(3.seconds)
        w.run(w.now + 40.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [111, 112, 113, 114])
    fun `all controllers are away for longer than a lease, hand over and back, and return within a second`(seed: Long) {
        val w = simulation(seed, FaultRates(forNext = 0.3, held = 0.1))
        for (n in 0 until 8) w.take(array("a-$n", estimatedDuration = 70.seconds, team = "t${n % 3}"))
        w.take(service("s-0"))
        w.run(20.seconds)
        w.allAway(if (seed % 2 == 0L) 25.seconds else 800.milliseconds)
        w.run(60.seconds)
        for (n in 0 until 4) {
            w.changeLeader(150.milliseconds)
            w.run(w.now + 700.milliseconds)
        }
        w.run(w.now + 20.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [121, 122, 123, 124])
    fun `one-task jobs come four a second for minutes, a quarter of them cancelled`(seed: Long) {
        val w = simulation(seed, FaultRates(lost = 0.02, held = 0.02, atOnce = 0.5), machines = 12)
        val r = Random(seed)
        for (n in 0 until 480) {
            w
                .take(array("a-$n", tasks = 1, estimatedDuration = (2 + r.nextInt(6)).seconds, team = "t${if (n % 8 == 0) 1 else 0}"))
            w.run(w.now + 250.milliseconds)
            if (n % 4 == 0) w.cancel("a-${maxOf(0, n - r.nextInt(12))}")
        }
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [131, 132, 133, 134])
    fun `transactions without an answer are carried out at once, or late after newer ones`(seed: Long) {
        val w = simulation(seed, FaultRates(lost = 0.5, atOnce = if (seed % 2 == 0L) 1.0 else 0.2, takeovers = 0.02))
        for (n in 0 until 15) {
            w.take(array("a-$n", tasks = 2, estimatedDuration = 8.seconds, team = "t${n % 3}"))
            w.run(w.now + 5.seconds)
            if (n % 4 == 3) w.cancelRunningJobs(2, hang = false)
        }
        w.run(w.now + 20.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [141, 142, 143, 144, 145, 146])
    fun `old reports reach a new leader as it begins, also from earlier sessions and attempts`(seed: Long) {
        val w = simulation(seed, FaultRates(forNext = 0.5, copies = 0.2, cuts = 0.03, restarts = 0.01))
        for (n in 0 until 12) {
            w.take(array("a-$n", tasks = 3, estimatedDuration = 12.seconds, team = "t${n % 3}"))
            w.run(w.now + 6.seconds)
            if (n % 2 == 0) w.changeLeader((300 + 500 * (n % 5)).milliseconds)
            if (n % 5 == 4) w.cancelRunningJobs(2, hang = true)
        }
        w.run(w.now + 20.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [151, 152, 153, 154])
    fun `workers reach no controller while direct commands reach them`(seed: Long) {
        val w = simulation(seed, FaultRates(mute = 0.02, lost = 0.02))
        for (n in 0 until 14) {
            w.take(array("a-$n", tasks = 3, estimatedDuration = 20.seconds, team = "t${n % 3}"))
            w.run(w.now + 6.seconds)
            if (n == 5) w.injectFault(MachineFault.MUTE, 0.4, 40.seconds)
            if (n == 7) w.cancelRunningJobs(3, hang = false)
            if (n == 8) w.changeLeader(2.seconds)
        }
        w.run(w.now + 60.seconds)
        w.finish(seed)
    }

    @ParameterizedTest
    @ValueSource(longs = [161, 162, 163, 164])
    fun `cancelled work on machines that hang is gone in time though the cloud answers late`(seed: Long) {
        val w = simulation(seed, FaultRates(maxDeletionDelaySeconds = 6))
        for (n in 0 until 6) w.take(array("a-$n", estimatedDuration = 200.seconds, team = "t${n % 2}"))
        w.run(20.seconds)
        w.cancelRunningJobs(4, hang = true)
        w.injectFault(MachineFault.HANG, 0.3, 55.seconds)
        if (seed % 2 == 0L) w.changeLeader(3.seconds)
        w.run(90.seconds)
        w.finish(seed)
    }

    /** Two and three of everything at a time. */
    @ParameterizedTest
    @ValueSource(longs = [201, 202, 203, 204, 205, 206, 207, 208, 209, 210, 211, 212, 213, 214, 215, 216, 217, 218, 219, 220])
    fun `all kinds of trouble meet at random`(seed: Long) {
        val r = Random(seed)
        val all =
            listOf<FaultRates.() -> FaultRates>(
                {
                    copy(lost = 0.1, atOnce = 0.5)
                }, { copy(held = 0.1) }, { copy(cuts = 0.04) }, { copy(hangs = 0.04) }, { copy(takeovers = 0.05) },
                {
                    copy(outages = 0.02)
                }, { copy(oneWay = 0.03) }, { copy(copies = 0.2) }, { copy(apart = 0.02) }, { copy(zoneCuts = 0.02) },
                {
                    copy(restarts = 0.02)
                }, {
                    copy(mute = 0.03)
                }, { copy(forNext = 0.3) }, { copy(storms = 0.02) }, { copy(maxDeletionDelaySeconds = 4) }, { copy(deaths = 0.02) },
            )
        val faults = all.shuffled(r).take(3 + r.nextInt(2)).fold(FaultRates()) { x, f -> x.f() }
        val w = simulation(seed, faults)
        for (n in 0 until 20) {
            when (r.nextInt(6)) {
                0 -> w.take(service("s-$n", 1 + r.nextInt(2), "t${r.nextInt(3)}"))
                1 ->
                    w
                        .take(
                            job(
                                "g-$n", JobKind.GANG, 2 + r.nextInt(2), Resources(4.0, 2.0, 16.0),
                                sameZone =
                                    r
                                        .nextBoolean(),
                                estimatedDuration =
                                    15
                                        .seconds,
                            ),
                        )
                2 -> w.take(array("z-$n", zone = "b", estimatedDuration = 20.seconds))
                else ->
                    w.take(
                        array(
                            "a-$n", tasks = 1 + r.nextInt(4), team = "t${r.nextInt(3)}",
                            estimatedDuration =
                                (
                                    3 +
                                        r.nextInt(30)
                                ).seconds,
                        ),
                    )
            }
            w.run(w.now + (1 + r.nextInt(8)).seconds)
            if (r.nextInt(4) == 0) w.cancel(ids[r.nextInt(ids.size)])
        }
        w.run(w.now + 40.seconds)
        w.finish(seed)
    }
}
