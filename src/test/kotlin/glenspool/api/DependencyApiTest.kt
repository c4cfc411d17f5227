package glenspool.api

import glenspool.config.SettingsTest
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.simulation.OldVersion
import glenspool.simulation.ServedUserApi
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Submissions that wait for others, at the smallest limits of the sites: 2 KiB a value, 4 changes a transaction. */
class DependencyApiTest :
    ServedUserApi(
        SettingsTest.GOOD
            .replace("[settings.cloud]", "[settings.state.next]\nvalue_kb = 2.0\ntxn_ops = 4\n[settings.cloud]"),
    ) {
    private fun dependencies(id: String) = record(id).dependencies

    private fun record(id: String): JobRecord = JobRecordReader(state).read(id, state.entries.getValue(Keys.job(id)).value)

    private fun stage(id: String) = show(id).body["stage"]

    @Test
    fun `a job that waits is taken in a form that the version in production leaves alone`() {
        submit(spec("run-1"))
        assertEquals(
            201 to "pending",
            submit(spec("run-2"), listOf("run-1", "run-1")).let {
                it.status to
                    it.body["stage"]
            },
        )
        assertEquals(listOf("run-1"), dependencies("run-2"))
        assertNull(OldVersion.reads(state.entries.getValue(Keys.job("run-2")).value))
        assertEquals("pending" to listOf("run-1"), show("run-2").body.let { it["stage"] to it["awaits"] })
        end("run-1", "done")
        assertEquals("pending" to null, show("run-2").body.let { it["stage"] to it["awaits"] })
        for (nothing in listOf(null, emptyList<String>())) {
            assertEquals(
                emptyList<String>(),
                submit(spec("run-9$nothing"), nothing)
                    .let { dependencies("run-9$nothing") },
            )
        }
    }

    @Test
    fun `only accepted jobs can be named, in whatever state, and no services`() {
        submit(spec("run-1"))
        submit(spec("run-2"))
        end("run-2", "done")
        submit(spec("run-3", kind = JobKind.SERVICE))
        assertEquals(422, submit(spec("run-4"), listOf("run-1", "run-99")).status)
        assertEquals(422, submit(spec("run-4"), listOf("run-3")).status)
        assertEquals(422, submit(spec("run-4"), listOf("run-4")).status)
        for (bad in listOf("run-1", listOf(1), listOf("a b"), listOf(""))) {
            assertEquals(
                400,
                submit(spec("run-4"), bad)
                    .status,
                "$bad",
            )
        }
        assertEquals(404, show("run-4").status)
        assertEquals(201, submit(spec("run-4"), listOf("run-1", "run-2")).status)
        // Named by another node a moment ago: a copy in memory would not know it.
        state
            .transact(
                emptyMap(),
                listOf(
                    Put(
                        Keys.job("run-5"),
                        RecordWire
                            .encode(record("run-1").copy(spec = spec("run-5"))),
                    ),
                ),
                emptyList(),
            )
        assertEquals(201, submit(spec("run-6"), listOf("run-5")).status)
    }

    @Test
    fun `without the state service nothing is decided, and a repeat is answered before any check`() {
        submit(spec("run-1"))
        submit(spec("run-2"), listOf("run-1"))
        state.down = true
        assertEquals(503, submit(spec("run-3"), listOf("run-1")).status)
        state.down = false
        // Its names can no longer be found, and it is too long for a new job: it is known all the same.
        val long = spec("run-2").copy(types = List(900) { "some-type-$it" })
        assertEquals(200, submit(long, listOf("run-77")).status)
        assertEquals(200, submit(spec("run-2"), listOf("run-77")).status)
    }

    @Test
    fun `a cancellation holds for all who need the job at once, whoever leads`() {
        submit(spec("run-1"))
        submit(spec("run-2"), listOf("run-1"))
        submit(spec("run-3"), listOf("run-2"))
        assertEquals("pending", stage("run-3"))
        assertEquals("aborted", withdraw("run-1").body["stage"])
        for (id in listOf("run-2", "run-3")) {
            assertEquals(
                "aborted" to "run-1",
                show(id).body.let {
                    it["stage"] to
                        it["aborted_with"]
                },
            )
        }
        // Accepted all the same, and told how it stands; its own withdrawal has nothing left to store.
        assertEquals(201 to "aborted", submit(spec("run-4"), listOf("run-3")).let { it.status to it.body["stage"] })
        assertEquals("aborted", withdraw("run-4").body["stage"])
        // The cancelled job is closed, and those after it are not yet: the answer stays.
        end("run-1", "cancelled")
        for (id in listOf("run-2", "run-3", "run-4")) assertEquals("aborted", stage(id))
        end("run-2", "cancelled")
        for (id in listOf("run-2", "run-3", "run-4")) assertEquals("aborted", stage(id))
        assertEquals(201 to "aborted", submit(spec("run-5"), listOf("run-1")).let { it.status to it.body["stage"] })
    }

    @Test
    fun `a cancellation that is answered with done lets those after it go on`() {
        submit(spec("run-1"))
        submit(spec("run-2"), listOf("run-1"))
        end("run-1", "done")
        assertEquals("done", withdraw("run-1").body["stage"])
        assertEquals("pending", stage("run-2"))
        assertEquals("aborted", withdraw("run-2").body["stage"])
    }

    @Test
    fun `a chain hundreds deep and a list of hundreds fit small values`() {
        state.valueLimit = 2048
        state.opsLimit = 4
        submit(spec("run-0"))
        assertEquals("pending", stage("run-0"))
        // As another node takes them.
        for (i in 1..300) {
            val r = record("run-0").copy(spec = spec("run-$i"), dependencies = listOf("run-${i - 1}"))
            state.transact(emptyMap(), listOf(Put(Keys.job("run-$i"), RecordWire.encode(r))), emptyList())
        }
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
    fun `a description that was short enough before is kept in pieces when values become smaller`() {
        val long = spec("run-1").copy(types = List(300) { "some-type-$it" } + "big")
        assertTrue(long.maxRecordBytes in 2049..8192)
        // Old controllers may lead: it is stored in their form as long as the state service takes it.
        allMembersReadSplitRecords = false
        assertEquals(201, submit(long).status)
        assertTrue(OldVersion.reads(state.entries.getValue(Keys.job("run-1")).value) != null)
        // The limit is lowered without notice.
        state.valueLimit = 2048
        state.opsLimit = 4
        assertEquals(201, submit(long.copy(id = "run-2")).status)
        allMembersReadSplitRecords = true
        assertEquals(201, submit(long.copy(id = "run-3")).status)
        for (id in listOf("run-2", "run-3")) {
            assertEquals(long.copy(id = id), record(id).spec)
            assertEquals("pending", stage(id))
        }
    }

    @Test
    fun `pieces that somebody changed meanwhile do not become part of a job`() {
        state.valueLimit = 2048
        state.opsLimit = 4
        val long = spec("run-1").copy(types = List(300) { "some-type-$it" } + "big")
        // Another attempt, with other words, rewrites a piece between this one's pieces and its record.
        state.beforeTransaction = { puts ->
            if (puts.any { it.key == Keys.job("run-1") }) {
                state.transact(emptyMap(), listOf(Put(Keys.descriptionPart("run-1", 0), mapOf("piece" to "other"))), emptyList())
            }
        }
        assertEquals(503, submit(long).status)
        assertEquals(404, show("run-1").status)
        state.beforeTransaction = {}
        assertEquals(201, submit(long).status)
        assertEquals(long, record("run-1").spec)
    }
}
