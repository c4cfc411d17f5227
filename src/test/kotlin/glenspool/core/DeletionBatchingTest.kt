package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that deletions are sent in batches at a minimum interval, because the cloud allows only few calls. */
class DeletionBatchingTest : SchedulerTestBase() {
    @Test
    fun `machines lost one after the other share a deletion call`() {
        val running = startBusyMachines(6, peerZoneMachines = 6)
        val first = applyCloudList(running.keys, failed = setOf("m1"))
        assertEquals(listOf(listOf("m1")), first.deletions().map { it.machines })
        // Within the interval nothing is sent; machines lost meanwhile are deleted together after it.
        assertTrue(applyCloudList(running.keys, failed = setOf("m1", "m2")).none { it is DeleteMachines })
        now += 200.milliseconds
        assertTrue(applyCloudList(running.keys, failed = setOf("m1", "m2", "z1")).none { it is DeleteMachines })
        now += 200.milliseconds
        assertEquals(listOf(listOf("m2", "z1")), step { tick() }.deletions().map { it.machines })
    }

    @Test
    fun `deletion calls are sent at a minimum interval, and no machine is skipped`() {
        val running = startBusyMachines(8)
        assertEquals(setOf("m1"), applyCloudList(running.keys, failed = setOf("m1")).deletedMachines())
        val withinInterval = applyCloudList(running.keys, failed = setOf("m1", "m2"))
        assertEquals(emptySet<String>(), withinInterval.deletedMachines(), "no call within the interval")
        assertEquals(setOf("m2"), advanceTime(1.seconds).deletedMachines())
    }

    @Test
    fun `many lost machines are deleted with few calls`() {
        val running = startBusyMachines(40)
        val lost = running.keys.take(15).toSet()
        val deletions = runWithHeartbeats(16.seconds, running - lost, lost).deletions()
        assertEquals(lost, deletions.flatMap { it.machines }.toSet())
        assertTrue(deletions.size <= 4, "${deletions.size} calls")
    }
}
