package glenspool.wire

import com.fasterxml.jackson.databind.ObjectMapper
import com.fasterxml.jackson.dataformat.cbor.CBORFactory
import glenspool.core.ForgetCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.InMemoryStore
import glenspool.state.JobRecordReader
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.math.BigInteger
import java.util.BitSet
import kotlin.time.Duration.Companion.seconds

/** Tests that messages are encoded and decoded in the form of the protocol's examples. */
class WireTest {
    private val json = ObjectMapper()
    private val cbor = ObjectMapper(CBORFactory())

    /** Encodes a message given as JSON with a second, independent CBOR encoder and decodes it. */
    private fun decodeJson(text: String): Fields = Cbor.decodeMap(cbor.writeValueAsBytes(json.readTree(text)))

    /** Encodes the message and decodes the result. */
    private fun roundTrip(fields: Fields): Fields = Cbor.decodeMap(Cbor.encode(fields))

    private fun assertEncodes(expected: String, message: Fields) {
        val decoded = json.writeValueAsString(cbor.readValue(Cbor.encode(message), Map::class.java))
        assertEquals(json.readTree(expected).toPrettyString(), json.readTree(decoded).toPrettyString())
    }

    private val job = """{"uid":"run-000412","lot":"train","crew":"vision","weave":"gang","urgency":"urgent",
     "threads":16,"cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"pattern":"img-07","size_gb":6.2,
     "frames":["g8"],"hall":null,"same_place":true,"apart":false,"loaners":true,
     "expected_s":240.0,"knot_s":30.0,"knotting_s":4.0,"due_s":900.0}"""

    @Test
    fun `an encoded heartbeat decodes to an equal heartbeat`() {
        val tasks =
            TaskState.entries.map { state ->
                val exit = if (state == TaskState.EXITED) ExitReason.INSUFFICIENT_RESOURCES else null
                TaskStatus(TaskKey("run-1", state.ordinal), 3, state, exit, false)
            }
        for (preemptionNotice in listOf(null, 7.5.seconds)) {
            val heartbeat = Heartbeat("i-1", "10.0.0.1:9", "g8", "a", true, 2, 31, 7, preemptionNotice, tasks)
            assertEquals(heartbeat, WorkerWire.decodeHeartbeat(roundTrip(WorkerWire.encode(heartbeat))))
        }
    }

    @Test
    fun `a job is decoded and encoded in the protocol form`() {
        val decoded = JobWire.decode(decodeJson(job))

        assertEquals(JobKind.GANG, decoded.kind)
        assertEquals(Priority.URGENT, decoded.priority)
        assertEquals(16, decoded.tasks)
        assertEquals(listOf("g8"), decoded.types)
        assertNull(decoded.zone)
        assertEquals(900.seconds, decoded.deadline)
        assertEncodes(job, JobWire.encode(decoded))
    }

    @Test
    fun `an absent optional field is decoded as null, and unknown fields are ignored`() {
        val fields = decodeJson(job) - listOf("frames", "hall", "due_s") + ("colour" to "green")

        val decoded = JobWire.decode(fields)

        assertNull(decoded.types)
        assertNull(decoded.deadline)
    }

    @Test
    fun `jobs with invalid values or without required fields are malformed`() {
        val valid = decodeJson(job)
        val invalidValues =
            listOf(
                "threads" to 0L, "threads" to 100_001L, "threads" to -1L, "threads" to 2.5,
                "threads" to BigInteger.ONE.shiftLeft(64), "threads" to null,
                "cpus" to Double.NaN, "cpus" to -1.0, "memory_gb" to Double.POSITIVE_INFINITY, "accelerators" to "1",
                "uid" to "", "uid" to "a/b", "uid" to "a b", "uid" to 7L, "weave" to "knit", "urgency" to null,
                "same_place" to 1L,
                "frames" to "g8", "frames" to listOf(1L), "expected_s" to -1.0, "due_s" to "soon",
            )
        val required = listOf("uid", "lot", "crew", "weave", "threads", "cpus", "pattern", "loaners")

        for (invalid in invalidValues) {
            assertThrows(MalformedMessage::class.java, { JobWire.decode(valid + invalid) }, invalid.toString())
        }
        for (name in required) assertThrows(MalformedMessage::class.java, { JobWire.decode(valid - name) }, name)
    }

    @Test
    fun `a malformed message names the field and the expected type`() {
        val malformed = assertThrows(MalformedMessage::class.java) { JobWire.decode(decodeJson(job) + ("lot" to 7L)) }

        assertEquals("lot", malformed.field)
        assertEquals("a text is needed", malformed.problem)
        assertEquals("lot: a text is needed", malformed.message)
    }

    @Test
    fun `bytes that are not exactly one CBOR map are malformed`() {
        val complete = Cbor.encode(decodeJson(job))
        val nested = ByteArray(2000) { 0x81.toByte() }
        val otherInputs =
            listOf(byteArrayOf(1), Cbor.encode(listOf("a")), byteArrayOf(0xff.toByte()), nested, complete + complete)

        for (size in complete.indices) {
            assertThrows(MalformedMessage::class.java, {
                Cbor.decodeMap(complete.copyOf(size))
            }, "cut to $size bytes")
        }
        for (bytes in otherInputs) assertThrows(MalformedMessage::class.java) { Cbor.decodeMap(bytes) }
    }

    @Test
    fun `a heartbeat in the protocol form is decoded`() {
        val fields =
            decodeJson(
                """{"spindle":"i-000231","addr":"10.1.0.232:9000","frame":"g8","hall":"a","loaners":true,
                 "shift":1,"stitch":88,"baton":41,"recall_s":null,
                 "threads":[{"thread":"run-000412/3","try":2,"stage":"running"},
                          {"thread":"run-000398/0","try":1,"stage":"ended","cause":"done"},
                          {"thread":"run-000398/1","try":1,"stage":"ended","cause":"stopped","stored":true}]}""",
            )

        val heartbeat = WorkerWire.decodeHeartbeat(fields)

        assertEquals(1L to 88L, heartbeat.incarnation to heartbeat.sequence)
        assertEquals(TaskKey("run-000412", 3), heartbeat.tasks[0].key)
        assertEquals(TaskState.RUNNING, heartbeat.tasks[0].state)
        assertEquals(ExitReason.DONE, heartbeat.tasks[1].exit)
        assertEquals(true, heartbeat.tasks[2].checkpointed)
    }

    @Test
    fun `commands are encoded in the protocol form`() {
        val commands =
            listOf(
                StartTask(TaskKey("run-000412", 4), 2, StartCause.PLACED),
                StopTask(TaskKey("run-000377", 1), 1, 10.seconds, StopCause.PREEMPTED),
                ForgetTask(TaskKey("run-000398", 0), 1, ForgetCause.RECORDED),
            )
        val orders =
            """[{"verb":"run","thread":"run-000412/4","try":2},
            {"verb":"stop","thread":"run-000377/1","try":1,"wind_down_s":10.0},
            {"verb":"clear","thread":"run-000398/0","try":1}]"""

        assertEncodes("""{"baton":41,"orders":$orders}""", WorkerWire.heartbeatReply(41, commands))
        assertEncodes("""{"baton":41,"shift":3,"orders":$orders}""", WorkerWire.directCommands(41, 3, commands))
        assertEncodes("""{"foreman":"bobbin-2"}""", WorkerWire.redirect("bobbin-2"))
    }

    @Test
    fun `a transaction is encoded, and changes are decoded, in the protocol form`() {
        val put = StoreWire.Put("a/b", mapOf("x" to 1L), lease = 7L)
        assertEncodes(
            """{"guards":[{"key":"a/b","mark":0}],
             "apply":[{"set":"a/b","data":{"x":1},"tenure":7},{"remove":"c/d"}]}""",
            StoreWire.transaction(mapOf("a/b" to 0L), listOf(put), listOf("c/d")),
        )
        assertEncodes(
            """{"guards":[{"key":"a","mark":3}]}""",
            StoreWire.transaction(mapOf("a" to 3L), emptyList(), emptyList()),
        )

        val log = """[{"set":"c/9","data":{},"mark":433},{"remove":"c/d","mark":432}]"""
        val changes = StoreWire.decodeChanges(decodeJson("""{"ledger":433,"log":$log}"""))
        assertEquals(listOf("c/9", "c/d"), changes.map { it.key })
        assertNull(changes[1].value)
    }

    @Test
    fun `encoded image locations decode to equal ones`() {
        val images = mapOf("i-1" to mapOf("img-1" to 2.5, "img-2" to 6.0), "i-2" to mapOf("img-1" to 2.5))

        assertEquals(images, ImagesWire.decode(roundTrip(ImagesWire.encode(images))))
    }

    @Test
    fun `an encoded job record decodes to an equal record`() {
        val done = BitSet().apply { listOf(0, 15).forEach(::set) }
        val placements =
            listOf(StoredPlacement(1, 8, "i-1"), StoredPlacement(2, 9, "i-1"), StoredPlacement(3, 9, "i-2"))
        val record = JobRecord(JobWire.decode(decodeJson(job)), 1234.seconds, 9, done, placements)

        val read = JobRecordReader(InMemoryStore()).read(record.spec.id, roundTrip(RecordWire.encode(record)))

        assertEquals(record, read)
    }
}
