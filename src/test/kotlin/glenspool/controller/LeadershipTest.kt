package glenspool.controller

import glenspool.core.StoreChanges
import glenspool.core.StoreFinalState
import glenspool.core.UpdateJobRecord
import glenspool.core.model.JobRecord
import glenspool.simulation.InMemoryStore
import glenspool.simulation.job
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration

/** What the transactions of a leader are conditioned on. */
class LeadershipTest {
    private val state = InMemoryStore()

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
        val late = transactionOf(old, StoreChanges(listOf(UpdateJobRecord("a", version, record(1), emptyList(), 1, true))))
        lead()
        assertEquals(listOf(Keys.LEAD), apply(late))
        assertEquals(0L, JobRecordReader(state).read("a", state.entries.getValue(Keys.job("a")).value).lastAttempt)
    }

    @Test
    fun `a late transaction of the same leader does not undo a newer one`() {
        val recordVersion = lead()
        val version = submitted()
        val late = transactionOf(recordVersion, StoreChanges(listOf(UpdateJobRecord("a", version, record(1), emptyList(), 1, false))))
        assertEquals(null, apply(transactionOf(recordVersion, StoreChanges(listOf(UpdateJobRecord("a", version, record(2), emptyList(), 2, false))))))
        assertEquals(listOf(Keys.job("a")), apply(late))
        assertEquals(2L, JobRecordReader(state).read("a", state.entries.getValue(Keys.job("a")).value).lastAttempt)
    }

    @Test
    fun `no placement is stored and no job is done once it is cancelled`() {
        val recordVersion = lead()
        val version = submitted()
        state.transact(emptyMap(), listOf(Put(Keys.cancel("a"), mapOf("at" to 0L))), emptyList())
        val cancel = state.revision
        assertEquals(listOf(Keys.cancel("a")), apply(transactionOf(recordVersion, StoreChanges(listOf(UpdateJobRecord("a", version, record(1), emptyList(), 1, true))))))
        assertEquals(listOf(Keys.cancel("a")), apply(transactionOf(recordVersion, StoreChanges(listOf(StoreFinalState("a", version, null, 1))))))
        assertEquals(null, apply(transactionOf(recordVersion, StoreChanges(listOf(StoreFinalState("a", version, cancel, 1))))))
        assertEquals(setOf(Keys.LEAD, Keys.final("a")), state.entries.keys)
    }

    @Test
    fun `the done bits of a large job come back from their chunks`() {
        val recordVersion = lead()
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
            UpdateJobRecord("a", state.revision, JobRecord(big, Duration.ZERO, 5, done, emptyList()), listOf(0, 1, 2), 1, false)
        assertEquals(null, apply(transactionOf(recordVersion, StoreChanges(listOf(write)))))
        assertEquals(done, JobRecordReader(state).read("a", state.entries.getValue(Keys.job("a")).value).done)
    }
}
