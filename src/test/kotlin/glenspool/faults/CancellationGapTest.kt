package glenspool.faults

import glenspool.config.WorkerSettings
import glenspool.simulation.CancellationSimulation
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The state service refuses the leader alone, another controller confirms cancellations, then the state service is out
 * for all, for longer than a cancellation has, while workers report to the old leader. Cancelled work must be gone in
 * time all the same, and nothing else may be lost.
 */
class CancellationGapTest {
    private val mill = WorkerSettings(1.5.seconds, 14.seconds, 30.seconds, 8.seconds, 44.seconds)

    /** All workers at the old leader, each with a job of each [kind] that bears its name. */
    private fun atOldLeader(seed: Long, settings: WorkerSettings, vararg kind: String): CancellationSimulation {
        val t = CancellationSimulation(seed, settings)
        for (w in t.workers) {
            w.home = 0
            kind.forEach { w.jobs += "$it-${w.name}" }
        }
        return t
    }

    private fun gap(seed: Long, settings: WorkerSettings = CancellationSimulation.SETTINGS, more: CancellationSimulation.() -> Unit = {}): CancellationSimulation {
        val t = atOldLeader(seed, settings, "cancelled", "healthy")
        t.run(30.seconds)
        val (leader, b, c) = t.members
        leader.refusedUntil = 44.seconds
        t.at(32.seconds) { t.storeDownUntil = 93.seconds }
        for ((i, w) in t.workers.withIndex()) {
            t.at(30.seconds + (100 + i * 100).milliseconds) {
                (
                    if (i % 2 ==
                        0
                    ) {
                        b
                    } else {
                        c
                    }
                ).cancel("cancelled-${w.name}")
            }
        }
        t.more()
        t.run(200.seconds)
        assertEquals(emptyList<String>(), t.violations, "seed $seed")
        assertTrue(t.workers.none { w -> w.jobs.any { it in t.confirmed } }, "seed $seed")
        return t
    }

    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3, 4, 5])
    fun `cancelled work is gone in time, and nothing else is lost`(seed: Long) {
        for (s in listOf(CancellationSimulation.SETTINGS, mill)) {
            val t = gap(seed, s)
            assertEquals(t.workers.size, t.confirmed.size)
            assertEquals(emptyList<String>(), t.killed, "seed $seed")
            assertEquals(t.workers.size, t.workers.sumOf { w -> w.jobs.count { it.startsWith("healthy") } })
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [11, 12, 13, 14, 15])
    fun `the node that confirmed ends at once`(seed: Long) {
        val t =
            gap(seed) {
                at(31.9.seconds) {
                    members[1].stop(6.seconds)
                    members[2].stop(200.milliseconds)
                }
            }
        assertTrue(t.confirmed.size > 3, "${t.confirmed.size} confirmed")
        assertEquals(emptyList<String>(), t.killed.filter { it.startsWith("healthy") }, "seed $seed")
    }

    @ParameterizedTest
    @ValueSource(longs = [21, 22, 23, 24, 25])
    fun `the old leader ends and is back within a second, with nothing left in its memory`(seed: Long) {
        val t = gap(seed) { at(33.seconds) { members[0].stop(500.milliseconds) } }
        assertEquals(t.workers.size, t.confirmed.size)
        assertEquals(emptyList<String>(), t.killed, "seed $seed")
    }

    @ParameterizedTest
    @ValueSource(longs = [31, 32, 33, 34, 35])
    fun `the old leader is cut from the others as well`(seed: Long) {
        for (span in listOf(20.seconds, 90.seconds)) {
            // The cancellations come while nobody can be sure that the old leader hears nothing: users are asked to
            // come back.
            val soon = gap(seed) { members[0].peersCutUntil = 30.seconds + span }
            assertEquals(0, soon.confirmed.size)
            assertTrue(soon.postponed > 0)
            // They come when it has not been reached for long: it lets the leases run out in time.
            val t = atOldLeader(seed, CancellationSimulation.SETTINGS, "cancelled")
            t.run(30.seconds)
            t.members[0].peersCutUntil = 150.seconds
            t.members[0].refusedUntil = 150.seconds
            for (w in t.workers) t.at(48.seconds) { t.members[1].cancel("cancelled-${w.name}") }
            t.at(49.seconds) { t.storeDownUntil = 120.seconds }
            t.run(200.seconds)
            assertEquals(t.workers.size, t.confirmed.size)
            assertEquals(emptyList<String>(), t.violations)
        }
    }

    @ParameterizedTest
    @ValueSource(longs = [36, 37, 38])
    fun `all who know of a cancellation end before the old leader is reached again`(seed: Long) {
        val t = atOldLeader(seed, CancellationSimulation.SETTINGS, "cancelled")
        t.run(30.seconds)
        t.members[0].peersCutUntil = 70.seconds
        t.members[0].refusedUntil = 70.seconds
        for (w in t.workers) t.at(50.seconds) { t.members[1].cancel("cancelled-${w.name}") }
        t.at(52.seconds) { t.storeDownUntil = 170.seconds }
        // Back with nothing in their memory, they say truly that they know of nothing.
        t.at(60.seconds) { t.members.drop(1).forEach { it.stop(8.seconds) } }
        t.run(250.seconds)
        assertEquals(t.workers.size, t.confirmed.size)
        assertEquals(emptyList<String>(), t.violations, "seed $seed")
    }

    @ParameterizedTest
    @ValueSource(longs = [41, 42, 43, 44, 45])
    fun `the meeting comes twice within three minutes`(seed: Long) {
        val t = CancellationSimulation(seed)
        for (round in 0..1) {
            val from = 30.seconds + 84.seconds * round
            t.at(from) {
                t.workers.forEach { it.home = round }
                t.workers.forEach { it.jobs += listOf("cancelled-$round-${it.name}", "healthy-$round-${it.name}") }
            }
            t.at(from + 1.seconds) { t.members[round].refusedUntil = from + 15.seconds }
            for (w in t.workers) {
                t.at(from + 2.seconds) {
                    t.members[(round + 1) % 3]
                        .cancel("cancelled-$round-${w.name}")
                }
            }
            t.at(from + 3.seconds) { t.storeDownUntil = from + 64.seconds }
        }
        t.run(260.seconds)
        assertEquals(emptyList<String>(), t.violations, "seed $seed")
        assertEquals(t.workers.size * 2, t.confirmed.size)
        assertEquals(emptyList<String>(), t.killed, "seed $seed")
    }

    @ParameterizedTest
    @ValueSource(longs = [51, 52, 53])
    fun `an outage in which nobody can confirm anything costs no work, however long, whoever ends in it`(seed: Long) {
        val t = CancellationSimulation(seed, mill)
        for (w in t.workers) w.jobs += "healthy-${w.name}"
        t.run(30.seconds)
        t.storeDownUntil = 200.seconds
        for (n in 0..5) {
            t.at((50 + n * 20).seconds) {
                t.members[n % 3].stop(
                    if (n % 2 ==
                        0
                    ) {
                        8.seconds
                    } else {
                        300.milliseconds
                    },
                )
            }
        }
        t.run(250.seconds)
        assertEquals(emptyList<String>(), t.killed)
    }

    @ParameterizedTest
    @ValueSource(longs = [61, 62, 63])
    fun `a node whose peers are of the production version keeps leases only as long as they can't hide a cancellation`(
        seed: Long,
    ) {
        val t = atOldLeader(seed, CancellationSimulation.SETTINGS, "cancelled")
        t.members[1].isOldVersion = true
        t.members[2].isOldVersion = true
        t.run(30.seconds)
        t.members[0].refusedUntil = 44.seconds
        for (w in t.workers) t.at(31.seconds) { t.members[1].cancel("cancelled-${w.name}") }
        t.at(32.seconds) { t.storeDownUntil = 93.seconds }
        // Workers that are let go must not come to a node of the old version, which keeps them for ever: that is how it
        // is.
        t.at(33.seconds) { t.members.drop(1).forEach { it.downUntil = 150.seconds } }
        t.run(200.seconds)
        assertEquals(emptyList<String>(), t.violations)
    }

    @ParameterizedTest
    @ValueSource(longs = [71, 72, 73])
    fun `hundreds of cancellations come within a fifth of a second`(seed: Long) {
        val t = atOldLeader(seed, CancellationSimulation.SETTINGS, "healthy")
        val jobs = (0 until 600).map { "many-$it" }
        for ((i, j) in jobs.withIndex()) t.workers[i % t.workers.size].jobs += j
        t.run(30.seconds)
        t.members[0].refusedUntil = 44.seconds
        for ((i, j) in jobs.withIndex()) t.at(30.5.seconds + (i / 3).milliseconds) { t.members[1 + i % 2].cancel(j) }
        t.at(31.seconds) { t.storeDownUntil = 93.seconds }
        t.run(200.seconds)
        assertEquals(emptyList<String>(), t.violations.take(3), "seed $seed")
        assertEquals(jobs.size, t.confirmed.size)
        assertEquals(emptyList<String>(), t.killed, "seed $seed")
    }

    @ParameterizedTest
    @ValueSource(longs = [81, 82, 83])
    fun `the node that stored a cancellation ends before its user hears, and another one confirms it`(seed: Long) {
        val t = atOldLeader(seed, CancellationSimulation.SETTINGS, "cancelled", "healthy")
        t.run(30.seconds)
        t.members[0].refusedUntil = 44.seconds
        for (w in t.workers) t.at(30.2.seconds) { t.members[1].cancel("cancelled-${w.name}") }
        t.at(30.201.seconds) { t.members[1].stop(6.seconds) }
        for (w in t.workers) t.at(31.2.seconds) { t.members[2].cancel("cancelled-${w.name}") }
        t.at(33.seconds) { t.storeDownUntil = 94.seconds }
        t.run(200.seconds)
        assertEquals(emptyList<String>(), t.violations.take(3), "seed $seed")
        assertTrue(t.workers.none { w -> w.jobs.any { it in t.confirmed } })
        assertEquals(emptyList<String>(), t.killed.filter { it.startsWith("healthy") }, "seed $seed")
    }

    @ParameterizedTest
    @ValueSource(longs = [91, 92, 93])
    fun `the state service is slow instead of out`(seed: Long) {
        val t =
            gap(seed) {
                at(29.seconds) { storeSlowUntil = 120.seconds }
                at(33.seconds) { storeDownUntil = 33.seconds }
            }
        assertEquals(t.workers.size, t.confirmed.size)
        assertEquals(emptyList<String>(), t.killed, "seed $seed")
    }

    /** Cuts, refusals, outages, ends and losses in any order, with cancellations at any node. */
    @Test
    fun `random days keep the promise`() {
        var told = 0
        for (seed in 1L..300L) {
            val r = Random(seed)
            val t = CancellationSimulation(seed, if (seed % 2 == 0L) mill else CancellationSimulation.SETTINGS, loss = if (seed % 3 == 0L) 0.1 else 0.0)
            var at = 20.0
            var n = 0
            while (at < 280.0) {
                at += r.nextDouble() * 6
                val node = t.members[r.nextInt(3)]
                val span = (r.nextDouble() * 70).seconds
                val kind = r.nextInt(12)
                t.at(at.seconds) {
                    when (kind) {
                        0 -> node.refusedUntil = t.now + span
                        1 -> node.peersCutUntil = t.now + span
                        2 -> t.storeDownUntil = t.now + span
                        3 -> node.stop(if (r.nextBoolean()) 300.milliseconds else 8.seconds)
                        else -> {
                            val w = t.workers[r.nextInt(t.workers.size)]
                            val job = "j-${n++}"
                            w.jobs += job
                            t.at(t.now + (r.nextDouble() * 20).seconds) { node.cancel(job) }
                        }
                    }
                }
            }
            t.run(400.seconds)
            assertEquals(emptyList<String>(), t.violations.take(3), "seed $seed")
            told += t.confirmed.size
        }
        assertTrue(told > 1000, "$told confirmed")
    }
}
