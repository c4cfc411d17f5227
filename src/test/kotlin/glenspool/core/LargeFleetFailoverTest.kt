package glenspool.core

import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Resources
import glenspool.core.model.TaskState
import glenspool.simulation.bigType
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests that after the failover of a large busy fleet the new leader changes nothing, at a cost linear in its size. */
class LargeFleetFailoverTest {
    private val wholeMachine = Resources(14.0, 4.0, 50.0)

    /** Returns the work of a new leader to which each machine of a whole fleet sends a heartbeat within a second. */
    private fun workOfFirstHeartbeats(machines: Int): Long {
        val fleet = LargeFleet()
        fleet.step { machineTypesRead(listOf(bigType)) }
        for (number in 0 until machines / 8) {
            val spec = job("j$number", tasks = 8, resourceRequest = wholeMachine, estimatedDuration = 1000.seconds)
            fleet.submitRunning(spec, (0 until 8).map { "m${number * 8 + it}" })
        }
        val before = fleet.core.workCounters.total
        for (number in 0 until machines) {
            fleet.now += 1.seconds / machines
            fleet.sendHeartbeat("m$number")
        }
        assertEquals(listOf(0, 0, 0), listOf(fleet.startedTasks, fleet.storedChanges, fleet.deletedMachines))
        return fleet.core.workCounters.total - before
    }

    @Test
    fun `the work of four thousand first heartbeats in a second is linear in their number, and gives no orders`() {
        val small = workOfFirstHeartbeats(400)
        val large = workOfFirstHeartbeats(4000)
        assertTrue(large <= small * 12, "$small for 400 machines, $large for 4,000")
    }

    @Test
    fun `a failover of two thousand machines starts, stores and deletes nothing`() {
        val fleet = LargeFleet()
        val machines = (1..2000).map { "m$it" }
        fleet.step { machineTypesRead(listOf(bigType)) }
        for ((number, machinesOfJob) in machines.chunked(8).withIndex()) {
            val spec =
                job(
                    "j$number", tasks = 8, resourceRequest = wholeMachine, image = "i${number % 7}",
                    estimatedDuration = 1000.seconds,
                )
            fleet.submitRunning(spec, machinesOfJob)
        }
        val listed =
            machines.map { ListedMachine(it, "addr-$it", "big", "a", false, MachineStage.RUNNING, 100.seconds) }
        fleet.step { machinesListed(listed) }
        // The workers find the new leader gradually, a tenth of them in each half second, and send a heartbeat every
        // two seconds from then on.
        repeat(60) { round ->
            val due = machines.filterIndexed { index, _ -> index % 10 <= round && (index + round) % 4 == 0 }
            due.forEach(fleet::sendHeartbeat)
            fleet.now += 500.milliseconds
            fleet.step { tick() }
        }
        assertEquals(listOf(0, 0, 0), listOf(fleet.startedTasks, fleet.storedChanges, fleet.deletedMachines))
        val placements = fleet.core.jobs.values.flatMap { it.placements.values }
        assertEquals(2000, placements.count { it.taskState == TaskState.RUNNING })
        assertTrue(fleet.probes < 2000, "${fleet.probes} probes of 2,000 machines that send heartbeats")
    }
}
