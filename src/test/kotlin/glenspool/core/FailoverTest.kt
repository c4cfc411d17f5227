package glenspool.core

import glenspool.core.model.StoredPlacement
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Tests what a new leader adopts from the previous one, and which machines it declares lost. */
class FailoverTest : SchedulerTestBase() {
    @Test
    fun `a new leader uses the image locations that the previous leader stored`() {
        startBusyMachines(2)
        val stored =
            advanceTime(9.seconds)
                .filterIsInstance<StoreImageLocations>()
                .map { it.images }
                .reduce { images, part -> images + part }
        assertEquals(mapOf("m1" to mapOf("img" to 2.0), "m2" to mapOf("img" to 2.0)), stored)
        val next = Scheduler(config(), TOKEN + 1, now)
        next.step(now, now) {
            machineTypesRead(listOf(bigType))
            imageLocationsRead(stored)
            heartbeatReceived(heartbeat("m1", token = TOKEN + 1))
        }
        assertTrue(next.machines.getValue("m1").hasImage("img"))
        val later = next.step(now + 10.seconds, now) { tick() }
        assertTrue(later.none { it is StoreImageLocations && it.images.isEmpty() })
    }

    @Test
    fun `a new leader does not declare machines lost whose workers have not contacted it yet`() {
        step { machineTypesRead(listOf(bigType)) }
        val machines = (1..6).map { "m$it" }
        val placements = machines.mapIndexed { index, machine -> StoredPlacement(index, index + 1L, machine) }
        submit(job("a", tasks = 6), placements, lastAttempt = 6)
        applyCloudList(machines)
        val actions = ArrayList<Action>()
        val contacted = placements.take(4).associate { it.machine to runningTask("a", it.task, it.attempt) }
        // Four workers have contacted the new leader. That proves nothing about the others, which may still get answers
        // from nodes that have just started.
        repeat(6) { actions += runWithHeartbeats(2.seconds, contacted, emptySet()) }
        assertTrue(actions.none { it is DeleteMachines })
        // Two probes without an answer show that a machine is lost.
        step { probeEnded("m6", null) }
        repeat(2) { actions += runWithHeartbeats(2.seconds, contacted, setOf("m6")) }
        assertEquals(setOf("m6"), actions.deletedMachines())
    }

    @Test
    fun `a new leader declares a machine that no list of the cloud contains lost in less than a lease`() {
        step { machineTypesRead(listOf(bigType)) }
        val placements = (0..3).map { StoredPlacement(it, it + 1L, "m${it + 1}") }
        submit(job("a", tasks = 4, resourceRequest = wholeMachine), placements, lastAttempt = 4)
        val contacted = (1..3).associate { "m$it" to runningTask("a", it - 1, it.toLong()) }
        val actions = ArrayList<Action>()
        repeat(6) {
            actions += applyCloudList(contacted.keys)
            actions += runWithHeartbeats(2.seconds, contacted, emptySet())
        }
        // The lists lag by up to 6 s here, and the lease is 16 s.
        assertEquals(setOf("m4"), actions.deletedMachines())
    }
}
