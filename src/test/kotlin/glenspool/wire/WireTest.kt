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

/** The messages as the protocol's examples give them. */
class WireTest {
    private val json = ObjectMapper()
    private val cbor = ObjectMapper(CBORFactory())

    /** Through a second, independent encoder. */
    private fun outside(text: String): Fields = Cbor.decodeMap(cbor.writeValueAsBytes(json.readTree(text)))

    private fun assertSays(expected: String, message: Fields) =
        assertEquals(
            json.readTree(expected).toPrettyString(),
            json
                .readTree(json.writeValueAsString(cbor.readValue(Cbor.encode(message), Map::class.java)))
                .toPrettyString(),
        )

    private val job = """{"uid":"run-000412","lot":"train","crew":"vision","weave":"gang","urgency":"urgent","threads":16,
     "cpus":8.0,"accelerators":1.0,"memory_gb":64.0,"pattern":"img-07","size_gb":6.2,
     "frames":["g8"],"hall":null,"same_place":true,"apart":false,"loaners":true,
     "expected_s":240.0,"knot_s":30.0,"knotting_s":4.0,"due_s":900.0}"""

    @Test
    fun `a report that is encoded here is decoded as it was`() {
        val tasks =
            TaskState.entries.map {
                TaskStatus(
                    TaskKey("run-1", it.ordinal), 3, it,
                    if (it ==
                        TaskState.EXITED
                    ) {
                        ExitReason.INSUFFICIENT_RESOURCES
                    } else {
                        null
                    },
                    false,
                )
            }
        for (preemptionNotice in listOf(null, 7.5.seconds)) {
            val r = Heartbeat("i-1", "10.0.0.1:9", "g8", "a", true, 2, 31, 7, preemptionNotice, tasks)
            assertEquals(r, WorkerWire.decodeHeartbeat(Cbor.decodeMap(Cbor.encode(WorkerWire.encode(r)))))
        }
    }

    @Test
    fun `a job reads and writes as in the protocol`() {
        val j = JobWire.decode(outside(job))
        assertEquals(JobKind.GANG, j.kind)
        assertEquals(Priority.URGENT, j.priority)
        assertEquals(16, j.tasks)
        assertEquals(listOf("g8"), j.types)
        assertNull(j.zone)
        assertEquals(900.seconds, j.deadline)
        assertSays(job, JobWire.encode(j))
    }

    @Test
    fun `absent and null mean the same where null is allowed, and unknown fields are ignored`() {
        val m = outside(job).toMutableMap()
        listOf("frames", "hall", "due_s").forEach { m.remove(it) }
        m["colour"] = "green"
        val j = JobWire.decode(m)
        assertNull(j.types)
        assertNull(j.deadline)
    }

    @Test
    fun `absurd jobs are malformed`() {
        val good = outside(job)
        val bad =
            listOf(
                "threads" to 0L, "threads" to 100_001L, "threads" to -1L, "threads" to 2.5,
                "threads" to BigInteger.ONE.shiftLeft(64), "threads" to null,
                "cpus" to Double.NaN, "cpus" to -1.0, "memory_gb" to Double.POSITIVE_INFINITY, "accelerators" to "1",
                "uid" to "", "uid" to "a/b", "uid" to "a b", "uid" to 7L, "weave" to "knit", "urgency" to null,
                "same_place" to 1L,
                "frames" to "g8", "frames" to listOf(1L), "expected_s" to -1.0, "due_s" to "soon",
            )
        for ((k, v) in bad) assertThrows(MalformedMessage::class.java, { JobWire.decode(good + (k to v)) }, "$k=$v")
        for (k in listOf("uid", "lot", "crew", "weave", "threads", "cpus", "pattern", "loaners")) {
            assertThrows(MalformedMessage::class.java, { JobWire.decode(good - k) }, k)
        }
    }

    @Test
    fun `bytes that are no map are malformed, whatever they are`() {
        val whole = Cbor.encode(outside(job))
        for (n in 0 until whole.size) {
            assertThrows(MalformedMessage::class.java, {
                Cbor.decodeMap(whole.copyOf(n))
            }, "cut at $n")
        }
        for (b in listOf(
            byteArrayOf(1), Cbor.encode(listOf("a")), byteArrayOf(0xff.toByte()),
            ByteArray(2000) {
                0x81
                    .toByte()
            },
            whole + whole,
        )) {
            assertThrows(MalformedMessage::class.java) { Cbor.decodeMap(b) }
        }
    }

    @Test
    fun `a report reads as in the protocol`() {
        val r =
            WorkerWire.decodeHeartbeat(
                outside(
                    """{"spindle":"i-000231","addr":"10.1.0.232:9000","frame":"g8","hall":"a","loaners":true,
                 "shift":1,"stitch":88,"baton":41,"recall_s":null,
                 "threads":[{"thread":"run-000412/3","try":2,"stage":"running"},
                          {"thread":"run-000398/0","try":1,"stage":"ended","cause":"done"},
                          {"thread":"run-000398/1","try":1,"stage":"ended","cause":"stopped","stored":true}]}""",
                ),
            )
        assertEquals(1L to 88L, r.incarnation to r.sequence)
        assertEquals(TaskKey("run-000412", 3), r.tasks[0].key)
        assertEquals(TaskState.RUNNING, r.tasks[0].state)
        assertEquals(ExitReason.DONE, r.tasks[1].exit)
        assertEquals(true, r.tasks[2].checkpointed)
    }

    @Test
    fun `orders write as in the protocol`() {
        val commands =
            listOf(
                StartTask(TaskKey("run-000412", 4), 2, StartCause.PLACED),
                StopTask(TaskKey("run-000377", 1), 1, 10.seconds, StopCause.PREEMPTED),
                ForgetTask(TaskKey("run-000398", 0), 1, ForgetCause.RECORDED),
            )
        val orders = """[{"verb":"run","thread":"run-000412/4","try":2},{"verb":"stop","thread":"run-000377/1","try":1,"wind_down_s":10.0},
            {"verb":"clear","thread":"run-000398/0","try":1}]"""
        assertSays("""{"baton":41,"orders":$orders}""", WorkerWire.answer(41, commands))
        assertSays("""{"baton":41,"shift":3,"orders":$orders}""", WorkerWire.direct(41, 3, commands))
        assertSays("""{"foreman":"bobbin-2"}""", WorkerWire.redirect("bobbin-2"))
    }

    @Test
    fun `a transaction writes as in the protocol`() {
        assertSays(
            """{"guards":[{"key":"a/b","mark":0}],"apply":[{"set":"a/b","data":{"x":1},"tenure":7},{"remove":"c/d"}]}""",
            StoreWire.transaction(mapOf("a/b" to 0L), listOf(Triple("a/b", mapOf("x" to 1L), 7L)), listOf("c/d")),
        )
        assertSays(
            """{"guards":[{"key":"a","mark":3}]}""",
            StoreWire
                .transaction(mapOf("a" to 3L), emptyList(), emptyList()),
        )
        val changes =
            StoreWire
                .changes(outside("""{"ledger":433,"log":[{"set":"c/9","data":{},"mark":433},{"remove":"c/d","mark":432}]}"""))
        assertEquals(listOf("c/9", "c/d"), changes.map { it.key })
        assertNull(changes[1].value)
    }

    @Test
    fun `remembered images come back as they were`() {
        val images = mapOf("i-1" to mapOf("img-1" to 2.5, "img-2" to 6.0), "i-2" to mapOf("img-1" to 2.5))
        assertEquals(images, ImagesWire.decode(Cbor.decodeMap(Cbor.encode(ImagesWire.encode(images)))))
    }

    @Test
    fun `a stored record comes back as it was`() {
        val done =
            BitSet().apply {
                set(0)
                set(15)
            }
        val r =
            JobRecord(JobWire.decode(outside(job)), 1234.seconds, 9, done, listOf(StoredPlacement(1, 8, "i-1"), StoredPlacement(2, 9, "i-1"), StoredPlacement(3, 9, "i-2")))
        assertEquals(r, JobRecordReader(InMemoryStore()).read(r.spec.id, Cbor.decodeMap(Cbor.encode(RecordWire.encode(r)))))
    }
}
