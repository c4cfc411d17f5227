package glenspool.core

import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.Team
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryNotice
import glenspool.reconcile.RecoveryPhase
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoverySetting
import glenspool.reconcile.StartKind
import glenspool.simulation.ClusterSimulation
import glenspool.simulation.FaultRates
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.simulation.leanType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Whole days in simulated time, with every rule checked at every start and every tick. */
class ClusterSimulationTest {
    private val teams =
        listOf(Team("t0", 0.0, 0.0, null, null), Team("t1", 0.0, 4.0, null, 12.0), Team("t2", 0.0, 0.0, null, 6.0))

    private fun simulation(seed: Long, faults: FaultRates, valueBytes: Int, coldStarts: Boolean): ClusterSimulation {
        val deployment = config(teams, peerZones = setOf("b")).copy(valueBytes = valueBytes)
        val setting = RecoverySetting(deployment.lease, deployment.heartbeatInterval, deployment.listLag)
        val recoverer = {
            token: Long,
            at: Duration,
            kind: StartKind,
            ->
            RecoveryEngine(RecoveryPolicy(), setting, token, at, kind)
        }
        val w =
            ClusterSimulation(
                seed, deployment, listOf(bigType, leanType), faults,
                recoverer =
                    recoverer.takeIf {
                        coldStarts
                    },
            )
        w.state.valueLimit = valueBytes
        for (i in 0 until 6) {
            w.addMachine(
                if (i % 3 ==
                    2
                ) {
                    leanType
                } else {
                    bigType
                },
                if (i % 2 == 0) "a" else "b", false, Duration.ZERO,
            )
        }
        w.elect()
        return w
    }

    private fun randomJob(r: Random, n: Int) =
        when (r.nextInt(4)) {
            0 ->
                job(
                    "s-$n", JobKind.SERVICE, 1 + r.nextInt(3), team = "t${r.nextInt(3)}", priority = Priority.CRITICAL,
                    spread =
                        r
                            .nextBoolean(),
                    image = "i${r.nextInt(3)}",
                )
            1 ->
                job(
                    "g-$n", JobKind.GANG, 1 + r.nextInt(4),
                    Resources(4.0, 2.0, 16.0).let {
                        if (r.nextBoolean()) it else Resources(2.0, 1.0, 4.0)
                    },
                    "t0", Priority.URGENT, sameZone = r.nextBoolean(), image = "i${r.nextInt(3)}",
                    imageGb =
                        1.0 + r.nextInt(9),
                )
            2 ->
                job(
                    "c-$n", JobKind.ARRAY, 1 + r.nextInt(5), Resources(2.0, 0.0, 20.0), "t${r.nextInt(3)}", Priority.IDLE,
                    zone = listOf(null, "a", "b")[r.nextInt(3)], spot = true, checkpointInterval = 3.seconds,
                )
            else ->
                job(
                    "a-$n", JobKind.ARRAY, 1 + r.nextInt(6), team = "t${r.nextInt(3)}",
                    types = if (r.nextBoolean()) null else listOf("big"), spot = r.nextBoolean(), image = "i${r.nextInt(3)}",
                )
        }

    private fun play(
        seed: Long,
        faults: FaultRates,
        chained: Boolean = false,
        allNew: Boolean = false,
        valueBytes: Int = 4096,
        coldStarts: Boolean = false,
    ): ClusterSimulation {
        val w = simulation(seed, faults, valueBytes, coldStarts)
        w.allNew = allNew
        val r = Random(seed * 31)
        val ids = ArrayList<String>()
        for (n in 0 until 30) {
            val j = randomJob(r, n)
            w.submit(j, if (chained) dependencies(r, ids, w) else emptyList())
            ids.add(j.id)
            w.run(w.now + (r.nextInt(8)).seconds)
            if (r.nextInt(5) == 0) w.cancel(ids[r.nextInt(ids.size)])
            // Nobody looks after cancelled work on hung machines here while nobody leads: with all troubles the
            // controllers are soon back.
            if (coldStarts && r.nextInt(6) == 0) w.allAway((1 + r.nextInt(if (faults.hangs > 0) 5 else 24)).seconds)
        }
        w.run(w.now + 200.seconds)
        w.allNew = true
        if (faults.olds > 0) w.elect()
        w.run(w.now + 500.seconds, calm = true)
        assertEquals(emptyList<String>(), w.violations, "seed $seed")
        for (id in ids.filter { it.startsWith("s-") }) {
            // What it needs may in turn wait for the limit of a team whose services run on.
            val held = w.dependenciesOf[id].orEmpty().any { w.end(it) == null }
            val whole =
                w.end(id) == "cancelled" ||
                    w.runningReplicas(id) == w.specs.getValue(id).tasks ||
                    w.teamIsFull(id) ||
                    held
            assertTrue(whole, "seed $seed: $id has ${w.runningReplicas(id)} replicas of ${w.specs.getValue(id).tasks}: ${w.describe(id)}")
            if (w.live(id)) assertTrue(w.cancel(id))
        }
        w.run(w.now + 400.seconds, calm = true)
        assertEquals(emptyList<String>(), w.violations, "seed $seed")
        for (id in ids) assertTrue(w.end(id) != null, "seed $seed: $id has not ended, done ${w.trulyDone[id]}: ${w.describe(id)}")
        for (id in ids) {
            assertEquals(
                if (w.abortedSince(id) ==
                    null
                ) {
                    "done"
                } else {
                    "cancelled"
                },
                w.end(id), "seed $seed: $id",
            )
        }
        return w
    }

    /** Some jobs of before, whatever has become of them; services are never named. */
    private fun dependencies(r: Random, ids: List<String>, w: ClusterSimulation): List<String> {
        val all = ids.filter { !it.startsWith("s-") && !(w.end(it) == "cancelled" && r.nextInt(4) > 0) }
        if (all.isEmpty() || r.nextInt(3) == 0) return emptyList()
        return List(1 + r.nextInt(3)) { all[maxOf(0, all.size - 1 - r.nextInt(6))] }.distinct()
    }

    @ParameterizedTest
    @ValueSource(longs = [101, 102, 103, 104])
    fun `jobs that wait for others start when all are done, and are aborted with them`(seed: Long) {
        val w = play(seed, FaultRates(), chained = true)
        assertTrue(w.dependenciesOf.size > 5)
        assertTrue(w.dependenciesOf.keys.any { w.end(it) == "done" })
    }

    @ParameterizedTest
    @ValueSource(longs = [111, 112, 113, 114, 115, 116, 117, 118])
    fun `jobs that wait for others break no rule amid all troubles and take-overs`(seed: Long) {
        play(
            seed,
            FaultRates(
                lost = 0.05, held = 0.05, copies = 0.05, oneWay = 0.01, outages = 0.02, takeovers = 0.04, deaths = 0.01, cuts = 0.02, hangs = 0.01,
                restarts = 0.01, apart = 0.01,
            ),
            chained = true, allNew = true,
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [121, 122, 123, 124, 125, 126, 127, 128])
    fun `old and new versions that lead in turn break no rule, whatever waits`(seed: Long) {
        play(seed, FaultRates(lost = 0.05, held = 0.05, takeovers = 0.06, outages = 0.02, deaths = 0.01, cuts = 0.02, olds = 0.5), chained = true)
    }

    @ParameterizedTest
    @ValueSource(longs = [131, 132, 133, 134])
    fun `places on shelves break no rule amid take-overs`(seed: Long) {
        // So small a value that hardly any place fits into a record.
        val w =
            play(seed, FaultRates(lost = 0.05, held = 0.05, takeovers = 0.04, deaths = 0.01), chained = seed % 2 == 0L, allNew = true, valueBytes = 800)
        assertEquals(0, w.refusedForSize)
        assertTrue(w.state.log.any { it.first.startsWith("g/p/") }, "nothing was shelved")
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 1056, 2, 3])
    fun `on a quiet day everything runs`(seed: Long) {
        assertTrue(play(seed, FaultRates()).starts > 30)
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 11021, 11056, 11011, 12, 13, 14, 15, 16])
    fun `lost and held messages break no rule`(seed: Long) {
        play(seed, FaultRates(lost = 0.1, held = 0.1))
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 21157, 22, 23, 24, 25, 26])
    fun `machines that die, hang, are cut off or taken break no rule`(seed: Long) {
        play(seed, FaultRates(deaths = 0.02, cuts = 0.04, hangs = 0.04, notices = 0.05))
    }

    @ParameterizedTest
    @ValueSource(longs = [31085, 31, 33, 34, 35, 36])
    fun `leaders that change amid held messages and outages break no rule`(seed: Long) {
        play(seed, FaultRates(lost = 0.05, held = 0.08, takeovers = 0.03, outages = 0.02, cuts = 0.02, hangs = 0.02, deaths = 0.01))
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53, 54, 55, 56])
    fun `machines that are heard but not reached break no rule`(seed: Long) {
        play(seed, FaultRates(oneWay = 0.05, lost = 0.03, takeovers = 0.01))
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63, 64, 65, 66])
    fun `late copies of reports and machines that restart break no rule`(seed: Long) {
        play(seed, FaultRates(copies = 0.3, deaths = 0.02, restarts = 0.02, cuts = 0.02, takeovers = 0.02))
    }

    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73, 74, 75, 76])
    fun `a leader apart with its workers breaks no rule, alone and with everything else`(seed: Long) {
        val alone = FaultRates(apart = 0.03)
        play(
            seed,
            if (seed % 2 ==
                0L
            ) {
                alone
            } else {
                alone
                    .copy(lost = 0.05, held = 0.05, copies = 0.1, oneWay = 0.02, outages = 0.01, hangs = 0.02, restarts = 0.01)
            },
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83, 84])
    fun `a zone cut off with its controller breaks no rule, alone and with everything else`(seed: Long) {
        val alone = FaultRates(zoneCuts = 0.03)
        play(
            seed,
            if (seed % 2 ==
                0L
            ) {
                alone
            } else {
                alone.copy(lost = 0.05, held = 0.05, copies = 0.1, takeovers = 0.02, deaths = 0.01, hangs = 0.02)
            },
        )
    }

    @ParameterizedTest
    @ValueSource(longs = [141, 142, 143, 144, 145, 146, 147, 148, 149, 150])
    fun `recoveries after cold starts break no rule, alone and with everything else`(seed: Long) {
        val all =
            FaultRates(
                lost = 0.05, held = 0.05, copies = 0.1, oneWay = 0.02, takeovers = 0.02, deaths = 0.01, cuts = 0.02, hangs = 0.02, restarts = 0.01,
                apart = 0.01, mute = 0.02, forNext = 0.05, zoneCuts = 0.005,
            )
        val w =
            play(
                seed,
                if (seed % 2 ==
                    0L
                ) {
                    FaultRates(mute = 0.02, deaths = 0.01)
                } else {
                    all
                },
                chained = seed % 3 == 0L, allNew = true, coldStarts = true,
            )
        assertTrue(
            w.recoveryNotices.any {
                it is RecoveryNotice.PhaseEntered &&
                    it.state.phase >= RecoveryPhase.GATHERING
            },
            "no recovery was begun",
        )
    }

    @Test
    fun `the same seed gives the same day`() {
        val faults = FaultRates(lost = 0.05, held = 0.05, takeovers = 0.02, deaths = 0.01)
        assertEquals(play(41, faults).state.revision, play(41, faults).state.revision)
    }
}
