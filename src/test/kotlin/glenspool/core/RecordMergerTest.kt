package glenspool.core

import glenspool.controller.transactionOf
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StoredPlacement
import glenspool.simulation.InMemoryStore
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** What becomes of split records while the level that allows them is being left. */
class RecordMergerTest : SchedulerDriver(config(txnOps = 4).copy(valueBytes = 2048, writeRps = 8.0)) {
    private val state = InMemoryStore()
    private val wide = job("wide", tasks = 160, priority = Priority.URGENT)

    private fun fleet(size: Int) {
        step { machineTypesKnown(listOf(glenspool.simulation.bigType)) }
        for (n in 1..size) say(heartbeat("i-%06d".format(n)))
    }

    /** Carries out what is to be stored for so many seconds; the most changes in any second. */
    private fun storeAll(first: List<Action>, seconds: Int): Int {
        var actions = first
        var most = 0
        repeat(seconds) {
            var changes = 0
            actions.filterIsInstance<StoreChanges>().forEach { store ->
                val transaction = transactionOf(0, store)
                changes += transaction.puts.size + transaction.removes.size
                state.transact(emptyMap(), transaction.puts, transaction.removes)
                actions = confirm()
            }
            most = maxOf(most, changes)
            if (actions.none { it is StoreChanges }) actions = wait(1.seconds)
        }
        return most
    }

    private fun stored() = state.entries.getValue(Keys.job("wide")).value

    private fun places(): Map<Int, String> =
        JobRecordReader(state).read("wide", stored()).let { record ->
            (record.placements + record.placementParts.values.flatten()).associate {
                it.task to
                    it.machine
            }
        }

    @Test
    fun `places are brought back as results make room, within the rate, and none is lost`() {
        step { membersChecked(true) }
        fleet(160)
        storeAll(submit(wide) + wait(2.seconds), 60)
        assertTrue(RecordWire.isSealed(stored()))
        val before = places()
        assertEquals(160, before.size)
        val most = storeAll(step { splittingForbidden(true) }, 20)
        assertTrue(most <= 8, "$most changes in a second")
        // Not all of them fit as long as they all run.
        assertEquals(before, places())
        assertTrue(RecordWire.isSealed(stored()))
        val running =
            core.jobs
                .getValue("wide")
                .placements.values
                .toList()
        for (place in running.drop(20)) {
            say(heartbeat(place.machine, listOf(task("wide", place.task, place.attempt, glenspool.core.model.TaskState.EXITED, glenspool.core.model.ExitReason.DONE))))
        }
        storeAll(wait(2.seconds), 60)
        assertFalse(RecordWire.isSealed(stored()))
        assertEquals(emptyList<String>(), state.entries.keys.filter { it.startsWith(Keys.PLACEMENT_PART) })
        assertEquals(before.filterKeys { it in running.take(20).map { place -> place.task } }, places())
    }

    @Test
    fun `an intended place that can't be stored any more is placed anew, and nothing is split meanwhile`() {
        step { membersChecked(true) }
        fleet(160)
        submit(wide)
        val decided = wait(2.seconds)
        assertTrue(decided.any { it is StoreChanges })
        assertTrue(core.jobs.getValue("wide").isSplit)
        step { splittingForbidden(true) }
        assertFalse(core.jobs.getValue("wide").isSplit)
        step { storeEnded(StoreOutcome.Refused(emptySet())) }
        storeAll(wait(2.seconds), 2)
        assertFalse(RecordWire.isSealed(stored()))
        assertTrue(places().size in 30..159, "${places().size}")
        // Nor does a value that is refused for its size lead to a split one now.
        step { storeEnded(StoreOutcome.TooLarge()) }
        assertFalse(core.maySplitRecords)
        step { splittingForbidden(false) }
        assertTrue(core.maySplitRecords)
        val taken = places().values
        for (n in 1..160) "i-%06d".format(n).let { if (it !in taken) say(heartbeat(it)) }
        storeAll(wait(2.seconds), 60)
        assertEquals(160, places().size)
    }

    @Test
    fun `what an earlier leader split is brought back after a take-over`() {
        val placementParts = mapOf(0 to (3..9).map { StoredPlacement(it, 1, "i-00000$it") })
        val record =
            JobRecord(wide, now, 9, BitSet(), listOf(StoredPlacement(1, 1, "i-000001")), placementParts = placementParts)
        step { machineTypesKnown(listOf(glenspool.simulation.bigType)) }
        val actions =
            step {
                jobStored(record, ++revision)
                splittingForbidden(true)
            }
        storeAll(actions, 10)
        assertFalse(RecordWire.isSealed(stored()))
        assertEquals((listOf(1) + (3..9)).toSet(), places().keys)
    }
}
