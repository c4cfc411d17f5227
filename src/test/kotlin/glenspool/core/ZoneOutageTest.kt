package glenspool.core

import glenspool.core.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/**
 * Tests failure detection when a large part of the fleet fails at the same time: the machines of a partitioned zone are
 * deleted only if the partition lasts too long, or if the cloud lists them as failed.
 */
class ZoneOutageTest : SchedulerTestBase() {
    /** The machines of the other zone. */
    private fun machinesOfOtherZone(running: Map<String, TaskStatus>) =
        running.keys.filter { it.startsWith("z") }.toSet()

    @Test
    fun `a zone that is partitioned for a while keeps its machines and tasks`() {
        val running = startBusyMachines(6, peerZoneMachines = 6)
        val zoneMachines = machinesOfOtherZone(running)
        assertEquals(
            emptySet<String>(),
            runWithHeartbeats(48.seconds, running - zoneMachines, zoneMachines).deletedMachines(),
        )
        // Not all of the machines resume their heartbeats at the same moment.
        val stillSilent = zoneMachines.drop(1).toSet()
        assertEquals(
            emptySet<String>(),
            runWithHeartbeats(4.seconds, running - stillSilent, stillSilent).deletedMachines(),
        )
        assertEquals(emptySet<String>(), runWithHeartbeats(20.seconds, running, emptySet()).deletedMachines())
        val placements = scheduledJob("a").placements.values
        assertEquals(12, placements.count { it.attempt == running.getValue(it.machine).attempt })
    }

    @Test
    fun `the machines of a zone that stays partitioned are deleted`() {
        val running = startBusyMachines(6, peerZoneMachines = 6)
        val zoneMachines = machinesOfOtherZone(running)
        assertEquals(
            zoneMachines,
            runWithHeartbeats(100.seconds, running - zoneMachines, zoneMachines).deletedMachines(),
        )
    }

    @Test
    fun `machines that failed with their zone are deleted as soon as the cloud lists them as failed`() {
        val running = startBusyMachines(6, peerZoneMachines = 6)
        val zoneMachines = machinesOfOtherZone(running)
        assertEquals(
            emptySet<String>(),
            runWithHeartbeats(20.seconds, running - zoneMachines, zoneMachines).deletedMachines(),
        )
        assertEquals(zoneMachines, applyCloudList(running.keys, failed = zoneMachines).deletedMachines())
    }

    @Test
    fun `machines lost in several zones are deleted without waiting`() {
        val running = startBusyMachines(6, peerZoneMachines = 6)
        val lost = setOf("m1", "m2", "z1", "z2")
        assertEquals(lost, runWithHeartbeats(12.seconds, running - lost, lost).deletedMachines())
    }
}
