package glenspool.http

import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.LinkedBlockingQueue
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Tests the client with a server that sends given bytes, which may be invalid. */
class HttpClientTest {
    /**
     * How the server handles a request. It sends [text] and then closes the connection if [closesConnection] is set. If
     * [text] is null, it closes the connection without a response.
     */
    private class ServerAction(val text: String?, val closesConnection: Boolean)

    /** A request that the server has received, and the number of its connection. */
    private class ReceivedRequest(val connection: Int, val requestLine: String)

    private val serverActions = LinkedBlockingQueue<ServerAction>()
    private val receivedRequests = LinkedBlockingQueue<ReceivedRequest>()
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val address = "127.0.0.1:${server.localPort}"
    private val http = HttpClient(2.seconds)

    init {
        thread(isDaemon = true) { acceptConnections() }
    }

    private fun acceptConnections() {
        var number = 0
        while (!server.isClosed) {
            val socket =
                try {
                    server.accept()
                } catch (e: SocketException) {
                    // The test has ended and has closed the server socket.
                    break
                }
            val connection = ++number
            thread(isDaemon = true) { socket.use { serve(it, connection) } }
        }
    }

    private fun serve(socket: Socket, connection: Int) {
        val input = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        while (true) {
            val requestLine = input.readLine() ?: return
            val fields = generateSequence { input.readLine().takeIf { it.isNotEmpty() } }.toList()
            val length = fields.firstOrNull { it.startsWith("Content-Length: ") }?.substringAfter(": ")?.toInt() ?: 0
            repeat(length) { input.read() }
            receivedRequests.add(ReceivedRequest(connection, requestLine))
            val serverAction = serverActions.take()
            if (serverAction.text == null) return
            socket.getOutputStream().write(serverAction.text.toByteArray(Charsets.ISO_8859_1))
            if (serverAction.closesConnection) return
        }
    }

    @AfterEach
    fun close() = server.close()

    private fun enqueueResponse(text: String, thenClose: Boolean = false) =
        serverActions.add(ServerAction(text, thenClose))

    private fun enqueueConnectionEnd() = serverActions.add(ServerAction(null, closesConnection = true))

    private fun get() = http.callRaw("GET", address, "/x", null, 5.seconds)

    private fun post() = http.callRaw("POST", address, "/x", byteArrayOf(1, 2, 3), 5.seconds)

    private fun assertBody(text: String, result: RawResult) =
        assertArrayEquals(text.toByteArray(), (result as RawResult.Response).body)

    @Test
    fun `reads bodies with a length, in chunks, after an interim response and up to the end of the connection`() {
        enqueueResponse(text = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        assertBody("hi", get())
        enqueueResponse(text = CHUNKED_HEAD + "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assertBody("abcde", post())
        enqueueResponse(text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n")
        assertBody("", get())
        enqueueResponse(text = "HTTP/1.1 503\r\n\r\nlater", thenClose = true)
        val lastResponse = get() as RawResult.Response
        assertEquals(503, lastResponse.status)
        assertBody("later", lastResponse)
        // All requests used one connection.
        assertEquals(setOf(1), receivedRequests.map { it.connection }.toSet())
    }

    @Test
    fun `a connection is not reused if the server announces that it closes it`() {
        enqueueResponse(text = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
        get()
        enqueueResponse(text = EMPTY_RESPONSE)
        assertTrue(post() is RawResult.Response)
        assertEquals(listOf(1, 2), receivedRequests.map { it.connection })
    }

    @Test
    fun `when a reused connection ends without a response, a GET is repeated and a POST is not`() {
        enqueueResponse(text = EMPTY_RESPONSE)
        get()
        enqueueConnectionEnd()
        enqueueResponse(text = EMPTY_RESPONSE)
        assertTrue(get() is RawResult.Response)
        assertEquals(listOf(1, 1, 2), receivedRequests.map { it.connection })
        enqueueConnectionEnd()
        assertTrue(post() is RawResult.NoResponse)
        assertEquals(4, receivedRequests.size)
    }

    @Test
    fun `incomplete and malformed responses are reported as no response`() {
        val unusable =
            listOf(
                "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
                "nonsense\r\n\r\n",
                "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n",
            )
        for (text in unusable) {
            enqueueResponse(text = text, thenClose = true)
            assertTrue(post() is RawResult.NoResponse, text)
        }
    }

    @Test
    fun `a response that does not arrive before the timeout is reported as no response`() {
        assertTrue(http.callRaw("POST", address, "/x", null, 50.milliseconds) is RawResult.NoResponse)
    }

    @Test
    fun `a request is not sent if the server is unreachable or the address or the path is invalid`() {
        // The test server's port is not used, because a port that is being closed may still accept a connection.
        val unusedPort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        for (unreachable in listOf("127.0.0.1:$unusedPort", "nowhere", "127.0.0.1:99999", "127.0.0.1:")) {
            val result = http.callRaw("GET", unreachable, "/x", null, 5.seconds)
            assertTrue(result is RawResult.NotSent, unreachable)
        }
        val pathWithLineBreak = "/x HTTP/1.1\r\nSmuggled: 1"
        assertTrue(http.callRaw("GET", address, pathWithLineBreak, null, 5.seconds) is RawResult.NotSent)
    }

    private companion object {
        const val CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        const val EMPTY_RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
    }
}
