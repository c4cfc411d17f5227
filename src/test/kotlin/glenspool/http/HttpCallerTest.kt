package glenspool.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The client against a server that answers with given bytes, however odd. */
class HttpCallerTest {
    /** What the server sends for the next request; null: it closes the connection instead. */
    private val answers = LinkedBlockingQueue<Answer>()

    /** The connection's number and the request line of each request. */
    private val seen = LinkedBlockingQueue<Pair<Int, String>>()
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val to = "127.0.0.1:${server.localPort}"
    private val http = HttpCaller(2.seconds)

    private class Answer(val text: String?, val thenClose: Boolean)

    init {
        thread(isDaemon = true) {
            var number = 0
            while (!server.isClosed) {
                val socket =
                    try {
                        server.accept()
                    } catch (e: java.net.SocketException) {
                        // The test is over.
                        break
                    }
                val n = ++number
                thread(isDaemon = true) { socket.use { serve(it, n) } }
            }
        }
    }

    private fun serve(socket: Socket, number: Int) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val line = input.readLine() ?: return
            val fields = generateSequence { input.readLine().takeIf { it.isNotEmpty() } }.toList()
            val length = fields.firstOrNull { it.startsWith("Content-Length: ") }?.substringAfter(": ")?.toInt() ?: 0
            repeat(length) { input.read() }
            seen.add(number to line)
            val answer = answers.take()
            if (answer.text == null) return
            socket.getOutputStream().write(answer.text.toByteArray(Charsets.ISO_8859_1))
            if (answer.thenClose) return
        }
    }

    @AfterEach
    fun close() = server.close()

    private fun answer(text: String?, thenClose: Boolean = false) = answers.add(Answer(text, thenClose))

    private fun get() = http.callRaw("GET", to, "/x", null, 5.seconds)

    private fun post() = http.callRaw("POST", to, "/x", byteArrayOf(1, 2, 3), 5.seconds)

    private fun assertBody(text: String, result: RawResult) =
        assertArrayEquals(
            text.toByteArray(),
            (result as RawResult.Answer)
                .body,
        )

    @Test
    fun `responses with a length, in chunks, after word to go on, and up to the connection's end are read`() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        assertBody("hi", get())
        answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assertBody("abcde", post())
        answer("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        assertBody("", get())
        answer("HTTP/1.1 503\r\n\r\nlater", thenClose = true)
        val last = get() as RawResult.Answer
        assertEquals(503, last.status)
        assertBody("later", last)
        // All of them over one connection.
        assertEquals(setOf(1), seen.map { it.first }.toSet())
    }

    @Test
    fun `a connection that was closed meanwhile is not used again`() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        get()
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assertTrue(post() is RawResult.Answer)
        assertEquals(listOf(1, 2), seen.map { it.first })
    }

    @Test
    fun `a connection that ends instead of an answer - a question is asked again, a change is not`() {
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        get()
        answer(null)
        answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        assertTrue(get() is RawResult.Answer)
        assertEquals(listOf(1, 1, 2), seen.map { it.first })
        answer(null)
        assertTrue(post() is RawResult.NoAnswer)
        assertEquals(4, seen.size)
    }

    @Test
    fun `half an answer and nonsense are no answer`() {
        for (text in listOf("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n")) {
            answer(text, thenClose = true)
            assertTrue(post() is RawResult.NoAnswer, text)
        }
    }

    @Test
    fun `an answer that does not come in time is no answer, and no connection is told apart`() {
        assertTrue(http.callRaw("POST", to, "/x", null, 50.milliseconds) is RawResult.NoAnswer)
        // Not the server's own port: one that is just being closed may still take a connection.
        val unused = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        assertTrue(http.callRaw("GET", "127.0.0.1:$unused", "/x", null, 5.seconds) is RawResult.NotSent)
        for (wrong in listOf("nowhere", "127.0.0.1:99999", "127.0.0.1:")) {
            assertTrue(
                http
                    .callRaw("GET", wrong, "/x", null, 5.seconds) is RawResult.NotSent,
            )
        }
        assertTrue(http.callRaw("GET", to, "/x HTTP/1.1\r\nSmuggled: 1", null, 5.seconds) is RawResult.NotSent)
    }
}
