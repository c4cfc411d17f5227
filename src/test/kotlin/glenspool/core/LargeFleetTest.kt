package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.wire.Cbor
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A thousand machines and thousands of jobs, by counts: what an event costs must not grow with either. */
class LargeFleetTest {
    private val core = Scheduler(config(), 5, Duration.ZERO)
    private var now = Duration.ZERO
    private var revision = 10L
    private val sequences = HashMap<String, Long>()
    private val on = HashMap<String, HashMap<TaskKey, TaskStatus>>()
    private var writes = 0
    private var transactions = 0
    private var started = 0
    private var deletions = 0
    private var questions = 0

    private fun heartbeat(m: String): Heartbeat =
        Heartbeat(
            m, "addr-$m", "big",
            if (m.hashCode() % 2 ==
                0
            ) {
                "a"
            } else {
                "b"
            },
            false, 1, sequences.merge(m, 1, Long::plus) ?: 1, 5, null, on[m]?.values?.toList().orEmpty(),
        )

    private fun step(body: Scheduler.() -> Unit) {
        val pending = ArrayDeque(core.step(now, now, body))
        while (true) {
            when (val a = pending.removeFirstOrNull() ?: return) {
                is StoreChanges -> {
                    transactions++
                    writes += a.writes.sumOf { w -> if (w is StoreFinalState) 2 else 1 }
                    pending.addAll(core.step(now, now) { storeEnded(StoreOutcome.Stored(++revision)) })
                }
                is SendCommands -> {
                    for (c in a.commands) {
                        if (c !is StartTask) continue
                        started++
                        on.getOrPut(a.machine) { HashMap() }[c.key] =
                            TaskStatus(c.key, c.attempt, TaskState.RUNNING, null, false)
                    }
                    pending
                        .addAll(
                            core.step(now, now) {
                                commandsEnded(a.machine, a, CommandOutcome.DONE, heartbeat(a.machine))
                            },
                        )
                }
                is DeleteMachines -> deletions += a.machines.size
                is Probe -> questions++
                else -> Unit
            }
        }
    }

    private fun fleet(machines: Int, jobs: Int) {
        step { machineTypesKnown(listOf(bigType)) }
        for (i in 1..machines) step { heartbeatReceived(heartbeat("m$i")) }
        // Tasks as large as a quarter of a machine, and twice as many of them as there are places.
        for (j in 1..jobs) {
            val spec =
                job(
                    "j$j", tasks = 8, resourceRequest = Resources(4.0, 1.0, 16.0), image = "i${j % 7}",
                    priority =
                        Priority.entries[
                            j %
                                2,
                        ],
                    estimatedDuration = 100.seconds,
                )
            step { jobStored(JobRecord(spec, now, 0, BitSet(), emptyList()), ++revision) }
        }
        repeat(120) {
            now += 250.milliseconds
            if (it % 4 == 0) on.keys.toList().forEach { m -> step { heartbeatReceived(heartbeat(m)) } }
            step { tick() }
        }
    }

    /** What reports cost that say nothing new. */
    private fun workOfReports(machines: Int, jobs: Int): Long {
        fleet(machines, jobs)
        val before = core.workCounters.total
        val rounds = core.workCounters.rounds
        repeat(100) { step { heartbeatReceived(heartbeat("m${it + 1}")) } }
        assertEquals(rounds, core.workCounters.rounds, "a report that says nothing new starts no round")
        return core.workCounters.total - before
    }

    @Test
    fun `a report costs the same on a hundred machines and on two thousand`() {
        val small = workOfReports(100, 100)
        val large = LargeFleetTest().workOfReports(2000, 1000)
        assertTrue(large <= small + 100, "$small with 100 machines, $large with 2,000")
    }

    @Test
    fun `a report costs the same on a hundred machines and on four thousand`() {
        val small = workOfReports(100, 100)
        val large = LargeFleetTest().workOfReports(4000, 2000)
        assertTrue(large <= small + 100, "$small with 100 machines, $large with 4,000")
    }

    /** The work of a whole fleet that reports once, all within a second, to a leader that knows nothing of it yet. */
    private fun workOfFirstReports(machines: Int): Long {
        step { machineTypesKnown(listOf(bigType)) }
        for (n in 0 until machines / 8) {
            val placements = (0 until 8).map { StoredPlacement(it, it + 1L, "m${n * 8 + it}") }
            val spec =
                job("j$n", tasks = 8, resourceRequest = Resources(14.0, 4.0, 50.0), estimatedDuration = 1000.seconds)
            step { jobStored(JobRecord(spec, now, 8, BitSet(), placements), ++revision) }
            for (placement in placements) {
                TaskKey(spec.id, placement.task).let {
                    on[placement.machine] =
                        hashMapOf(it to TaskStatus(it, placement.attempt, TaskState.RUNNING, null, false))
                }
            }
        }
        val before = core.workCounters.total
        for (n in 0 until machines) {
            now += 1.seconds / machines
            step { heartbeatReceived(heartbeat("m$n")) }
        }
        assertEquals(listOf(0, 0, 0), listOf(started, writes, deletions))
        return core.workCounters.total - before
    }

    @Test
    fun `four thousand machines that report within a second cost in proportion to their number, and nothing is ordered`() {
        val small = workOfFirstReports(400)
        val large = LargeFleetTest().workOfFirstReports(4000)
        assertTrue(large <= small * 12, "$small for 400 machines, $large for 4,000")
    }

    @Test
    fun `a job on four thousand machines at once is stored whole in values that fit`() {
        val wide =
            job(
                "wide", tasks = 4000, resourceRequest = Resources(14.0, 4.0, 50.0), priority = Priority.URGENT,
                estimatedDuration =
                    1000
                        .seconds,
            )
        step {
            membersChecked(true)
            machineTypesKnown(listOf(bigType))
        }
        step { jobStored(JobRecord(wide, now, 0, BitSet(), emptyList()), ++revision) }
        repeat(8) {
            for (n in 1..4000) {
                now += 0.25.milliseconds
                step { heartbeatReceived(heartbeat("m$n")) }
            }
            step { tick() }
        }
        val record = core.jobs.getValue("wide").record()
        assertEquals(4000, started)
        assertEquals(
            (0 until 4000).toSet(),
            (record.placements + record.placementParts.values.flatten())
                .map { it.task }
                .toSet(),
        )
        assertTrue(record.placementParts.size > 16, "${record.placementParts.size} shelves")
        val values = record.placementParts.values.map { RecordWire.encodePlaces(it) } + RecordWire.encode(record)
        assertTrue(values.all { Cbor.jsonBytes(it) <= config().valueBytes }, "${values.map { Cbor.jsonBytes(it) }}")
    }

    @Test
    fun `a take-over of two thousand machines starts, stores and gives up nothing`() {
        val all = (1..2000).map { "m$it" }
        step { machineTypesKnown(listOf(bigType)) }
        for ((n, part) in all.chunked(8).withIndex()) {
            val placements = part.mapIndexed { i, m -> StoredPlacement(i, i + 1L, m) }
            val spec =
                job(
                    "j$n", tasks = 8, resourceRequest = Resources(14.0, 4.0, 50.0), image = "i${n % 7}",
                    estimatedDuration =
                        1000
                            .seconds,
                )
            step { jobStored(JobRecord(spec, now, 8, BitSet(), placements), ++revision) }
            for (i in placements) {
                TaskKey(spec.id, i.task).let {
                    on[i.machine] =
                        hashMapOf(it to TaskStatus(it, i.attempt, TaskState.RUNNING, null, false))
                }
            }
        }
        step {
            machinesListed(
                all.map {
                    ListedMachine(
                        it, "addr-$it", "big", "a", false, MachineStage.RUNNING,
                        100
                            .seconds,
                    )
                },
            )
        }
        // They find the new leader by and by, a tenth of them in each half second, and report every two seconds from
        // then on.
        repeat(60) { n ->
            all
                .filterIndexed {
                    i,
                    _,
                    ->
                    i % 10 <= n && (i + n) % 4 == 0
                }.forEach { m -> step { heartbeatReceived(heartbeat(m)) } }
            now += 500.milliseconds
            step { tick() }
        }
        assertEquals(listOf(0, 0, 0), listOf(started, writes, deletions))
        assertEquals(
            2000,
            core.jobs.values.sumOf { j ->
                j.placements.values.count { it.taskState == TaskState.RUNNING }
            },
        )
        assertTrue(questions < 2000, "$questions questions for 2,000 machines that report by themselves")
    }

    @Test
    fun `placing a full fleet scores each job's machines about once, and stores each job about once`() {
        fleet(1000, 1000)
        assertEquals(4000, started)
        assertTrue(core.workCounters.placementScores / started < 1500, "${core.workCounters.placementScores} scores for $started places")
        assertTrue(writes < started / 4, "$writes stored changes for $started places")
    }

    @Test
    fun `tasks that end cost a fraction of a stored change each`() {
        fleet(1000, 1000)
        val before = writes
        val startedBefore = started
        var ended = 0
        repeat(60) {
            now += 500.milliseconds
            for (m in on.keys.toList().filterIndexed { i, _ -> i % 60 == it }) {
                for ((k, t) in on.getValue(m).toMap()) {
                    if (t.exit != null) continue
                    on.getValue(m)[k] = t.copy(state = TaskState.EXITED, exit = ExitReason.DONE)
                    ended++
                }
                step { heartbeatReceived(heartbeat(m)) }
                on.getValue(m).values.removeIf { it.exit != null }
            }
            step { tick() }
        }
        val changes = writes - before
        assertTrue(ended > 3900 && started - startedBefore > 3000, "$ended ended, ${started - startedBefore} started")
        assertTrue(changes < (ended + started - startedBefore) * 0.4, "$changes stored changes for $ended ended and ${started - startedBefore} started tasks")
    }

    @Test
    fun `critical work is stored before a backlog of results`() {
        fleet(200, 300)
        for (m in on.keys.toList()) {
            on.getValue(m).replaceAll { _, t -> t.copy(state = TaskState.EXITED, exit = ExitReason.DONE) }
            core.step(now, now) { heartbeatReceived(heartbeat(m)) }
        }
        now += 3.seconds
        core.step(now, now) {
            jobStored(JobRecord(job("s", JobKind.SERVICE, 2, priority = Priority.CRITICAL), now, 0, BitSet(), emptyList()), ++revision)
        }
        // One transaction was on its way; the next begins with what somebody waits for.
        val store =
            core
                .step(now, now) { storeEnded(StoreOutcome.Stored(++revision)) }
                .filterIsInstance<StoreChanges>()
                .single()
        assertEquals("s", store.writes.first().id)
    }
}
