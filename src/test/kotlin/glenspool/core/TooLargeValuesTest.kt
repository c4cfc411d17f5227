package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.simulation.bigType
import glenspool.simulation.job
import glenspool.wire.Cbor
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Tests records, results and descriptions that exceed the size limit of a value. */
class TooLargeValuesTest : SmallValuesTestBase() {
    @Test
    fun `a result of a large job may be forgotten only when its own chunk of done bits is stored`() {
        val tasks = listOf(0, 9_000, 18_000, 27_000)
        step { machineTypesRead(listOf(bigType)) }
        submit(job("large", tasks = 30_000), tasks.map { StoredPlacement(it, 1, "i-000001") }, lastAttempt = 1)
        val exited = tasks.map { exitedTask("large", it, 1, ExitReason.DONE) }.toTypedArray()
        heartbeatReply("i-000001", *exited)
        val write = singleStoreChanges(advanceTime(3.seconds)).writes.single() as UpdateJobRecord
        confirmTransaction()
        val forgotten = heartbeatReply("i-000001", *exited).filterIsInstance<ForgetTask>().map { it.key.task }
        assertEquals(write.chunks, forgotten.map { it / JobRecord.TASKS_PER_CHUNK })
        assertEquals(2, forgotten.size)
    }

    @Test
    fun `a too large record stored by an old version is split when it is written again`() {
        val placements = (0 until 120).map { StoredPlacement(it, 100L + it, machineId(it + 1)) }
        step { jobRecordRead(JobRecord(wideJob, now, 400, BitSet(), placements), ++revision) }
        // The first write is refused, which reveals the new limit.
        scheduledJob("wide").addUrgentChange()
        storeAll(advanceTime(1.seconds))
        assertEquals(1, sizeRefusals)
        assertEquals((0 until 120).associateWith { machineId(it + 1) }, storedRecord().machinesByTask())
    }

    @Test
    fun `a change too large for the key-value store delays no other change, and is retried at a limited rate`() {
        val types = List(300) { "some-type-$it" } + "big"
        step { splitRecordSupportChecked(true) }
        startFleet(4)
        submit(job("huge").copy(types = types))
        val actions = storeAll(submit(job("small")) + advanceTime(2.seconds))
        assertEquals(listOf("small"), actions.starts().map { it.key.job })
        assertTrue(sizeRefusals in 1..4, "refused $sizeRefusals times in a minute")
        val messages = actions.filterIsInstance<LogMessage>()
        assertTrue(messages.any { it.isImportant && "too-large job=huge" in it.text })
        // The description was then stored in parts, so that the record fits.
        now += 60.seconds
        val retry = singleStoreChanges(advanceTime(1.seconds))
        step { transactionEnded(StoreOutcome.TooLarge(mapOf("huge" to 3))) }
        assertEquals(listOf("huge"), retry.writes.map { it.id })
        val write = singleStoreChanges(advanceTime(1.seconds)).writes.single() as UpdateJobRecord
        assertEquals(3, write.record.descriptionPartCount)
        assertTrue(Cbor.jsonSizeBytes(RecordWire.encode(write.record)) < VALUE_BYTES)
    }
}
