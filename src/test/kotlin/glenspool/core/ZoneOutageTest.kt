package glenspool.core

import glenspool.core.model.TaskStatus
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Failure detection where much of a large fleet fails at once: a zone that is cut off is given time to return. */
class ZoneOutageTest : SchedulerTestBase() {
    /** The machines of the other zone. */
    private fun machinesOfOtherZone(running: Map<String, TaskStatus>) =
        running.keys.filter { it.startsWith("z") }.toSet()

    @Test
    fun `a zone that is partitioned for a while keeps its machines and tasks`() {
        val running = busy(6, others = 6)
        val zone = machinesOfOtherZone(running)
        assertEquals(emptySet<String>(), live(48.seconds, running - zone, zone).deletedMachines())
        // Their heartbeats do not return all at the same moment.
        val late = zone.drop(1).toSet()
        assertEquals(emptySet<String>(), live(4.seconds, running - late, late).deletedMachines())
        assertEquals(emptySet<String>(), live(20.seconds, running, emptySet()).deletedMachines())
        val placements = scheduledJob("a").placements.values
        assertEquals(12, placements.count { it.attempt == running.getValue(it.machine).attempt })
    }

    @Test
    fun `the machines of a zone that stays partitioned are deleted`() {
        val running = busy(6, others = 6)
        val zone = machinesOfOtherZone(running)
        assertEquals(zone, live(100.seconds, running - zone, zone).deletedMachines())
    }

    @Test
    fun `machines that failed with their zone are deleted as soon as the cloud lists them as failed`() {
        val running = busy(6, others = 6)
        val zone = machinesOfOtherZone(running)
        assertEquals(emptySet<String>(), live(20.seconds, running - zone, zone).deletedMachines())
        assertEquals(zone, list(running.keys, failed = zone).deletedMachines())
    }

    @Test
    fun `machines lost in several zones are deleted without waiting`() {
        val running = busy(6, others = 6)
        val lost = setOf("m1", "m2", "z1", "z2")
        assertEquals(lost, live(12.seconds, running - lost, lost).deletedMachines())
    }
}
