package glenspool.api

import glenspool.cloud.CloudClient
import glenspool.cloud.ScaleOutOutcome
import glenspool.config.Member
import glenspool.core.CommandOutcome
import glenspool.core.ScaleOut
import glenspool.core.ScaleOutCause
import glenspool.core.SendCommands
import glenspool.core.StartCause
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.http.cbor
import glenspool.peer.PeerClient
import glenspool.peer.PeerServer
import glenspool.peer.PeerStatus
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.worker.WorkerClient
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.time.Duration.Companion.seconds

/** Each adapter over real sockets on loopback, against what its counterpart may answer. */
class AdaptersTest {
    private val http = HttpCaller(2.seconds)
    private val seen = ArrayList<Pair<String, Fields>>()
    private var answer: (Request) -> Response = { cbor(Status.OK, emptyMap()) }
    private val other =
        HttpListener(InetSocketAddress("127.0.0.1", 0), "other", 64, { r ->
            val body = r.body.stream.readAllBytes()
            synchronized(seen) { seen += r.uri.toString() to if (body.isEmpty()) emptyMap() else Cbor.decodeMap(body) }
            answer(r)
        })
    private val addr = "127.0.0.1:${other.port}"

    @AfterEach
    fun close() = other.close()

    private fun says(status: Int, body: Fields): (Request) -> Response = { cbor(Status(status, null), body) }

    private val heartbeat =
        mapOf(
            "spindle" to "i-1", "addr" to "10.0.0.9:9000", "frame" to "g8", "hall" to "a", "loaners" to false,
            "shift" to 2, "stitch" to 7, "baton" to 4, "recall_s" to 3.5, "threads" to emptyList<Any>(),
        )

    @Test
    fun `the cloud's answers to a rental are told apart`() {
        val cloud = CloudClient(addr, http, 1000.0)
        val rent = ScaleOut("r-1-1", "g8", "a", true, mapOf(ScaleOutCause.BACKLOG to 3))
        answer = says(200, mapOf("spindles" to listOf("i-1", "i-2")))
        assertEquals(ScaleOutOutcome.Rented(listOf("i-1", "i-2")), cloud.rent(rent))
        assertEquals(
            mapOf("hire" to "r-1-1", "frame" to "g8", "hall" to "a", "loaners" to true, "number" to 3L),
            seen
                .last()
                .second,
        )
        answer = says(503, mapOf("error" to "no capacity"))
        assertEquals(ScaleOutOutcome.Refused, cloud.rent(rent))
        for (status in listOf(429, 500)) {
            answer = says(status, emptyMap())
            assertEquals(ScaleOutOutcome.Unknown, cloud.rent(rent))
        }
        answer = says(503, mapOf("error" to "trouble"))
        assertEquals(ScaleOutOutcome.Unknown, cloud.rent(rent))
    }

    @Test
    fun `only the cloud's 200 proves a deletion`() {
        val cloud = CloudClient(addr, http, 1000.0)
        assertTrue(cloud.delete(listOf("i-1")))
        answer = says(503, mapOf("error" to "trouble"))
        assertFalse(cloud.delete(listOf("i-1")))
        assertNull(cloud.listMachines())
    }

    @Test
    fun `the machine list is read page by page`() {
        val cloud = CloudClient(addr, http, 1000.0)
        answer = { r ->
            val first = r.query("after") == null
            val one =
                mapOf(
                    "uid" to if (first) "i-1" else "i-2", "addr" to "10.0.0.9:1", "frame" to "g8", "hall" to "a",
                    "loaners" to true, "stage" to "running", "held_s" to 2.5,
                )
            cbor(Status.OK, mapOf("spindles" to listOf(one), "has_next" to first))
        }
        assertEquals(listOf("i-1", "i-2"), cloud.listMachines()?.map { it.id })
        assertEquals(listOf("/hosts?page=500", "/hosts?page=500&after=i-1"), seen.map { it.first })
    }

    @Test
    fun `a command's outcome is done only with the worker's report`() {
        val worker = WorkerClient(http)
        val d = SendCommands("i-1", addr, 4, 2, listOf(StartTask(TaskKey("run-1", 0), 1, StartCause.PLACED)))
        answer = says(200, heartbeat)
        assertEquals(CommandOutcome.DONE, worker.command(d).outcome)
        assertEquals(4L to 2L, seen.last().second.let { it["baton"] to it["shift"] })
        answer = says(200, mapOf("nonsense" to 1))
        assertEquals(CommandOutcome.UNKNOWN, worker.command(d).outcome)
        answer = says(409, heartbeat)
        assertEquals(CommandOutcome.REFUSED, worker.command(d).outcome)
        answer = says(500, emptyMap())
        assertEquals(CommandOutcome.UNKNOWN, worker.command(d).outcome)
        val closed = ServerSocket(0).use { it.localPort }
        assertEquals(CommandOutcome.NOT_SENT, worker.command(d.copy(addr = "127.0.0.1:$closed")).outcome)
        answer = says(200, heartbeat)
        assertEquals(3.5.seconds, worker.probe(addr)?.preemptionNotice)
    }

    @Test
    fun `a peer passes a request on and says who leads`() {
        val answered = RelayAnswer(429, byteArrayOf(1, 2), "3")
        var got: RelayRequest? = null
        val status = PeerStatus("n1", true, "n1", true)
        HttpListener(
            InetSocketAddress("127.0.0.1", 0), "peer", 4,
            PeerServer({ status }, { null }) {
                got = it
                answered
            },
        ).use { peer ->
            val gone = ServerSocket(0).use { it.localPort }
            val members = listOf(gone, peer.port).map { Member("n$it", "a", InetSocketAddress("127.0.0.1", it)) }
            val client = PeerClient(members)
            assertEquals(listOf(status), client.statuses())
            val back = client.relay(RelayRequest("POST", "/api/jobs", byteArrayOf(9)), 5.seconds)
            assertEquals(429 to "3", back?.let { it.status to it.retryAfter })
            assertArrayEquals(byteArrayOf(1, 2), back?.body)
            assertArrayEquals(byteArrayOf(9), got?.body)
        }
    }

    @Test
    fun `peers that stall in the middle of a request keep nobody else out`() {
        val stalled =
            List(20) {
                Socket("127.0.0.1", other.port).also { s ->
                    s.getOutputStream().write("POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Le".toByteArray())
                    s.getOutputStream().flush()
                }
            }
        repeat(20) { assertEquals(200, (http.get(addr, "/ready", 10.seconds) as CallResult.Answer).status) }
        stalled.forEach { it.close() }
    }
}
