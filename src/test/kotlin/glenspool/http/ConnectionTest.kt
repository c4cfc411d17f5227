package glenspool.http

import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.InputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread

/** The server as a client on loopback sees it. */
class ConnectionTest {
    private val waiting = LinkedBlockingQueue<(Response) -> Unit>()
    private val server =
        HttpListener(InetSocketAddress("127.0.0.1", 0), "test", 2, ::direct, {}) { r ->
            if (r.uri.path == "/fails") throw IllegalStateException("as a broken handler would")
            Response(Status.OK).body(if (r.uri.path == "/large") "x".repeat(LARGE) else r.bodyString())
        }
    private val socket = Socket("127.0.0.1", server.port)

    private fun direct(request: Request): AsyncHandler? =
        when (request.uri.path) {
            "/later" -> AsyncHandler { _, respond -> waiting.add(respond) }
            "/at-once" -> AsyncHandler { _, respond -> respond(Response(Status.OK)) }
            "/fails-at-once" -> AsyncHandler { _, _ -> throw IllegalStateException("as a broken handler would") }
            else -> null
        }

    @AfterEach
    fun close() {
        socket.close()
        server.close()
    }

    private fun send(text: String) = socket.getOutputStream().write(text.toByteArray())

    private fun get(path: String, more: String = "") = send("GET $path HTTP/1.1\r\nHost: x\r\n$more\r\n")

    private class Answer(val status: Int, val head: String, val body: String)

    private fun read(from: InputStream = socket.getInputStream()): Answer {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            head
                .append(from.read().also { check(it >= 0) { "the connection ended: $head" } }.toChar())
        }
        val length =
            head
                .lines()
                .first { it.startsWith("Content-Length: ") }
                .substringAfter(": ")
                .toInt()
        return Answer(head.split(' ')[1].toInt(), head.toString(), String(from.readNBytes(length)))
    }

    @Test
    fun `a connection serves one request after the other, also when they are sent ahead`() {
        send("POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n1POST /b HTTP/1.1\r\nContent-Length: 1\r\n\r\n2")
        assertEquals(listOf("1", "2"), listOf(read().body, read().body))
        get("/c")
        assertEquals(200, read().status)
    }

    @Test
    fun `thousands of requests sent ahead are answered one after the other`() {
        val one = "GET /at-once HTTP/1.1\r\n\r\n"
        val sender = thread { send(one.repeat(AHEAD)) }
        repeat(AHEAD) { assertEquals(200, read().status) }
        sender.join()
    }

    @Test
    fun `an answer may come later, from another thread, and others are served meanwhile`() {
        get("/later")
        val respond = waiting.take()
        Socket("127.0.0.1", server.port).use {
            it.getOutputStream().write("GET /other HTTP/1.1\r\n\r\n".toByteArray())
            assertEquals(200, read(it.getInputStream()).status)
        }
        respond(Response(Status.OK).body("at last"))
        assertEquals("at last", read().body)
    }

    @Test
    fun `a large answer arrives whole at a client that reads slowly`() {
        get("/large")
        assertEquals(LARGE, read().body.length)
        get("/after")
        assertEquals(200, read().status)
    }

    @Test
    fun `a handler that fails costs its own request alone`() {
        for (path in listOf("/fails", "/fails-at-once")) {
            get(path)
            assertEquals(500, read().status)
        }
        get("/after")
        assertEquals(200, read().status)
    }

    @Test
    fun `a bad request is answered and its connection closed`() {
        send("nonsense\r\n\r\n")
        assertEquals(400, read().status)
        assertEquals(-1, socket.getInputStream().read())
    }

    @Test
    fun `a connection ends when either side says so`() {
        get("/last", "Connection: close\r\n")
        assertTrue("Connection: close" in read().head)
        assertEquals(-1, socket.getInputStream().read())
    }

    @Test
    fun `a client that sends no more still gets its answer`() {
        get("/later")
        val respond = waiting.take()
        socket.shutdownOutput()
        val answer = CompletableFuture.supplyAsync { read() }
        respond(Response(Status.OK).body("still"))
        assertEquals("still", answer.get().body)
        assertEquals(-1, socket.getInputStream().read())
    }

    private companion object {
        const val LARGE = 3_000_000
        const val AHEAD = 5_000
    }
}
