package glenspool.controller

import glenspool.core.JobWrite
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
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration

/** The conditions of a leader's transactions. */
class TransactionTest {
    private val store = InMemoryStore()

    /** Stores a leadership record and returns its version. */
    private fun storeLeadershipRecord(): Long {
        store.transact(emptyMap(), listOf(Put(Keys.LEADERSHIP, mapOf("token" to 1L), store.newLease())), emptyList())
        return store.revision
    }

    private fun record(lastAttempt: Long) = JobRecord(job("a"), Duration.ZERO, lastAttempt, BitSet(), emptyList())

    /** Stores the job's record and returns its version. */
    private fun storeJobRecord(record: JobRecord = record(0)): Long {
        store.transact(emptyMap(), listOf(Put(Keys.job("a"), RecordWire.encode(record))), emptyList())
        return store.revision
    }

    private fun update(version: Long, lastAttempt: Long, requiresUncancelled: Boolean = false) =
        UpdateJobRecord("a", version, record(lastAttempt), emptyList(), lastAttempt, requiresUncancelled)

    private fun transaction(recordVersion: Long, write: JobWrite) =
        transactionOf(recordVersion, StoreChanges(listOf(write)))

    /** Returns the keys whose conditions failed, or null if the transaction was applied. */
    private fun apply(transaction: Transaction) =
        store.transact(transaction.conditions, transaction.puts, transaction.removes)

    private fun storedRecord() = JobRecordReader(store).read("a", store.entries.getValue(Keys.job("a")).value)

    @Test
    fun `a deposed leader's transaction changes nothing, however late it arrives`() {
        val oldRecordVersion = storeLeadershipRecord()
        val version = storeJobRecord()
        val late = transaction(oldRecordVersion, update(version, lastAttempt = 1, requiresUncancelled = true))
        storeLeadershipRecord()
        assertEquals(listOf(Keys.LEADERSHIP), apply(late))
        assertEquals(0L, storedRecord().lastAttempt)
    }

    @Test
    fun `a late transaction of the same leader does not undo a newer one`() {
        val recordVersion = storeLeadershipRecord()
        val version = storeJobRecord()
        val late = transaction(recordVersion, update(version, lastAttempt = 1))
        val newer = transaction(recordVersion, update(version, lastAttempt = 2))
        assertNull(apply(newer))
        assertEquals(listOf(Keys.job("a")), apply(late))
        assertEquals(2L, storedRecord().lastAttempt)
    }

    @Test
    fun `once a job is cancelled, neither a placement nor the state DONE can be stored`() {
        val recordVersion = storeLeadershipRecord()
        val version = storeJobRecord()
        store.transact(emptyMap(), listOf(Put(Keys.cancel("a"), mapOf("at" to 0L))), emptyList())
        val cancelVersion = store.revision
        val placement = transaction(recordVersion, update(version, lastAttempt = 1, requiresUncancelled = true))
        val done = transaction(recordVersion, StoreFinalState("a", version, null, 1))
        val cancelled = transaction(recordVersion, StoreFinalState("a", version, cancelVersion, 1))
        assertEquals(listOf(Keys.cancel("a")), apply(placement))
        assertEquals(listOf(Keys.cancel("a")), apply(done))
        assertNull(apply(cancelled))
        assertEquals(setOf(Keys.LEADERSHIP, Keys.final("a")), store.entries.keys)
    }

    @Test
    fun `the done bits of a large job are read back from its chunks`() {
        val recordVersion = storeLeadershipRecord()
        val large = JobRecord(job("a", tasks = 20_000), Duration.ZERO, 0, BitSet(), emptyList())
        val done = BitSet()
        listOf(3, 9_000, 19_999).forEach(done::set)
        val version = storeJobRecord(large)
        val write =
            UpdateJobRecord("a", version, large.copy(lastAttempt = 5, done = done), listOf(0, 1, 2), 1, false)
        assertNull(apply(transaction(recordVersion, write)))
        assertEquals(done, storedRecord().done)
    }
}
