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

/** Requests arrive in pieces of any size; nothing but a whole and clear one may be handed on. */
class RequestParserTest {
    private fun bytes(text: String) = ByteBuffer.wrap(text.toByteArray(Charsets.ISO_8859_1))

    private fun parser(text: String = "") = RequestParser(MAX_BODY).also { it.add(bytes(text)) }

    private fun Request.text() =
        String(
            body.payload.let { b ->
                ByteArray(b.remaining()).also { b.duplicate().get(it) }
            },
        )

    @Test
    fun `a request is the same however it is cut into pieces`() {
        val requests =
            listOf(
                "POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: 11\r\n\r\nhello world",
                "GET /api/jobs/run-1?full=yes HTTP/1.1\r\nHost: x\r\n\r\n",
                "POST /api/jobs HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n5;note=1\r\nhello\r\n6\r\n world\r\n0\r\nTrailer: 1\r\n\r\n",
                "POST /empty HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            )
        val stream = requests.joinToString("").toByteArray(Charsets.ISO_8859_1)
        val random = Random(7)
        repeat(200) {
            val parser = RequestParser(MAX_BODY)
            val found = ArrayList<ParsedRequest>()
            var at = 0
            while (at < stream.size) {
                val size = minOf(random.nextInt(1, 40), stream.size - at)
                parser.add(ByteBuffer.wrap(stream, at, size))
                at += size
                while (true) found.add(parser.next() ?: break)
            }
            assertEquals(
                listOf("/checkin", "/api/jobs/run-1", "/api/jobs", "/empty"),
                found.map {
                    it.request.uri.path
                },
            )
            assertEquals(listOf("hello world", "", "hello world", ""), found.map { it.request.text() })
            assertEquals(listOf(Method.POST, Method.GET, Method.POST, Method.POST), found.map { it.request.method })
            assertEquals("full=yes", found[1].request.uri.query)
            assertEquals(listOf(true, true, true, false), found.map { it.keepAlive })
            assertFalse(parser.started)
        }
    }

    @Test
    fun `an older client's connection stays open only if it asks for that`() {
        assertEquals(false, parser("GET / HTTP/1.0\r\n\r\n").next()?.keepAlive)
        assertEquals(true, parser("GET / HTTP/1.0\r\nconnection: Keep-Alive\r\n\r\n").next()?.keepAlive)
    }

    @Test
    fun `a client that waits before it sends the body is told once to go on`() {
        val parser = parser("POST / HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assertNull(parser.next())
        assertTrue(parser.awaitsContinue)
        parser.continued()
        assertNull(parser.next())
        assertFalse(parser.awaitsContinue)
        parser.add(bytes("ok"))
        assertEquals("ok", parser.next()?.request?.text())
    }

    @Test
    fun `what is no request, or unclear, is refused`() {
        val refused =
            mapOf(
                "nonsense\r\n\r\n" to 400,
                "GET / HTTP/2.0\r\n\r\n" to 400,
                "JUGGLE / HTTP/1.1\r\n\r\n" to 501,
                "GET / HTTP/1.1\r\nno colon\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n" to 501,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n" to 400,
                "POST / HTTP/1.1\r\nContent-Length: ${MAX_BODY + 1}\r\n\r\n" to 400,
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n${(MAX_BODY + 1).toString(16)}\r\n" to 400,
                "GET / HTTP/1.1\r\nX: ${"y".repeat(17_000)}" to 431,
            )
        for ((text, status) in refused) {
            assertEquals(
                status,
                assertThrows(BadMessage::class.java, {
                    parser(text).next()
                }, text.take(60)).status,
                text
                    .take(60),
            )
        }
    }
}
