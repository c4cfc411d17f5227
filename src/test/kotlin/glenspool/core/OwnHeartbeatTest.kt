package glenspool.core

import glenspool.core.model.Resources
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/**
 * PROTOCOL: "Direct commands do not renew the lease." What a worker is given that can't report is lost with its lease.
 */
class OwnHeartbeatTest : SchedulerDriver(config(), SchedulerHooks(newWorkNeedsOwnHeartbeat = true)) {
    private val whole = Resources(14.0, 4.0, 50.0)

    private fun placed() =
        core.jobs
            .getValue("a")
            .placements.values
            .map { it.machine }
            .toSet()

    @Test
    fun `a machine that only answers questions gets no work until its own report comes`() {
        step { machineTypesKnown(listOf(bigType)) }
        list(listOf("m1", "m2"))
        say(heartbeat("m1"))
        step { probeEnded("m2", heartbeat("m2")) }
        submit(job("a", tasks = 2, resourceRequest = whole))
        wait(2.seconds)
        assertEquals(setOf("m1"), placed())
        confirm()
        say(heartbeat("m2"))
        wait(2.seconds)
        assertEquals(setOf("m1", "m2"), placed())
    }

    @Test
    fun `a machine whose reports stay away gets no more work, however well it answers`() {
        started(2)
        wait(6.seconds)
        say(heartbeat("m1"))
        step { probeEnded("m2", heartbeat("m2")) }
        submit(job("a", tasks = 2, resourceRequest = whole))
        wait(2.seconds)
        assertEquals(setOf("m1"), placed())
    }
}
