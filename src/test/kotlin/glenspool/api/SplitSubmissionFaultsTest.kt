package glenspool.api

import glenspool.controller.GarbageCollector
import glenspool.core.model.JobRecord
import glenspool.http.CallResult
import glenspool.rollout.FeatureGate
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.LevelRecord
import glenspool.rollout.LevelStage
import glenspool.simulation.UserApiTestBase
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.state.StoreResult
import glenspool.wire.RecordWire
import glenspool.wire.RolloutWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Faults between the transactions of a submission whose description is stored in parts, while the job's state can't be
 * read. The user must be asked to repeat the submission, and must not be told that the job is invalid or accepted.
 */
class SplitSubmissionFaultsTest : UserApiTestBase(SMALL_STORE_SETTINGS.replace("txn_ops = 4", "txn_ops = 3")) {
    /** So long that its description needs more parts than one transaction may store. */
    private val longSpec = spec("run-1").copy(types = List(330) { "some-type-$it" } + "big")
    private val jobKey = Keys.job("run-1")

    @BeforeEach
    fun lowerStoreLimits() {
        state.lowerLimits()
        state.maxChangesPerTransaction = 3
    }

    private fun partNumbers(puts: List<Put>): List<Int> =
        puts.filter { it.key.startsWith(Keys.DESCRIPTION_PART) }.map { it.key.substringAfterLast('/').toInt() }

    private fun storedParts() = state.entries.keys.filter { it.startsWith(Keys.DESCRIPTION_PART) }

    private fun record() = JobRecordReader(state).read("run-1", state.entries.getValue(jobKey).value)

    /** Runs [fault] just before the transaction that stores the part [number], after which no read is answered. */
    private fun atPart(number: Int, fault: () -> Unit) {
        state.beforeTransaction = { puts ->
            if (number in partNumbers(puts)) {
                state.beforeTransaction = {}
                fault()
                state.rejectsReads = true
            }
        }
    }

    /** Stores the job's record in its short form, as another controller that accepts the job. */
    private fun acceptAtOtherController() {
        val record = JobRecord(spec("run-1"), Duration.ZERO, 0, BitSet(), emptyList())
        state.put(jobKey, RecordWire.encode(record))
    }

    /** Guards against the answer that an accepted job is too long, given by a node that can't read its state. */
    @Test
    fun `a repeated submission of an accepted job is never refused as invalid when the job can't be read`() {
        assertEquals(201, submit(longSpec).status)
        assertTrue(storedParts().size > settings.storeLimits.effective.txnOps, "${storedParts()}")
        state.rejectsReads = true
        assertEquals(503, submit(longSpec).status)
        state.rejectsReads = false
        assertAnswer(200, "pending", submit(longSpec))
    }

    @Test
    fun `a conflict at any part of a submission gets 503, and its repetition the accepted job's state`() {
        val partsPerTransaction = settings.storeLimits.effective.txnOps
        for (part in listOf(0, partsPerTransaction)) {
            state.transact(emptyMap(), emptyList(), listOf(jobKey))
            atPart(part, ::acceptAtOtherController)
            assertEquals(503, submit(longSpec).status, "conflict at part $part")
            assertEquals(spec("run-1"), record().spec)
            state.rejectsReads = false
            assertAnswer(200, "pending", submit(longSpec))
        }
    }

    private fun storeLevel(stage: LevelStage) {
        state.put(Keys.LEVEL, RolloutWire.encode(LevelRecord(1, "n", stage, 1, 5.milliseconds)))
    }

    @Test
    fun `a level that is left between two parts gets 503, the parts are collected, and a repeat is accepted later`() {
        storeLevel(LevelStage.ACTIVE)
        features = FeatureGate(FeatureRegistry.CURRENT.levelsOf("build"), RolloutRecords(state) { true }::level)
        atPart(3) { storeLevel(LevelStage.LEAVING) }
        assertEquals(503, submit(longSpec).status)
        state.rejectsReads = false
        assertEquals(404, show("run-1").status)
        assertTrue(storedParts().isNotEmpty())
        collectGarbage()
        assertEquals(emptyList<String>(), storedParts())
        storeLevel(LevelStage.ACTIVE)
        assertEquals(201, submit(longSpec).status)
        assertEquals(longSpec, record().spec)
    }

    private fun collectGarbage() {
        state.put(Keys.LEADERSHIP, emptyMap())
        val leadership = state.entries.getValue(Keys.LEADERSHIP).version
        val collector =
            GarbageCollector(state, 3) { conditions, puts, removes ->
                state.transact(conditions, puts, removes)?.let { StoreResult.Conflict(it) }
                    ?: StoreResult.Ok(state.revision)
            }
        repeat(10) { collector.collect(leadership) }
    }

    @Test
    fun `parts whose transactions get no answer are not used, and the repeated submission is accepted whole`() {
        var transactions = 0
        state.losesResponse = { ++transactions == 2 }
        assertEquals(503, submit(longSpec).status)
        assertEquals(null, state.entries[jobKey])
        assertEquals(201, submit(longSpec).status)
        assertEquals(longSpec, record().spec)
    }

    @Test
    fun `of two requests that submit a job at the same time at most one accepts it, and its description is whole`() {
        val threads = Executors.newFixedThreadPool(2)
        val answers =
            List(2) { threads.submit<CallResult.Response> { submit(longSpec) } }.map { it.get(20, TimeUnit.SECONDS) }
        threads.shutdown()
        val statuses = answers.map { it.status }
        assertTrue(statuses.all { it in setOf(200, 201, 503) } && statuses.count { it == 201 } <= 1, "$statuses")
        val repeated = submit(longSpec)
        assertEquals("pending", repeated.stage)
        assertEquals(longSpec, record().spec)
    }
}
