package glenspool.controller

import glenspool.core.model.JobRecord
import glenspool.standin.StateStandIn
import glenspool.standin.job
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StateResult
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration

class SweepTest {
    private val state = StateStandIn()
    private val sweep =
        Sweep(state, 3) { conditions, puts, removes ->
            state.transact(conditions, puts, removes)?.let { StateResult.Conflict(it) }
                ?: StateResult.Ok(state.revision)
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
        val mark = state.revision
        for (n in 0..4) put(Keys.chunk("over", n))
        put(Keys.shelf("live", 0))
        accept("live")
        sweep.look(mark)
        assertEquals(5, state.under(Keys.CHUNK).size)
        put(Keys.piece("coming", 0))
        sweep.look(mark)
        assertEquals(2, state.under(Keys.CHUNK).size)
        accept("coming")
        repeat(3) { sweep.look(mark) }
        assertEquals(
            setOf(
                Keys.LEAD, Keys.job("live"), Keys.job("coming"), Keys.shelf("live", 0),
                Keys
                    .piece("coming", 0),
            ),
            state.entries.keys,
        )
    }

    @Test
    fun `a deposed leader removes nothing`() {
        put(Keys.LEAD)
        val mark = state.revision
        put(Keys.piece("over", 0))
        put(Keys.LEAD)
        repeat(3) { sweep.look(mark) }
        assertEquals(1, state.under(Keys.PIECE).size)
    }
}
