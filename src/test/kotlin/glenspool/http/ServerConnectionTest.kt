package glenspool.http

import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread

/** Tests the server's behavior towards a client on loopback. */
class ServerConnectionTest {
    /** The functions that answer the pending requests to `/later`. */
    private val pendingResponders = LinkedBlockingQueue<(Response) -> Unit>()
    private val server =
        HttpListener(InetSocketAddress("127.0.0.1", 0), "test", 2, ::asyncHandlerOf, {}, ::answer)
    private val socket = Socket("127.0.0.1", server.port)

    private fun asyncHandlerOf(request: Request): AsyncHandler? =
        when (request.uri.path) {
            "/later" -> AsyncHandler { _, respond -> pendingResponders.add(respond) }
            "/at-once" -> AsyncHandler { _, respond -> respond(Response(Status.OK)) }
            "/fails-at-once" -> AsyncHandler { _, _ -> throw IllegalStateException("simulated failure of a handler") }
            else -> null
        }

    private fun answer(request: Request): Response =
        when (request.uri.path) {
            "/fails" -> throw IllegalStateException("simulated failure of a handler")
            "/large" -> Response(Status.OK).body("x".repeat(LARGE_BODY_BYTES))
            else -> Response(Status.OK).body(request.bodyString())
        }

    @AfterEach
    fun close() {
        socket.close()
        server.close()
    }

    private fun readResponse(): RawResponse = socket.getInputStream().readResponse()

    private fun assertConnectionClosed() = assertEquals(-1, socket.getInputStream().read())

    @Test
    fun `a connection serves one request after the other, pipelined or not`() {
        socket.send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\n2")
        assertEquals(listOf("1", "2"), listOf(readResponse().body, readResponse().body))
        socket.sendGet("/c")
        assertEquals(200, readResponse().status)
    }

    @Test
    fun `thousands of pipelined requests are all answered`() {
        val request = "GET /at-once HTTP/1.1\r\n\r\n"
        val sender = thread { socket.send(request.repeat(PIPELINED_REQUESTS)) }
        repeat(PIPELINED_REQUESTS) { assertEquals(200, readResponse().status) }
        sender.join()
    }

    @Test
    fun `a response may be sent later by another thread, and other connections are served in the meantime`() {
        socket.sendGet("/later")
        val respond = pendingResponders.take()
        Socket("127.0.0.1", server.port).use { other ->
            other.send("GET /other HTTP/1.1\r\n\r\n")
            assertEquals(200, other.getInputStream().readResponse().status)
        }
        respond(Response(Status.OK).body("at last"))
        assertEquals("at last", readResponse().body)
    }

    @Test
    fun `a response larger than the socket's buffer arrives completely`() {
        socket.sendGet("/large")
        assertEquals(LARGE_BODY_BYTES, readResponse().body.length)
        socket.sendGet("/after")
        assertEquals(200, readResponse().status)
    }

    @Test
    fun `an exception in a handler fails only its own request`() {
        for (path in listOf("/fails", "/fails-at-once")) {
            socket.sendGet(path)
            assertEquals(500, readResponse().status)
        }
        socket.sendGet("/after")
        assertEquals(200, readResponse().status)
    }

    @Test
    fun `a malformed request is answered and its connection closed`() {
        socket.send("nonsense\r\n\r\n")
        assertEquals(400, readResponse().status)
        assertConnectionClosed()
    }

    @Test
    fun `a connection is closed after the response if the client requests it`() {
        socket.sendGet("/last", "Connection: close\r\n")
        assertTrue("Connection: close" in readResponse().head)
        assertConnectionClosed()
    }

    @Test
    fun `a client that has shut down its output still receives its response`() {
        socket.sendGet("/later")
        val respond = pendingResponders.take()
        socket.shutdownOutput()
        val response = CompletableFuture.supplyAsync { readResponse() }
        respond(Response(Status.OK).body("still"))
        assertEquals("still", response.get().body)
        assertConnectionClosed()
    }

    private companion object {
        const val LARGE_BODY_BYTES = 3_000_000
        const val PIPELINED_REQUESTS = 5_000
    }
}
