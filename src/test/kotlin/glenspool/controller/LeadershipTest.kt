package glenspool.controller

import glenspool.core.FinishJob
import glenspool.core.SaveJob
import glenspool.core.Store
import glenspool.core.model.JobRecord
import glenspool.standin.StateStandIn
import glenspool.standin.job
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoredJob
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration

/** What the transactions of a leader are conditioned on. */
class LeadershipTest {
    private val state = StateStandIn()

    private fun lead(): Long {
        state.transact(emptyMap(), listOf(Put(Keys.LEAD, mapOf("token" to 1L), state.newLease())), emptyList())
        return state.revision
    }

    private fun record(last: Long) = JobRecord(job("a"), Duration.ZERO, last, BitSet(), emptyList())

    private fun submitted(): Long {
        state.transact(emptyMap(), listOf(Put(Keys.job("a"), RecordWire.encode(record(0)))), emptyList())
        return state.revision
    }

    private fun apply(t: Transaction) = state.transact(t.conditions, t.puts, t.removes)

    @Test
    fun `a deposed leader's transaction changes nothing, however late it comes`() {
        val old = lead()
        val version = submitted()
        val late = transactionOf(old, Store(listOf(SaveJob("a", version, record(1), emptyList(), 1, true))))
        lead()
        assertEquals(listOf(Keys.LEAD), apply(late))
        assertEquals(0L, StoredJob(state).read("a", state.entries.getValue(Keys.job("a")).value).lastAttempt)
    }

    @Test
    fun `a late transaction of the same leader does not undo a newer one`() {
        val mark = lead()
        val version = submitted()
        val late = transactionOf(mark, Store(listOf(SaveJob("a", version, record(1), emptyList(), 1, false))))
        assertEquals(null, apply(transactionOf(mark, Store(listOf(SaveJob("a", version, record(2), emptyList(), 2, false))))))
        assertEquals(listOf(Keys.job("a")), apply(late))
        assertEquals(2L, StoredJob(state).read("a", state.entries.getValue(Keys.job("a")).value).lastAttempt)
    }

    @Test
    fun `no placement is stored and no job is done once it is cancelled`() {
        val mark = lead()
        val version = submitted()
        state.transact(emptyMap(), listOf(Put(Keys.cancel("a"), mapOf("at" to 0L))), emptyList())
        val cancel = state.revision
        assertEquals(listOf(Keys.cancel("a")), apply(transactionOf(mark, Store(listOf(SaveJob("a", version, record(1), emptyList(), 1, true))))))
        assertEquals(listOf(Keys.cancel("a")), apply(transactionOf(mark, Store(listOf(FinishJob("a", version, null, 1))))))
        assertEquals(null, apply(transactionOf(mark, Store(listOf(FinishJob("a", version, cancel, 1))))))
        assertEquals(setOf(Keys.LEAD, Keys.final("a")), state.entries.keys)
    }

    @Test
    fun `the done bits of a large job come back from their chunks`() {
        val mark = lead()
        val big = job("a", tasks = 20_000)
        val done =
            BitSet().apply {
                set(3)
                set(9_000)
                set(19_999)
            }
        state
            .transact(
                emptyMap(),
                listOf(
                    Put(
                        Keys.job("a"),
                        RecordWire
                            .encode(JobRecord(big, Duration.ZERO, 0, BitSet(), emptyList())),
                    ),
                ),
                emptyList(),
            )
        val write =
            SaveJob("a", state.revision, JobRecord(big, Duration.ZERO, 5, done, emptyList()), listOf(0, 1, 2), 1, false)
        assertEquals(null, apply(transactionOf(mark, Store(listOf(write)))))
        assertEquals(done, StoredJob(state).read("a", state.entries.getValue(Keys.job("a")).value).done)
    }
}
