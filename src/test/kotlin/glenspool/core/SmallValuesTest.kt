package glenspool.core

import glenspool.controller.transactionOf
import glenspool.core.model.JobRecord
import glenspool.core.model.Resources
import glenspool.core.model.StoredPlacement
import glenspool.simulation.InMemoryStore
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.wire.Cbor
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Values of at most 2 KiB, and 4 changes a transaction: the smallest limits of the sites. */
class SmallValuesTest : SchedulerDriver(config(txnOps = 4, peerZones = setOf("b")).copy(valueBytes = LIMIT)) {
    private val state =
        InMemoryStore().also {
            it.valueLimit = LIMIT
            it.opsLimit = 4
        }
    private val wide =
        job("wide", tasks = 160, resourceRequest = Resources(14.0, 4.0, 60.0), estimatedDuration = 1000.seconds)

    /** Carries out what is to be stored, as the state service does; what it refuses for its size, and how often. */
    private var tooLarge = 0

    private fun storeAll(first: List<Action>, rounds: Int = 60): List<Action> {
        val others = ArrayList<Action>()
        var acts = first
        repeat(rounds) {
            val s = acts.filterIsInstance<StoreChanges>().singleOrNull()
            others.addAll(acts.filter { it !is StoreChanges })
            acts =
                if (s == null) {
                    wait(1.seconds)
                } else {
                    val t = transactionOf(0, s)
                    assertTrue(t.puts.size + t.removes.size <= 4)
                    if (t.puts.any(state::tooLarge)) {
                        tooLarge++
                        step { storeEnded(StoreOutcome.TooLarge()) }
                    } else {
                        state.transact(emptyMap(), t.puts, t.removes)
                        confirm()
                    }
                }
        }
        return others
    }

    private fun stored(): JobRecord =
        JobRecordReader(state)
            .read("wide", state.entries.getValue(Keys.job("wide")).value)

    private fun fleet(n: Int) {
        step { machineTypesKnown(listOf(glenspool.simulation.bigType)) }
        for (i in 1..n) say(heartbeat("i-%06d".format(i)))
    }

    @Test
    fun `a job on as many machines as it has tasks is stored in values that fit, and starts whole`() {
        step { membersChecked(true) }
        fleet(160)
        val acts = storeAll(submit(wide) + wait(2.seconds))
        assertEquals(0, tooLarge)
        assertEquals(160, acts.starts().size)
        val r = stored()
        assertEquals((0 until 160).toSet(), (r.placements + r.placementParts.values.flatten()).map { it.task }.toSet())
        // A later leader, of the same picture.
        val later = Scheduler(core.config, TOKEN + 1, now)
        later.step(now, now) { jobStored(r, 1) }
        assertEquals(
            core.jobs
                .getValue("wide")
                .placements
                .mapValues { it.value.machine },
            later.jobs
                .getValue("wide")
                .placements
                .mapValues { it.value.machine },
        )
    }

    @Test
    fun `no start is sent for a place whose shelf is not stored`() {
        step { membersChecked(true) }
        fleet(400)
        val first = store(submit(wide.copy(tasks = 400)) + wait(2.seconds)).writes.single() as UpdateJobRecord
        assertTrue(first.parts.size == 3 && first.record.placementParts.size > 3, "all of it went into the first transaction")
        val inFirst =
            first.record.placements.size +
                first.parts.keys.sumOf {
                    first.record.placementParts
                        .getValue(it)
                        .size
                }
        assertEquals(inFirst, confirm().starts().size)
    }

    @Test
    fun `while an old controller may lead, no more is placed than a record holds`() {
        fleet(160)
        storeAll(submit(wide) + wait(1.seconds), rounds = 2)
        val r = stored()
        assertTrue(r.placementParts.isEmpty() && r.placements.size in 30..159, "placed ${r.placements.size}")
        step { membersChecked(true) }
        val taken = r.placements.map { it.machine }
        for (i in 1..160) "i-%06d".format(i).let { if (it !in taken) say(heartbeat(it)) }
        storeAll(wait(2.seconds))
        assertEquals(160, stored().let { it.placements.size + it.placementParts.values.sumOf { l -> l.size } })
        assertEquals(0, tooLarge)
    }

    @Test
    fun `of two stored places of a task the newer one counts, whichever shelf it is on`() {
        val placementParts =
            mapOf(
                0 to listOf(StoredPlacement(3, 1, "i-000001"), StoredPlacement(4, 9, "i-000004")),
                1 to listOf(StoredPlacement(3, 7, "i-000002"), StoredPlacement(4, 2, "i-000003")),
            )
        step { jobStored(JobRecord(wide, now, 9, BitSet(), emptyList(), placementParts = placementParts), ++revision) }
        val places = core.jobs.getValue("wide").placements
        assertEquals(mapOf(3 to "i-000002", 4 to "i-000004"), places.mapValues { it.value.machine })
        assertEquals(
            setOf("i-000002", "i-000004"),
            core.machines.values
                .filter { it.placements.isNotEmpty() }
                .map { it.id }
                .toSet(),
        )
    }

    @Test
    fun `a result of a large job may be forgotten only when its own part is stored`() {
        val large = job("large", tasks = 30_000)
        step { machineTypesKnown(listOf(glenspool.simulation.bigType)) }
        submit(large, listOf(0, 9_000, 18_000, 27_000).map { StoredPlacement(it, 1, "i-000001") }, last = 1)
        val ended =
            listOf(0, 9_000, 18_000, 27_000).map {
                task("large", it, 1, glenspool.core.model.TaskState.EXITED, glenspool.core.model.ExitReason.DONE)
            }
        say(heartbeat("i-000001", ended))
        val write = store(wait(3.seconds)).writes.single() as UpdateJobRecord
        confirm()
        val forgotten =
            say(heartbeat("i-000001", ended)).first.filterIsInstance<glenspool.core.model.ForgetTask>().map {
                it.key.task
            }
        assertEquals(write.chunks, forgotten.map { it / JobRecord.TASKS_PER_CHUNK })
        assertEquals(2, forgotten.size)
    }

    private fun inherited(): List<Action> =
        step {
            jobStored(
                JobRecord(
                    wide, now, 400, BitSet(),
                    (0 until 120).map {
                        StoredPlacement(it, 100L + it, "i-%06d".format(it + 1))
                    },
                ),
                ++revision,
            )
        }

    @Test
    fun `a record that an old controller left too large is split when it is written again`() {
        inherited()
        // Refused once: that is how the new limit shows.
        core.jobs.getValue("wide").storeSoon()
        storeAll(wait(1.seconds))
        assertEquals(1, tooLarge)
        val r = stored()
        assertEquals(
            (0 until 120).associateWith { "i-%06d".format(it + 1) },
            (r.placements + r.placementParts.values.flatten()).associate {
                it.task to
                    it.machine
            },
        )
    }

    @Test
    fun `a change that the state service can't take holds up no other, and is not tried without end`() {
        val huge = job("huge").copy(types = List(300) { "some-type-$it" })
        step { membersChecked(true) }
        fleet(4)
        submit(huge.copy(types = huge.types.orEmpty() + "big"))
        val acts = storeAll(submit(job("small")) + wait(2.seconds))
        assertEquals(listOf("small"), acts.starts().map { it.key.job })
        assertTrue(tooLarge in 1..4, "tried $tooLarge times in a minute")
        assertTrue(acts.filterIsInstance<LogMessage>().any { it.isImportant && "too-large job=huge" in it.text })
        // Its description was stored in pieces, so that the record fits.
        now += 60.seconds
        val retry = store(wait(1.seconds))
        step { storeEnded(StoreOutcome.TooLarge(mapOf("huge" to 3))) }
        assertEquals(listOf("huge"), retry.writes.map { it.id })
        val again = store(wait(1.seconds)).writes.single() as UpdateJobRecord
        assertEquals(3, again.record.descriptionParts)
        assertTrue(Cbor.jsonBytes(glenspool.wire.RecordWire.encode(again.record)) < LIMIT)
    }

    private companion object {
        const val LIMIT = 2048
    }
}
