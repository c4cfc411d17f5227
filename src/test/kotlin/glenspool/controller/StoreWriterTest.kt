package glenspool.controller

import glenspool.config.StoreLimits
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import glenspool.core.UpdateJobRecord
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.rollout.FeaturePermits
import glenspool.rollout.WritePermit
import glenspool.simulation.LoopbackLeader
import glenspool.simulation.job
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Guards against a write whose outcome the core never learns, so that it waits for it and stores nothing any more. */
class StoreWriterTest {
    /** Permits all writes, except that the first requests for a permit fail. */
    private class FailingPermits(private var failures: Int) : FeaturePermits {
        override fun isInUse(level: Int): Boolean = true

        override fun permit(level: Int): WritePermit {
            check(failures-- <= 0) { "the level could not be determined" }
            return WritePermit.UNCONDITIONAL
        }
    }

    private val leader = LoopbackLeader()
    private val outcomes = LinkedBlockingQueue<StoreOutcome>()
    private val writer =
        StoreWriter(LIMITS, leader.client, leader.cache, leader.leadership, FailingPermits(1)) { outcome, _ ->
            outcomes.add(outcome)
        }

    @AfterEach
    fun close() = leader.close()

    private fun write(term: Term): StoreOutcome? {
        val parts = mapOf(0 to listOf(StoredPlacement(2, 3, "i-2")))
        val record = JobRecord(job("a", tasks = 9), Duration.ZERO, 3, BitSet(), emptyList(), placementParts = parts)
        val update = UpdateJobRecord("a", 0, record, emptyList(), 1, false, mapOf(0 to 1L))
        writer.offer(term, StoreChanges(listOf(update)))
        return outcomes.poll(5, TimeUnit.SECONDS)
    }

    @Test
    fun `a write that fails with an exception ends as unknown, and the next one is stored`() {
        leader.startThread("writer") { writer.run() }
        val term = leader.awaitElection()
        assertEquals(StoreOutcome.Unknown, write(term))
        assertTrue(write(term) is StoreOutcome.Stored)
    }

    private companion object {
        val LIMITS = StoreLimits(1000.0, 1000.0, 4096, 8)
    }
}
