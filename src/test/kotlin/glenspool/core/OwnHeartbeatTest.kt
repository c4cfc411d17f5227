package glenspool.core

import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/**
 * PROTOCOL: "Direct commands do not renew the lease." Tests that workers that can't send heartbeats get no work, since
 * it would be lost when their lease expires.
 */
class OwnHeartbeatTest : SchedulerTestBase(config(), SchedulerHooks(newWorkRequiresWorkerHeartbeat = true)) {
    private fun submitForTwoMachines() = submit(job("a", tasks = 2, resourceRequest = wholeMachine))

    private fun machinesWithWork() = scheduledJob("a").placements.values.map { it.machine }.toSet()

    @Test
    fun `a machine that only answers probes gets no work until its own heartbeat comes`() {
        step { machineTypesRead(listOf(bigType)) }
        applyCloudList(listOf("m1", "m2"))
        heartbeatReply("m1")
        step { probeEnded("m2", heartbeat("m2")) }
        submitForTwoMachines()
        advanceTime(2.seconds)
        assertEquals(setOf("m1"), machinesWithWork())
        confirmTransaction()
        heartbeatReply("m2")
        advanceTime(2.seconds)
        assertEquals(setOf("m1", "m2"), machinesWithWork())
    }

    @Test
    fun `a machine whose heartbeats stop gets no more work, even if it answers probes`() {
        registerMachines(2)
        advanceTime(6.seconds)
        heartbeatReply("m1")
        step { probeEnded("m2", heartbeat("m2")) }
        submitForTwoMachines()
        advanceTime(2.seconds)
        assertEquals(setOf("m1"), machinesWithWork())
    }
}
