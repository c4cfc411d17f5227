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
    private val state = InMemoryStore()
    private val sweep =
        GarbageCollector(state, 3) { conditions, puts, removes ->
            state.transact(conditions, puts, removes)?.let { StoreResult.Conflict(it) }
                ?: StoreResult.Ok(state.revision)
        }

    private fun put(key: String, value: Map<String, Any?> = emptyMap()) {
        state.transact(emptyMap(), listOf(Put(key, value)), emptyList())
    }

    private fun accept(id: String) =
        put(
            Keys.job(id),
            RecordWire
                .encode(JobRecord(job(id), Duration.ZERO, 0, BitSet(), emptyList())),
        )

    @Test
    fun `only what has had no record for two looks goes, a little at a time`() {
        put(Keys.LEAD)
        val recordVersion = state.revision
        for (n in 0..4) put(Keys.chunk("over", n))
        put(Keys.placementPart("live", 0))
        accept("live")
        sweep.look(recordVersion)
        assertEquals(5, state.withPrefix(Keys.CHUNK).size)
        put(Keys.descriptionPart("coming", 0))
        sweep.look(recordVersion)
        assertEquals(2, state.withPrefix(Keys.CHUNK).size)
        accept("coming")
        repeat(3) { sweep.look(recordVersion) }
        assertEquals(
            setOf(
                Keys.LEAD, Keys.job("live"), Keys.job("coming"), Keys.placementPart("live", 0),
                Keys
                    .descriptionPart("coming", 0),
            ),
            state.entries.keys,
        )
    }

    @Test
    fun `a deposed leader removes nothing`() {
        put(Keys.LEAD)
        val recordVersion = state.revision
        put(Keys.descriptionPart("over", 0))
        put(Keys.LEAD)
        repeat(3) { sweep.look(recordVersion) }
        assertEquals(1, state.withPrefix(Keys.DESCRIPTION_PART).size)
    }
}
