package glenspool.core

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A heartbeat that says nothing new must not cost more with more machines and jobs, by counts of what is looked at. */
class HeartbeatCostTest {
    /** The work of a hundred heartbeats that say nothing new. */
    private fun measureHeartbeatWork(machines: Int, jobs: Int): Long {
        val fleet = LargeFleet()
        fleet.fill(machines, jobs)
        val counters = fleet.core.workCounters
        val workBefore = counters.total
        val roundsBefore = counters.rounds
        repeat(100) { fleet.sendHeartbeat("m${it + 1}") }
        assertEquals(roundsBefore, counters.rounds, "a heartbeat that says nothing new starts no round")
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
