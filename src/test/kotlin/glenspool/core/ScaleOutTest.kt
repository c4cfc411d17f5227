package glenspool.core

import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StoredPlacement
import glenspool.simulation.bigType
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** A machine is rented for work that no machine of the fleet will ever take. */
class ScaleOutTest : SchedulerTestBase() {
    @Test
    fun `a machine is rented for an array that fits no machine, however short its run time`() {
        step { machineTypesRead(listOf(bigType)) }
        submit(job("a"))
        assertEquals(listOf(1), advanceTime(4.seconds).scaleOuts().map { it.count })
    }

    @Test
    fun `a machine is rented for an array that waits behind a service that never ends`() {
        registerMachines()
        val fullMachine = Resources(16.0, 4.0, 64.0)
        val running =
            placeAndRun(job("s", JobKind.SERVICE, resourceRequest = fullMachine, priority = Priority.CRITICAL))
        submit(job("a"))
        assertEquals(emptyList<ScaleOut>(), runWithHeartbeats(90.seconds, running, emptySet()).scaleOuts())
        assertEquals(listOf(1), runWithHeartbeats(20.seconds, running, emptySet()).scaleOuts().map { it.count })
    }

    @Test
    fun `a spread service whose zone is full gets a machine in another zone`() {
        registerMachines(1, peerZoneMachines = 1)
        // Zone a already has its share of the service, and the machine in zone b is full.
        val full =
            job(
                "full", resourceRequest = Resources(15.0, 4.0, 60.0), zone = "b", priority = Priority.CRITICAL,
                estimatedDuration = 1000.seconds,
            )
        assertEquals(setOf("z1"), placeAndRun(full).keys)
        val service = job("s", JobKind.SERVICE, 2, priority = Priority.CRITICAL, spread = true)
        val submitted = submit(service, listOf(StoredPlacement(0, 1, "m1")), lastAttempt = 1)
        val scaleOuts = (submitted + advanceTime(4.seconds)).scaleOuts()
        assertTrue(scaleOuts.isNotEmpty() && scaleOuts.all { it.zone == "b" }, "$scaleOuts")
    }
}
