package glenspool.api

import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.http.CallResult
import glenspool.simulation.OldVersion
import glenspool.simulation.UserApiTestBase
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Submissions with dependencies, and descriptions too long for one value, under the smallest limits of all sites. */
class DependencyApiTest : UserApiTestBase(SMALL_STORE_SETTINGS) {
    private fun storedRecord(id: String) = state.entries.getValue(Keys.job(id)).value

    private fun record(id: String): JobRecord = JobRecordReader(state).read(id, storedRecord(id))

    private fun dependencies(id: String) = record(id).dependencies

    private fun stage(id: String) = show(id).stage

    /** Stores a copy of a job without using the API, in the form in which another node would accept it. */
    private fun storeAsOtherNode(id: String, like: String, dependencies: List<String> = emptyList()) {
        val record = record(like).copy(spec = spec(id), dependencies = dependencies)
        state.put(Keys.job(id), RecordWire.encode(record))
    }

    private fun specWithTypes(id: String, types: Int): JobSpec {
        val names = List(types) { "some-type-$it" } + "big"
        return spec(id).copy(types = names)
    }

    private fun assertAborted(by: String, answer: CallResult.Response) {
        assertEquals("aborted" to by, answer.stage to answer.body["aborted_with"])
    }

    @Test
    fun `a job with dependencies is stored in a form that the version in production ignores`() {
        submit(spec("run-1"))
        assertAnswer(201, "pending", submit(spec("run-2"), listOf("run-1", "run-1")))
        assertEquals(listOf("run-1"), dependencies("run-2"))
        assertNull(OldVersion.read(storedRecord("run-2")))
        assertEquals("pending" to listOf("run-1"), show("run-2").let { it.stage to it.body["awaits"] })
        storeFinalState("run-1", "done")
        assertEquals("pending" to null, show("run-2").let { it.stage to it.body["awaits"] })
        for (noDependencies in listOf(null, emptyList<String>())) {
            submit(spec("run-9$noDependencies"), noDependencies)
            assertEquals(emptyList<String>(), dependencies("run-9$noDependencies"))
        }
    }

    @Test
    fun `only accepted jobs in any state, and no services, can be named as dependencies`() {
        submit(spec("run-1"))
        submit(spec("run-2"))
        storeFinalState("run-2", "done")
        submit(spec("run-3", kind = JobKind.SERVICE))
        assertEquals(422, submit(spec("run-4"), listOf("run-1", "run-99")).status)
        assertEquals(422, submit(spec("run-4"), listOf("run-3")).status)
        assertEquals(422, submit(spec("run-4"), listOf("run-4")).status)
        for (malformed in listOf("run-1", listOf(1), listOf("a b"), listOf(""))) {
            assertEquals(400, submit(spec("run-4"), malformed).status, "$malformed")
        }
        assertEquals(404, show("run-4").status)
        assertEquals(201, submit(spec("run-4"), listOf("run-1", "run-2")).status)
        // Another node accepted run-5 a moment ago, so a cache that was not brought up to date would not contain it.
        storeAsOtherNode("run-5", like = "run-1")
        assertEquals(201, submit(spec("run-6"), listOf("run-5")).status)
    }

    @Test
    fun `without the key-value store a submission gets 503, and a known job is answered despite failed checks`() {
        submit(spec("run-1"))
        submit(spec("run-2"), listOf("run-1"))
        state.isDown = true
        assertEquals(503, submit(spec("run-3"), listOf("run-1")).status)
        state.isDown = false
        // Both repeats are answered because run-2 is known, although the dependency run-77 was never accepted and the
        // first repeat is too long for a new job.
        val longSpec = spec("run-2").copy(types = List(900) { "some-type-$it" })
        assertEquals(200, submit(longSpec, listOf("run-77")).status)
        assertEquals(200, submit(spec("run-2"), listOf("run-77")).status)
    }

    @Test
    fun `a cancellation applies immediately to all jobs that depend on the cancelled one`() {
        submit(spec("run-1"))
        submit(spec("run-2"), listOf("run-1"))
        submit(spec("run-3"), listOf("run-2"))
        assertEquals("pending", stage("run-3"))
        assertEquals("aborted", withdraw("run-1").stage)
        for (id in listOf("run-2", "run-3")) assertAborted("run-1", show(id))
        // The job is accepted although the answer reports that it will not run; cancelling it stores nothing.
        assertAnswer(201, "aborted", submit(spec("run-4"), listOf("run-3")))
        assertEquals("aborted", withdraw("run-4").stage)
        // The answer stays the same when the cancelled job has ended and those that depend on it have not yet.
        storeFinalState("run-1", "cancelled")
        for (id in listOf("run-2", "run-3", "run-4")) assertEquals("aborted", stage(id))
        storeFinalState("run-2", "cancelled")
        for (id in listOf("run-2", "run-3", "run-4")) assertEquals("aborted", stage(id))
        assertAnswer(201, "aborted", submit(spec("run-5"), listOf("run-1")))
    }

    @Test
    fun `a cancellation of a job that is done does not abort its dependents`() {
        submit(spec("run-1"))
        submit(spec("run-2"), listOf("run-1"))
        storeFinalState("run-1", "done")
        assertEquals("done", withdraw("run-1").stage)
        assertEquals("pending", stage("run-2"))
        assertEquals("aborted", withdraw("run-2").stage)
    }

    @Test
    fun `a chain of 300 jobs and a list of 301 dependencies are accepted under small value limits`() {
        state.lowerLimits()
        submit(spec("run-0"))
        assertEquals("pending", stage("run-0"))
        for (i in 1..300) storeAsOtherNode("run-$i", like = "run-0", dependencies = listOf("run-${i - 1}"))
        val all = (0..300).map { "run-$it" }
        assertEquals(201, submit(spec("run-900"), all + all).status)
        assertEquals(all, dependencies("run-900"))
        assertEquals(all, show("run-900").body["awaits"])
        assertEquals(200, submit(spec("run-900"), all).status)
        withdraw("run-0")
        assertEquals("aborted", stage("run-300"))
        assertEquals("aborted", stage("run-900"))
        assertEquals(400, submit(spec("run-901"), List(4000) { "run-$it" }).status)
    }

    @Test
    fun `a description that exceeds a lowered value limit is stored in parts`() {
        val longSpec = specWithTypes("run-1", types = 300)
        assertTrue(longSpec.maxRecordBytes in 2049..8192)
        // An old controller may lead, so the record is stored in its form as long as the key-value store accepts it.
        allMembersReadSplitRecords = false
        assertEquals(201, submit(longSpec).status)
        assertNotNull(OldVersion.read(storedRecord("run-1")))
        // The key-value store's limit is lowered without notice to the controller.
        state.lowerLimits()
        assertEquals(201, submit(longSpec.copy(id = "run-2")).status)
        allMembersReadSplitRecords = true
        assertEquals(201, submit(longSpec.copy(id = "run-3")).status)
        for (id in listOf("run-2", "run-3")) {
            assertEquals(longSpec.copy(id = id), record(id).spec)
            assertEquals("pending", stage(id))
        }
    }

    @Test
    fun `description parts that another request has changed in the meantime are not used for a job`() {
        state.lowerLimits()
        val longSpec = specWithTypes("run-1", types = 300)
        // Another attempt with a different description rewrites a part after this one stored its parts, before its
        // record.
        state.beforeTransaction = { puts ->
            if (puts.any { it.key == Keys.job("run-1") }) {
                state.put(Keys.descriptionPart("run-1", 0), mapOf("piece" to "other"))
            }
        }
        assertEquals(503, submit(longSpec).status)
        assertEquals(404, show("run-1").status)
        state.beforeTransaction = {}
        assertEquals(201, submit(longSpec).status)
        assertEquals(longSpec, record("run-1").spec)
    }
}
