package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.ReferenceDifferences
import glenspool.simulation.job
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Differences kept up event by event, against comparing everything anew and against a slow plain model. */
class DifferenceTrackerTest {
    private val tracker = DifferenceTracker()
    private val plain = ReferenceDifferences()
    private val machines = List(5) { "m$it" }
    private val jobs = List(4) { "j$it" }
    private var now = Duration.ZERO
    private var sequence = 0L

    private fun names(findings: Map<String, MachineFindings>) =
        findings.values
            .flatMap { it.differences }
            .map { d ->
                "${d.kind} ${d.machine}${d.task?.let { " ${it.job}/${it.task}" } ?: ""}"
            }.sorted()

    private fun store(random: Random, id: String, adopted: Boolean) {
        val kind = if (id == "j0") JobKind.SERVICE else JobKind.ARRAY
        val done = BitSet().also { if (kind == JobKind.ARRAY && random.nextInt(3) == 0) it.set(random.nextInt(3)) }
        val placements =
            (0 until 3)
                .filter {
                    random.nextBoolean()
                }.map {
                    StoredPlacement(
                        it, 1L + random.nextInt(2),
                        machines[
                            random
                                .nextInt(machines.size),
                        ],
                    )
                }
        val before =
            plain.records[id]
                ?.placements
                .orEmpty()
                .toSet()
        val record = JobRecord(job(id, kind, 3), now, 2, done, placements)
        plain.records[id] = record
        for (i in placements) {
            val name = "$id/${i.task}#${i.attempt}@${i.machine}"
            if (i !in before) {
                if (adopted) {
                    plain.adopted.add(name)
                } else {
                    plain.adopted.remove(name)
                }
            }
        }
        tracker.jobStored(record, adopted)
    }

    private fun observe(random: Random, machine: String) {
        val tasks =
            jobs.flatMap { id -> (0 until 3).map { TaskKey(id, it) } }.filter { random.nextInt(5) == 0 }.map { key ->
                val ended = random.nextInt(3) == 0
                TaskStatus(key, 1L + random.nextInt(2), if (ended) TaskState.EXITED else TaskState.RUNNING, if (ended) ExitReason.DONE else null, false)
            }
        val heartbeat = Heartbeat(machine, "addr", "big", "a", false, 1, ++sequence, 1, null, tasks)
        val source = if (random.nextInt(3) == 0) HeartbeatSource.REPLY else HeartbeatSource.WORKER
        val trusted = random.nextInt(4) > 0
        plain.seen[machine] =
            ReferenceDifferences.Seen(
                heartbeat, trusted,
                source == HeartbeatSource.WORKER || plain.seen[machine]?.reportedItself == true,
            )
        tracker.machineObserved(heartbeat, source, trusted, now)
    }

    private fun list(random: Random) {
        val named =
            machines.filter { random.nextInt(4) > 0 }.associateWith {
                if (random.nextInt(4) ==
                    0
                ) {
                    MachineStage.BOOTING
                } else {
                    MachineStage.RUNNING
                }
            }
        plain.listRead = true
        for ((m, old) in plain.listed.toMap()) {
            if (m !in
                named
            ) {
                plain.listed[m] = ReferenceDifferences.Listed(old.stage, true)
            }
        }
        for ((m, stage) in named) plain.listed[m] = ReferenceDifferences.Listed(stage, false)
        tracker.machinesListed(
            named.map { (m, stage) ->
                ListedMachine(m, "addr", "big", "a", false, stage, 9.seconds)
            },
            now,
        )
    }

    private fun happen(random: Random) {
        val id = jobs[random.nextInt(jobs.size)]
        val machine = machines[random.nextInt(machines.size)]
        when (random.nextInt(12)) {
            in 0..2 -> store(random, id, adopted = random.nextBoolean())
            in 3..7 -> observe(random, machine)
            8 -> list(random)
            9 ->
                if (plain.records.containsKey(id)) {
                    plain.cancelled.add(id)
                    tracker.jobCancelled(id)
                }
            10 -> {
                plain.records.remove(id)
                plain.cancelled.remove(id)
                plain.adopted.removeIf { it.startsWith("$id/") }
                tracker.jobEnded(id)
            }
            else -> {
                plain.seen.remove(machine)
                plain.listed.remove(machine)
                tracker.machineDeleted(machine)
            }
        }
    }

    @Property(tries = 400)
    fun `what is kept up equals what comparing everything shows, and the plain model`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val test = DifferenceTrackerTest()
        repeat(60) {
            test.now += 1.seconds
            test.happen(random)
            assertEquals(MachineComparison.all(test.tracker.views), test.tracker.findings.toMap(), "seed $seed")
            assertEquals(test.plain.names(), test.names(test.tracker.findings), "seed $seed")
            val totals = test.tracker.totals()
            assertEquals(
                test.tracker.findings.values
                    .sumOf { it.differences.size },
                totals.byKind.values.sum(),
            )
            assertEquals(
                test.tracker.findings.values
                    .sumOf { it.adopted } to
                    test.tracker.findings.values
                        .sumOf { it.confirmed },
                totals.adopted to totals.confirmed,
            )
        }
    }

    @Property(tries = 50)
    fun `learning the same once more changes nothing`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val test = DifferenceTrackerTest()
        repeat(30) { test.happen(random) }
        val before = test.names(test.tracker.findings)
        test.plain.records.values
            .forEach { test.tracker.jobStored(it, adopted = false) }
        for (seen in test.plain.seen.values) {
            test.tracker
                .machineObserved(
                    seen.heartbeat, if (seen.reportedItself) HeartbeatSource.WORKER else HeartbeatSource.REPLY, seen.trusted,
                    99
                        .seconds,
                )
        }
        assertEquals(before, test.names(test.tracker.findings), "seed $seed")
    }

    /** Comparisons for one report of a fleet whose machines run four tasks each. */
    private fun comparisonsPerReport(fleet: Int): Long {
        val tracker = DifferenceTracker()
        for (j in 0 until fleet) {
            val placements = (0 until 4).map { StoredPlacement(it, 1, "m${(j + it * 7) % fleet}") }
            tracker.jobStored(JobRecord(job("j$j", tasks = 4), Duration.ZERO, 1, BitSet(), placements), adopted = true)
        }

        fun heartbeat(m: Int, sequence: Long): Heartbeat {
            val state = if (sequence > 1) TaskState.CHECKPOINTING else TaskState.RUNNING
            val tasks =
                (0 until 4).map {
                    TaskStatus(TaskKey("j${(m - it * 7).mod(fleet)}", it), 1, state, null, false)
                }
            return Heartbeat("m$m", "addr", "big", "a", false, 1, sequence, 1, null, tasks)
        }
        for (m in 0 until fleet) tracker.machineObserved(heartbeat(m, 1), HeartbeatSource.WORKER, true, 1.seconds)
        assertEquals(DifferenceTotals(emptyMap(), fleet * 4, fleet * 4), tracker.totals())
        val before = tracker.comparisons
        for (m in 0 until fleet) tracker.machineObserved(heartbeat(m, 1), HeartbeatSource.WORKER, true, 2.seconds)
        assertEquals(before, tracker.comparisons)
        for (m in 0 until fleet) tracker.machineObserved(heartbeat(m, 2), HeartbeatSource.WORKER, true, 2.seconds)
        return (tracker.comparisons - before) / fleet
    }

    @Test
    fun `the work for a report does not grow with the fleet`() {
        // The same report once more is no news; a changed one concerns its own machine.
        assertEquals(listOf(1L, 1L, 1L), listOf(40, 300, 4000).map(::comparisonsPerReport))
    }

    @Test
    fun `unheard is unknown, and only a report that shows this leader's token proves a task missing`() {
        tracker.jobStored(JobRecord(job("a", tasks = 1), now, 1, BitSet(), listOf(StoredPlacement(0, 1, "m1"))), adopted = true)
        assertEquals(listOf("UNHEARD_MACHINE m1"), names(tracker.findings))
        val empty = Heartbeat("m1", "addr", "big", "a", false, 2, 1, 1, null, emptyList())
        tracker.machineObserved(empty, HeartbeatSource.WORKER, trusted = false, 1.seconds)
        assertTrue(tracker.findings.values.all { it.differences.isEmpty() })
        tracker.machineObserved(empty, HeartbeatSource.WORKER, trusted = true, 2.seconds)
        assertEquals(listOf("MISSING_TASK m1 a/0"), names(tracker.findings))
        assertEquals(
            Evidence(EvidenceSource.REPORT, 2.seconds),
            tracker.findings
                .getValue("m1")
                .differences
                .single()
                .evidence,
        )
    }
}
