package glenspool.controller

import glenspool.core.model.JobRecord
import glenspool.simulation.InMemoryStore
import glenspool.simulation.job
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreResult
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration

class GarbageCollectorTest {
    private val store = InMemoryStore()
    private val collector =
        GarbageCollector(store, 3) { conditions, puts, removes ->
            store.transact(conditions, puts, removes)?.let { StoreResult.Conflict(it) }
                ?: StoreResult.Ok(store.revision)
        }

    private fun put(key: String, value: Map<String, Any?> = emptyMap()) {
        store.transact(emptyMap(), listOf(Put(key, value)), emptyList())
    }

    /** Stores a leadership record and returns its version. */
    private fun storeLeadershipRecord(): Long {
        put(Keys.LEADERSHIP)
        return store.revision
    }

    private fun storeJobRecord(id: String) {
        val record = JobRecord(job(id), Duration.ZERO, 0, BitSet(), emptyList())
        put(Keys.job(id), RecordWire.encode(record))
    }

    @Test
    fun `removes only keys that had no job record in two passes, a limited number per pass`() {
        val recordVersion = storeLeadershipRecord()
        for (n in 0..4) put(Keys.chunk("over", n))
        put(Keys.placementPart("live", 0))
        storeJobRecord("live")
        collector.collect(recordVersion)
        assertEquals(5, store.withPrefix(Keys.CHUNK).size)
        put(Keys.descriptionPart("coming", 0))
        collector.collect(recordVersion)
        assertEquals(2, store.withPrefix(Keys.CHUNK).size)
        storeJobRecord("coming")
        repeat(3) { collector.collect(recordVersion) }
        val expected =
            setOf(
                Keys.LEADERSHIP,
                Keys.job("live"),
                Keys.job("coming"),
                Keys.placementPart("live", 0),
                Keys.descriptionPart("coming", 0),
            )
        assertEquals(expected, store.entries.keys)
    }

    @Test
    fun `a deposed leader removes nothing`() {
        val recordVersion = storeLeadershipRecord()
        put(Keys.descriptionPart("over", 0))
        put(Keys.LEADERSHIP)
        repeat(3) { collector.collect(recordVersion) }
        assertEquals(1, store.withPrefix(Keys.DESCRIPTION_PART).size)
    }
}
