package glenspool.controller

import glenspool.config.StoreLimits
import glenspool.core.StoreChanges
import glenspool.core.StoreOutcome
import glenspool.core.UpdateJobRecord
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.rollout.FeatureGate
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.LevelRecord
import glenspool.rollout.LevelStage
import glenspool.simulation.InMemoryStore
import glenspool.simulation.job
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.state.StoreCache
import glenspool.wire.RecordWire
import glenspool.wire.RolloutWire
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.BitSet
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A leader's writes and its election while levels are managed, over loopback against a simulated key-value store.
 */
class FeatureLevelWritesTest {
    private val store = InMemoryStore()
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 8, store::serve)
    private val client = KeyValueStoreClient("127.0.0.1:${listener.port}", HttpClient(2.seconds))
    private val cache = StoreCache(client, 1000.0) { _, _ -> }
    private val gate =
        FeatureGate(FeatureRegistry.CURRENT.levelsOf("build"), RolloutRecords(cache) { cache.age() != null }::level)
    private val elected = LinkedBlockingQueue<Term>()
    private val outcomes = LinkedBlockingQueue<StoreOutcome>()
    private val leadership = Leadership("a", "boot", client, cache, { elected.add(it) }, {}) { gate.fence() == null }
    private val writer = StoreWriter(LIMITS, client, cache, leadership, gate) { outcome, _ -> outcomes.add(outcome) }
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

    private fun storeLevel(level: Int, stage: LevelStage) {
        val record = RolloutWire.encode(LevelRecord(level, "n", stage, 1, 5.milliseconds))
        store.transact(emptyMap(), listOf(Put(Keys.LEVEL, record)), emptyList())
        assertTrue(cache.sync(2.seconds))
    }

    private val splitRecord =
        JobRecord(
            job("a", tasks = 9), Duration.ZERO, 3, BitSet(), listOf(StoredPlacement(1, 1, "i-1")),
            placementParts = mapOf(0 to listOf(StoredPlacement(2, 3, "i-2"))),
        )

    /** Replaces the job's stored record with [record]. Returns null if there is no outcome within five seconds. */
    private fun writeRecord(term: Term, record: JobRecord): StoreOutcome? {
        val version = store.get(Keys.job("a"))?.version ?: 0L
        assertTrue(cache.sync(2.seconds))
        val parts = record.placementParts.mapValues { 1L }
        val update = UpdateJobRecord("a", version, record, emptyList(), 1, false, parts)
        writer.offer(term, StoreChanges(listOf(update)))
        return outcomes.poll(5, TimeUnit.SECONDS)
    }

    private fun awaitElection() = checkNotNull(elected.poll(5, TimeUnit.SECONDS)) { "not elected" }

    @Test
    fun `a record is split only under a permit, and an already split record may be rewritten without one`() {
        val term = awaitElection()
        assertEquals(StoreOutcome.Refused(emptySet()), writeRecord(term, splitRecord))
        assertNull(store.get(Keys.job("a")))
        assertTrue(writeRecord(term, splitRecord.copy(placementParts = emptyMap())) is StoreOutcome.Stored)
        storeLevel(1, LevelStage.ACTIVE)
        assertTrue(writeRecord(term, splitRecord) is StoreOutcome.Stored)
        storeLevel(1, LevelStage.LEAVING)
        assertTrue(writeRecord(term, splitRecord.copy(lastAttempt = 4)) is StoreOutcome.Stored)
        assertTrue(RecordWire.isSealed(store.entries.getValue(Keys.job("a")).value))
        assertTrue(writeRecord(term, splitRecord.copy(placementParts = emptyMap())) is StoreOutcome.Stored)
        assertEquals(StoreOutcome.Refused(emptySet()), writeRecord(term, splitRecord))
    }

    @Test
    fun `a write is refused if its level changes to LEAVING just before the transaction`() {
        val term = awaitElection()
        storeLevel(1, LevelStage.ACTIVE)
        store.beforeTransaction = { puts ->
            if (puts.any { it.key == Keys.job("a") }) {
                store.beforeTransaction = {}
                val record = RolloutWire.encode(LevelRecord(1, "n", LevelStage.LEAVING, 1, 5.milliseconds))
                store.transact(emptyMap(), listOf(Put(Keys.LEVEL, record)), emptyList())
            }
        }
        assertEquals(StoreOutcome.Refused(setOf(Keys.LEVEL)), writeRecord(term, splitRecord))
        assertNull(store.get(Keys.job("a")))
    }

    @Test
    fun `a process that can't read the active level is not elected, even as the only candidate`() {
        awaitElection()
        val lease = checkNotNull(store.entries[Keys.LEADERSHIP]?.lease)
        storeLevel(2, LevelStage.ACTIVE)
        leadership.resign("fenced", Duration.ZERO)
        store.endLease(lease)
        assertNull(elected.poll(1200, TimeUnit.MILLISECONDS))
        assertNull(store.get(Keys.LEADERSHIP))
        storeLevel(1, LevelStage.ACTIVE)
        awaitElection()
    }

    private companion object {
        val LIMITS = StoreLimits(1000.0, 1000.0, 4096, 8)
    }
}
