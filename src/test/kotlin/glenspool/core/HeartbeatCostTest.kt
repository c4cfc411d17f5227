package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Tests by work counters that the cost of a heartbeat without news does not grow with the numbers of machines and jobs.
 */
class HeartbeatCostTest {
    /** The work that a hundred heartbeats without news cause, as counted by the work counters. */
    private fun measureHeartbeatWork(machines: Int, jobs: Int): Long {
        val fleet = LargeFleet()
        fleet.fill(machines, jobs)
        val counters = fleet.core.workCounters
        val workBefore = counters.total
        val roundsBefore = counters.placementRounds
        repeat(100) { fleet.sendHeartbeat("m${it + 1}") }
        assertEquals(roundsBefore, counters.placementRounds, "a heartbeat without news starts no placement round")
        return counters.total - workBefore
    }

    @Test
    fun `a heartbeat costs the same on a hundred machines and on two thousand`() {
        val small = measureHeartbeatWork(100, 100)
        val large = measureHeartbeatWork(2000, 1000)
        assertTrue(large <= small + 100, "$small with 100 machines, $large with 2,000")
    }

    @Test
    fun `a heartbeat costs the same on a hundred machines and on four thousand`() {
        val small = measureHeartbeatWork(100, 100)
        val large = measureHeartbeatWork(4000, 2000)
        assertTrue(large <= small + 100, "$small with 100 machines, $large with 4,000")
    }
}
