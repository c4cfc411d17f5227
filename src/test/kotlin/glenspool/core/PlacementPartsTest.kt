package glenspool.core

import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Placements that do not fit into their job's record are stored in separate parts. */
class PlacementPartsTest : SmallValuesTestBase() {
    @Test
    fun `a job with one machine per task is stored in values within the limit, and all its tasks start`() {
        step { splitRecordSupportChecked(true) }
        startFleet(160)
        val actions = storeAll(submit(wideJob) + advanceTime(2.seconds))
        assertEquals(0, sizeRefusals)
        assertEquals(160, actions.starts().size)
        val record = storedRecord()
        assertEquals((0 until 160).toSet(), record.allPlacements().map { it.task }.toSet())
        // The next leader reads the same placements.
        val next = Scheduler(core.config, TOKEN + 1, now)
        next.step(now, now) { jobRecordRead(record, 1) }
        assertEquals(machinesOfWide(core), machinesOfWide(next))
    }

    private fun machinesOfWide(scheduler: Scheduler): Map<Int, String> =
        scheduler.jobs.getValue("wide").placements.mapValues { it.value.machine }

    @Test
    fun `no start is sent for a placement whose part is not stored`() {
        step { splitRecordSupportChecked(true) }
        startFleet(400)
        val first =
            singleStoreChanges(submit(wideJob.copy(tasks = 400)) + advanceTime(2.seconds))
                .writes
                .single() as UpdateJobRecord
        val placementParts = first.record.placementParts
        assertTrue(first.parts.size == 3 && placementParts.size > 3, "all parts are in the first transaction")
        val placementsInFirst =
            first.record.placements.size + first.parts.keys.sumOf { placementParts.getValue(it).size }
        assertEquals(placementsInFirst, confirmTransaction().starts().size)
    }

    @Test
    fun `while a controller of an old version may lead, no more tasks are placed than fit into the record`() {
        startFleet(160)
        storeAll(submit(wideJob) + advanceTime(1.seconds), rounds = 2)
        val record = storedRecord()
        val placed = record.placements.size
        assertTrue(record.placementParts.isEmpty() && placed in 30..159, "placed $placed")
        step { splitRecordSupportChecked(true) }
        heartbeatsOfIdleMachines(160, busy = record.placements.map { it.machine })
        storeAll(advanceTime(2.seconds))
        assertEquals(160, storedRecord().allPlacements().size)
        assertEquals(0, sizeRefusals)
    }

    @Test
    fun `of two stored placements of a task the one with the later attempt is used, whichever part it is in`() {
        val placementParts =
            mapOf(
                0 to listOf(StoredPlacement(3, 1, "i-000001"), StoredPlacement(4, 9, "i-000004")),
                1 to listOf(StoredPlacement(3, 7, "i-000002"), StoredPlacement(4, 2, "i-000003")),
            )
        step {
            jobRecordRead(
                JobRecord(wideJob, now, 9, BitSet(), emptyList(), placementParts = placementParts),
                ++revision,
            )
        }
        val placements = scheduledJob("wide").placements
        assertEquals(mapOf(3 to "i-000002", 4 to "i-000004"), placements.mapValues { it.value.machine })
        val machinesInUse = core.machines.values.filter { it.placements.isNotEmpty() }
        assertEquals(setOf("i-000002", "i-000004"), machinesInUse.map { it.id }.toSet())
    }
}
