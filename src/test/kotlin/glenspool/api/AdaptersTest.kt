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
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.peer.PeerClient
import glenspool.peer.PeerServer
import glenspool.peer.PeerStatus
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.simulation.linesOfStandardError
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

/** Tests each client over real sockets on loopback against the possible answers of its counterpart. */
class AdaptersTest {
    private val http = HttpClient(2.seconds)

    /** The requests that the counterpart received, in order. */
    private val requests = ArrayList<ReceivedRequest>()
    private var answer: (Request) -> Response = { cborResponse(Status.OK, emptyMap()) }
    private val counterpart = HttpListener(InetSocketAddress("127.0.0.1", 0), "counterpart", 64, ::receive)
    private val addr = "127.0.0.1:${counterpart.port}"

    private class ReceivedRequest(val uri: String, val body: Fields)

    private fun receive(request: Request): Response {
        val bytes = request.body.stream.readAllBytes()
        val body = if (bytes.isEmpty()) emptyMap() else Cbor.decodeMap(bytes)
        synchronized(requests) { requests += ReceivedRequest(request.uri.toString(), body) }
        return answer(request)
    }

    @AfterEach
    fun close() = counterpart.close()

    private fun answerWith(status: Int, body: Fields): (Request) -> Response =
        { cborResponse(Status(status, null), body) }

    private fun unusedPort() = ServerSocket(0).use { it.localPort }

    private val heartbeat =
        mapOf(
            "spindle" to "i-1", "addr" to "10.0.0.9:9000", "frame" to "g8", "hall" to "a", "loaners" to false,
            "shift" to 2, "stitch" to 7, "baton" to 4, "recall_s" to 3.5, "threads" to emptyList<Any>(),
        )

    @Test
    fun `a scale-out is rented, refused or unknown depending on the cloud's answer`() {
        val cloud = CloudClient(addr, http, 1000.0)
        val rent = ScaleOut("r-1-1", "g8", "a", true, mapOf(ScaleOutCause.BACKLOG to 3))
        answer = answerWith(200, mapOf("spindles" to listOf("i-1", "i-2")))
        assertEquals(ScaleOutOutcome.Rented(listOf("i-1", "i-2")), cloud.rent(rent))
        val expected = mapOf("hire" to "r-1-1", "frame" to "g8", "hall" to "a", "loaners" to true, "number" to 3L)
        assertEquals(expected, requests.last().body)
        answer = answerWith(503, mapOf("error" to "no capacity"))
        assertEquals(ScaleOutOutcome.Refused, cloud.rent(rent))
        for (status in listOf(429, 500)) {
            answer = answerWith(status, emptyMap())
            assertEquals(ScaleOutOutcome.Unknown, cloud.rent(rent))
        }
        answer = answerWith(503, mapOf("error" to "trouble"))
        assertEquals(ScaleOutOutcome.Unknown, cloud.rent(rent))
    }

    @Test
    fun `a deletion is confirmed only by the cloud's status 200`() {
        val cloud = CloudClient(addr, http, 1000.0)
        assertTrue(cloud.delete(listOf("i-1")))
        answer = answerWith(503, mapOf("error" to "trouble"))
        assertFalse(cloud.delete(listOf("i-1")))
        assertNull(cloud.listMachines())
    }

    @Test
    fun `the machine list is read page by page`() {
        val cloud = CloudClient(addr, http, 1000.0)
        answer = { request ->
            val isFirstPage = request.query("after") == null
            val machine =
                mapOf(
                    "uid" to if (isFirstPage) "i-1" else "i-2", "addr" to "10.0.0.9:1", "frame" to "g8", "hall" to "a",
                    "loaners" to true, "stage" to "running", "held_s" to 2.5,
                )
            cborResponse(Status.OK, mapOf("spindles" to listOf(machine), "has_next" to isFirstPage))
        }
        assertEquals(listOf("i-1", "i-2"), cloud.listMachines()?.map { it.id })
        assertEquals(listOf("/hosts?page=500", "/hosts?page=500&after=i-1"), requests.map { it.uri })
    }

    @Test
    fun `a command is done only if the worker answers with its status`() {
        val worker = WorkerClient(http)
        val commands = SendCommands("i-1", addr, 4, 2, listOf(StartTask(TaskKey("run-1", 0), 1, StartCause.PLACED)))
        answer = answerWith(200, heartbeat)
        assertEquals(CommandOutcome.DONE, worker.sendCommands(commands).outcome)
        assertEquals(4L to 2L, requests.last().body.let { it["baton"] to it["shift"] })
        answer = answerWith(200, mapOf("nonsense" to 1))
        assertEquals(CommandOutcome.UNKNOWN, worker.sendCommands(commands).outcome)
        answer = answerWith(409, heartbeat)
        assertEquals(CommandOutcome.REFUSED, worker.sendCommands(commands).outcome)
        answer = answerWith(500, emptyMap())
        assertEquals(CommandOutcome.UNKNOWN, worker.sendCommands(commands).outcome)
        assertEquals(
            CommandOutcome.NOT_SENT,
            worker.sendCommands(commands.copy(addr = "127.0.0.1:${unusedPort()}")).outcome,
        )
        answer = answerWith(200, heartbeat)
        assertEquals(3.5.seconds, worker.probe(addr)?.preemptionNotice)
    }

    /** Guards against a warning for each rejection without a body, which is no malformed heartbeat. */
    @Test
    fun `a rejection without a body is logged only if its body can't be decoded`() {
        val worker = WorkerClient(http)
        val commands = SendCommands("i-1", addr, 4, 2, listOf(StartTask(TaskKey("run-1", 0), 1, StartCause.PLACED)))

        fun linesOfRejection(status: Int, body: Fields): List<String> {
            answer = answerWith(status, body)
            return linesOfStandardError {
                assertEquals(CommandOutcome.REFUSED, worker.sendCommands(commands).outcome)
            }
        }
        assertEquals(emptyList<String>(), linesOfRejection(409, emptyMap()))
        assertEquals(emptyList<String>(), linesOfRejection(400, emptyMap()))
        val lines = linesOfRejection(409, mapOf("nonsense" to 1))
        assertTrue(lines.single().contains("could not be decoded"), "$lines")
    }

    @Test
    fun `a peer answers relayed requests and reports the leader, and a peer that is down is skipped`() {
        val status = PeerStatus("n1", leading = true, leader = "n1", isCacheFresh = true)
        var relayed: RelayRequest? = null
        val server =
            PeerServer({ status }, { null }) {
                relayed = it
                RelayAnswer(429, byteArrayOf(1, 2), "3")
            }
        HttpListener(InetSocketAddress("127.0.0.1", 0), "peer", 4, server).use { peer ->
            val members =
                listOf(unusedPort(), peer.port).map { Member("n$it", "a", InetSocketAddress("127.0.0.1", it)) }
            val client = PeerClient(members)
            assertEquals(listOf(status), client.statuses())
            val answer = client.relay(RelayRequest("POST", "/api/jobs", byteArrayOf(9)), 5.seconds)
            assertEquals(429 to "3", answer?.let { it.status to it.retryAfter })
            assertArrayEquals(byteArrayOf(1, 2), answer?.body)
            assertArrayEquals(byteArrayOf(9), relayed?.body)
        }
    }

    @Test
    fun `clients that stall in the middle of a request do not block other clients`() {
        val stalled = List(20) { Socket("127.0.0.1", counterpart.port) }
        for (socket in stalled) {
            socket.getOutputStream().write("POST /api/jobs HTTP/1.1\r\nHost: x\r\nContent-Le".toByteArray())
            socket.getOutputStream().flush()
        }
        repeat(20) { assertEquals(200, (http.get(addr, "/ready", 10.seconds) as CallResult.Response).status) }
        stalled.forEach { it.close() }
    }
}
