package glenspool.core

import glenspool.controller.transactionOf
import glenspool.core.model.ExitReason
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StoredPlacement
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.state.Keys
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Tests how split records are handled while the level of stored forms that allows them is being left. */
class RecordSplittingTest :
    SplitRecordTestBase(
        config(txnOps = 4).copy(valueBytes = 2048, writeRps = 8.0),
        job("wide", tasks = 160, priority = Priority.URGENT),
    ) {
    /** Stores changes for the given number of seconds. Returns the largest number of changes in any second. */
    private fun storeAll(first: List<Action>, seconds: Int): Int {
        var actions = first
        var maxChanges = 0
        repeat(seconds) {
            var changes = 0
            actions.filterIsInstance<StoreChanges>().forEach { store ->
                val transaction = transactionOf(0, store)
                changes += transaction.puts.size + transaction.removes.size
                state.transact(emptyMap(), transaction.puts, transaction.removes)
                actions = confirmTransaction()
            }
            maxChanges = maxOf(maxChanges, changes)
            if (actions.none { it is StoreChanges }) actions = advanceTime(1.seconds)
        }
        return maxChanges
    }

    private fun isStoredSplit(): Boolean = RecordWire.isSealed(storedValue())

    private fun storedMachines(): Map<Int, String> = storedRecord().machinesByTask()

    @Test
    fun `placements are merged into the record as results free space, within the write rate, and none is lost`() {
        step { splitRecordSupportChecked(true) }
        startFleet(160)
        storeAll(submit(wideJob) + advanceTime(2.seconds), 60)
        assertTrue(isStoredSplit())
        val before = storedMachines()
        assertEquals(160, before.size)
        val maxChanges = storeAll(step { setSplittingForbidden(true) }, 20)
        assertTrue(maxChanges <= 8, "$maxChanges changes in a second")
        // The placements do not all fit into the record while all tasks run.
        assertEquals(before, storedMachines())
        assertTrue(isStoredSplit())
        val placements = scheduledJob("wide").placements.values.toList()
        for (placement in placements.drop(20)) {
            heartbeatReply(
                placement.machine,
                exitedTask("wide", placement.task, placement.attempt, ExitReason.DONE),
            )
        }
        storeAll(advanceTime(2.seconds), 60)
        assertFalse(isStoredSplit())
        assertEquals(emptyList<String>(), state.entries.keys.filter { it.startsWith(Keys.PLACEMENT_PART) })
        val stillRunning = placements.take(20).map { it.task }
        assertEquals(before.filterKeys { it in stillRunning }, storedMachines())
    }

    @Test
    fun `once splitting is forbidden, unstored split placements are planned again and no record is split`() {
        step { splitRecordSupportChecked(true) }
        startFleet(160)
        submit(wideJob)
        val plannedActions = advanceTime(2.seconds)
        assertTrue(plannedActions.any { it is StoreChanges })
        assertTrue(scheduledJob("wide").isSplit)
        step { setSplittingForbidden(true) }
        assertFalse(scheduledJob("wide").isSplit)
        step { transactionEnded(StoreOutcome.Refused(emptySet())) }
        storeAll(advanceTime(2.seconds), 2)
        assertFalse(isStoredSplit())
        assertTrue(storedMachines().size in 30..159, "${storedMachines().size}")
        // A value that is refused for its size does not lead to a split record now either.
        step { transactionEnded(StoreOutcome.TooLarge()) }
        assertFalse(core.canSplitRecords)
        step { setSplittingForbidden(false) }
        assertTrue(core.canSplitRecords)
        heartbeatsOfIdleMachines(160, busy = storedMachines().values)
        storeAll(advanceTime(2.seconds), 60)
        assertEquals(160, storedMachines().size)
    }

    @Test
    fun `a record that an earlier leader split is merged after a failover`() {
        val placementParts = mapOf(0 to (3..9).map { StoredPlacement(it, 1, "i-00000$it") })
        val placements = listOf(StoredPlacement(1, 1, "i-000001"))
        val record = JobRecord(wideJob, now, 9, BitSet(), placements, placementParts = placementParts)
        step { machineTypesRead(listOf(bigType)) }
        val actions =
            step {
                jobRecordRead(record, ++revision)
                setSplittingForbidden(true)
            }
        storeAll(actions, 10)
        assertFalse(isStoredSplit())
        assertEquals((listOf(1) + (3..9)).toSet(), storedMachines().keys)
    }
}
