package glenspool.state

import glenspool.api.assertAnswer
import glenspool.api.put
import glenspool.controller.StoreChangeApplier
import glenspool.core.Scheduler
import glenspool.core.model.JobRecord
import glenspool.simulation.UserApiTestBase
import glenspool.simulation.config
import glenspool.simulation.startSyncThread
import glenspool.wire.MalformedMessage
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a damaged key or value of a large job's done bits that ends the term of one leader after another, or
 * makes the job unknown to its user.
 */
class DamagedDoneBitsTest : UserApiTestBase() {
    private val largeJob = spec("run-1", tasks = 20_000)

    private fun bits(vararg tasks: Int) = RecordWire.encodeBits(BitSet().apply { tasks.forEach(::set) })

    /** Stores a large job, with done bits under a key that ends in [number], and another job. */
    private fun storeJobs(number: String, bits: String = bits(0)) {
        for (job in listOf(largeJob, spec("run-2"))) {
            val record = JobRecord(job, Duration.ZERO, 0, BitSet(), emptyList())
            state.put(Keys.job(job.id), RecordWire.encode(record))
        }
        state.put(Keys.chunks("run-1") + number, mapOf("done" to bits))
    }

    private fun read() = JobRecordReader(state).read("run-1", state.entries.getValue(Keys.job("run-1")).value)

    @Test
    fun `a key of done bits without a valid number is malformed, and the message names the key`() {
        for (number in listOf("", "x", "-1", "1.5", "99999999999", "3", "300000")) {
            state.entries.clear()
            storeJobs(number)
            val failure = assertThrows(MalformedMessage::class.java, { read() }, "number '$number'")
            assertTrue("g/d/run-1/$number" in failure.message.orEmpty(), failure.message)
        }
    }

    @Test
    fun `done bits of tasks that the job does not have are malformed`() {
        storeJobs("2", bits(20_000 - 2 * RecordWire.TASKS_PER_CHUNK))
        assertThrows(MalformedMessage::class.java) { read() }
        storeJobs("1", bits(RecordWire.TASKS_PER_CHUNK))
        assertThrows(MalformedMessage::class.java) { read() }
    }

    @Test
    fun `done bits of all chunks are read`() {
        storeJobs("0", bits(3))
        state.put(Keys.chunk("run-1", 2), mapOf("done" to bits(5)))
        val done = read().done
        assertEquals(listOf(3, 2 * RecordWire.TASKS_PER_CHUNK + 5), done.stream().boxed().toList())
    }

    @Test
    fun `a leader skips the damaged job and loads the others`() {
        storeJobs("x")
        val cache = StoreCache(client, 1000.0) { _, _ -> }
        val syncThread = startSyncThread(cache)
        assertTrue(cache.sync(2.seconds))
        syncThread.interrupt()
        val scheduler = Scheduler(config(), 1, Duration.ZERO)
        scheduler.step(1.seconds, 1.seconds) { StoreChangeApplier(cache).loadAll(this) }
        assertEquals(setOf("run-2"), scheduler.jobs.keys)
    }

    @Test
    fun `the damaged job stays known to its user, who can cancel it`() {
        storeJobs("x")
        assertAnswer(200, "pending", show("run-1"))
        assertAnswer(200, "pending", submit(largeJob))
        assertAnswer(200, "aborted", withdraw("run-1"))
        assertAnswer(200, "pending", show("run-2"))
    }

    @Test
    fun `a job may depend on the damaged job, and is held up no longer than that job`() {
        storeJobs("x")
        assertEquals(201, submit(spec("run-3"), listOf("run-1")).status)
        assertAnswer(200, "pending", show("run-3"))
        withdraw("run-1")
        assertAnswer(200, "aborted", show("run-3"))
    }

    @Test
    fun `a job whose whole record can't be decoded stays known to its user as well`() {
        state.put(Keys.job("run-1"), mapOf("job" to "nonsense"))
        assertAnswer(200, "pending", show("run-1"))
        assertAnswer(200, "pending", submit(largeJob))
    }
}
