package glenspool.core

import glenspool.controller.transactionOf
import glenspool.core.model.Intent
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.standin.Driven
import glenspool.standin.StateStandIn
import glenspool.standin.config
import glenspool.standin.job
import glenspool.state.Keys
import glenspool.state.StoredJob
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** What becomes of split records while the level that allows them is being left. */
class RecordMergingTest : Driven(config(txnOps = 4).copy(valueBytes = 2048, writeRps = 8.0)) {
    private val state = StateStandIn()
    private val wide = job("wide", tasks = 160, priority = Priority.URGENT)

    private fun fleet(size: Int) {
        step { typesKnown(listOf(glenspool.standin.bigType)) }
        for (n in 1..size) say(report("i-%06d".format(n)))
    }

    /** Carries out what is to be stored for so many seconds; the most changes in any second. */
    private fun storeAll(first: List<Action>, seconds: Int): Int {
        var actions = first
        var most = 0
        repeat(seconds) {
            var changes = 0
            actions.filterIsInstance<Store>().forEach { store ->
                val transaction = transactionOf(0, store)
                changes += transaction.puts.size + transaction.removes.size
                state.transact(emptyMap(), transaction.puts, transaction.removes)
                actions = confirm()
            }
            most = maxOf(most, changes)
            if (actions.none { it is Store }) actions = wait(1.seconds)
        }
        return most
    }

    private fun stored() = state.entries.getValue(Keys.job("wide")).value

    private fun places(): Map<Int, String> =
        StoredJob(state).read("wide", stored()).let { record ->
            (record.intents + record.shelved.values.flatten()).associate {
                it.task to
                    it.machine
            }
        }

    @Test
    fun `places are brought back as results make room, within the rate, and none is lost`() {
        step { membersKnown(true) }
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
            say(report(place.machine, listOf(task("wide", place.task, place.attempt, glenspool.core.model.TaskState.EXITED, glenspool.core.model.Exit.DONE))))
        }
        storeAll(wait(2.seconds), 60)
        assertFalse(RecordWire.isSealed(stored()))
        assertEquals(emptyList<String>(), state.entries.keys.filter { it.startsWith(Keys.SHELF) })
        assertEquals(before.filterKeys { it in running.take(20).map { place -> place.task } }, places())
    }

    @Test
    fun `an intended place that can't be stored any more is placed anew, and nothing is split meanwhile`() {
        step { membersKnown(true) }
        fleet(160)
        submit(wide)
        val decided = wait(2.seconds)
        assertTrue(decided.any { it is Store })
        assertTrue(core.jobs.getValue("wide").hasPlacesApart)
        step { splittingForbidden(true) }
        assertFalse(core.jobs.getValue("wide").hasPlacesApart)
        step { stored(StoreOutcome.Refused(emptySet())) }
        storeAll(wait(2.seconds), 2)
        assertFalse(RecordWire.isSealed(stored()))
        assertTrue(places().size in 30..159, "${places().size}")
        // Nor does a value that is refused for its size lead to a split one now.
        step { limitsLowered() }
        assertFalse(core.mayShelve)
        step { splittingForbidden(false) }
        assertTrue(core.mayShelve)
        val taken = places().values
        for (n in 1..160) "i-%06d".format(n).let { if (it !in taken) say(report(it)) }
        storeAll(wait(2.seconds), 60)
        assertEquals(160, places().size)
    }

    @Test
    fun `what an earlier leader split is brought back after a take-over`() {
        val shelved = mapOf(0 to (3..9).map { Intent(it, 1, "i-00000$it") })
        val record = JobRecord(wide, now, 9, BitSet(), listOf(Intent(1, 1, "i-000001")), shelved = shelved)
        step { typesKnown(listOf(glenspool.standin.bigType)) }
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
