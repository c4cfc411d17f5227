package glenspool.controller

import glenspool.config.StoreLimits
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import glenspool.core.UpdateJobRecord
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.rollout.FeaturePermits
import glenspool.rollout.WritePermit
import glenspool.simulation.InMemoryStore
import glenspool.simulation.job
import glenspool.state.KeyValueStoreClient
import glenspool.state.StoreCache
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.BitSet
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

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

    private val store = InMemoryStore()
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 8, store::serve)
    private val client = KeyValueStoreClient("127.0.0.1:${listener.port}", HttpClient(2.seconds))
    private val cache = StoreCache(client, 1000.0) { _, _ -> }
    private val elected = LinkedBlockingQueue<Term>()
    private val outcomes = LinkedBlockingQueue<StoreOutcome>()
    private val leadership = Leadership("a", "boot", client, cache, { elected.add(it) }, {})
    private val writer =
        StoreWriter(LIMITS, client, cache, leadership, FailingPermits(1)) { outcome, _ -> outcomes.add(outcome) }
    private val threads =
        ServiceThreads({}).also { threads ->
            threads.start("syncs") { cache.serveSyncs() }
            threads.start("leadership") { leadership.run() }
            threads.start("writer") { writer.run() }
        }

    @AfterEach
    fun close() {
        threads.close()
        listener.close()
    }

    private fun write(term: Term): StoreOutcome? {
        val parts = mapOf(0 to listOf(StoredPlacement(2, 3, "i-2")))
        val record = JobRecord(job("a", tasks = 9), Duration.ZERO, 3, BitSet(), emptyList(), placementParts = parts)
        val update = UpdateJobRecord("a", 0, record, emptyList(), 1, false, mapOf(0 to 1L))
        writer.offer(term, StoreChanges(listOf(update)))
        return outcomes.poll(5, TimeUnit.SECONDS)
    }

    @Test
    fun `a write that fails with an exception ends as unknown, and the next one is stored`() {
        val term = checkNotNull(elected.poll(5, TimeUnit.SECONDS)) { "not elected" }
        assertEquals(StoreOutcome.Unknown, write(term))
        assertTrue(write(term) is StoreOutcome.Stored)
    }

    private companion object {
        val LIMITS = StoreLimits(1000.0, 1000.0, 4096, 8)
    }
}
