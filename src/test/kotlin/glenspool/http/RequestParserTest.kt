package glenspool.http

import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.ByteBuffer
import kotlin.random.Random

/** Requests arrive in pieces of any size. Only complete and unambiguous requests may be dispatched. */
class RequestParserTest {
    private fun bytes(text: String) = ByteBuffer.wrap(text.toByteArray(Charsets.ISO_8859_1))

    private fun parser(text: String = "") = RequestParser(MAX_BODY_BYTES).also { it.add(bytes(text)) }

    private fun Request.text(): String {
        val payload = body.payload.duplicate()
        val bytes = ByteArray(payload.remaining())
        payload.get(bytes)
        return String(bytes)
    }

    /** Parses all requests in [stream], which arrives in random pieces of up to 39 bytes. */
    private fun parseInPieces(stream: ByteArray, random: Random): List<ParsedRequest> {
        val parser = RequestParser(MAX_BODY_BYTES)
        val requests = ArrayList<ParsedRequest>()
        var position = 0
        while (position < stream.size) {
            val size = minOf(random.nextInt(1, 40), stream.size - position)
            parser.add(ByteBuffer.wrap(stream, position, size))
            position += size
            while (true) requests.add(parser.next() ?: break)
        }
        assertFalse(parser.hasInput)
        return requests
    }

    @Test
    fun `requests are parsed the same for any sizes of the pieces in which they arrive`() {
        val chunked = "5;note=1\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: 1\r\n\r\n"
        val texts =
            listOf(
                "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\nhello world",
                "GET /api/jobs/run-1?full=yes HTTP/1.1\r\nHost: x\r\n\r\n",
                "POST /api/jobs HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n$chunked",
                "POST /empty HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            )
        val stream = texts.joinToString("").toByteArray(Charsets.ISO_8859_1)
        val random = Random(7)
        repeat(200) {
            val parsed = parseInPieces(stream, random)
            val requests = parsed.map { it.request }
            assertEquals(listOf("/checkin", "/api/jobs/run-1", "/api/jobs", "/empty"), requests.map { it.uri.path })
            assertEquals(listOf("hello world", "", "hello world", ""), requests.map { it.text() })
            assertEquals(listOf(Method.POST, Method.GET, Method.POST, Method.POST), requests.map { it.method })
            assertEquals("full=yes", requests[1].uri.query)
            assertEquals(listOf(true, true, true, false), parsed.map { it.isKeepAlive })
        }
    }

    @Test
    fun `a connection of the older protocol version stays open only if the client requests it`() {
        assertEquals(false, parser("GET / HTTP/1.0\r\n\r\n").next()?.isKeepAlive)
        assertEquals(true, parser("GET / HTTP/1.0\r\nconnection: Keep-Alive\r\n\r\n").next()?.isKeepAlive)
    }

    @Test
    fun `a client that expects an interim response before it sends the body is reported until one is sent`() {
        val parser = parser("POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assertNull(parser.next())
        assertTrue(parser.isAwaitingContinue)
        parser.markContinueSent()
        assertNull(parser.next())
        assertFalse(parser.isAwaitingContinue)
        parser.add(bytes("ok"))
        assertEquals("ok", parser.next()?.request?.text())
    }

    @Test
    fun `malformed and ambiguous requests are rejected with the matching status`() {
        val excessiveLength = MAX_BODY_BYTES + 1
        val expectedStatuses =
            mapOf(
                "nonsense\r\n\r\n" to 400,
                "GET / HTTP/2.0\r\n\r\n" to 400,
                "JUGGLE / HTTP/1.1\r\n\r\n" to 501,
                "GET / HTTP/1.1\r\nno colon\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" to 501,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: $excessiveLength\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n${excessiveLength.toString(16)}\r\n" to 400,
                "GET / HTTP/1.1\r\nX: ${"y".repeat(17_000)}" to 431,
            )
        for ((text, status) in expectedStatuses) {
            val excerpt = text.take(60)
            val exception = assertThrows(BadMessage::class.java, { parser(text).next() }, excerpt)
            assertEquals(status, exception.status, excerpt)
        }
    }
}
