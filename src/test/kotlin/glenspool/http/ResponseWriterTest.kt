package glenspool.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.ByteBuffer
import java.time.Clock
import java.time.Instant
import java.time.ZoneId
import java.time.ZoneOffset
import java.time.format.DateTimeFormatter

class ResponseWriterTest {
    private var now = Instant.EPOCH
    private val clock =
        object : Clock() {
            override fun getZone(): ZoneId = ZoneOffset.UTC

            override fun withZone(zone: ZoneId): Clock = this

            override fun instant(): Instant = now
        }
    private val writer = ResponseWriter(clock)

    private fun text(bytes: ByteBuffer) = String(bytes.array(), 0, bytes.limit(), Charsets.ISO_8859_1)

    @Test
    fun `an answer has its length, its header fields and whether the connection stays`() {
        now = Instant.parse("2026-02-03T04:05:06Z")
        val response = Response(Status.SERVICE_UNAVAILABLE).header("Retry-After", "1").body("later")
        val head = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nDate: Tue, 03 Feb 2026 04:05:06 GMT\r\n"
        assertEquals(
            "${head}Content-Length: 5\r\n\r\nlater",
            text(
                writer
                    .write(response, keepAlive = true, withBody = true),
            ),
        )
        assertEquals(
            "${head}Connection: close\r\nContent-Length: 5\r\n\r\n",
            text(
                writer
                    .write(response, keepAlive = false, withBody = false),
            ),
        )
    }

    /** The JDK's formatter is the plain model. It writes days without a leading zero, which HTTP wants. */
    @Test
    fun `the date is that of the JDK's formatter`() {
        for (day in 0L..800L) {
            now = Instant.ofEpochSecond(1_700_000_000 + day * 86_400 + day * 3_599)
            val date =
                text(writer.write(Response(Status.OK), keepAlive = true, withBody = true))
                    .lines()
                    .first { it.startsWith("Date: ") }
                    .removePrefix("Date: ")
            val model = DateTimeFormatter.RFC_1123_DATE_TIME.format(now.atOffset(ZoneOffset.UTC))
            assertEquals(model.replace(Regex(", (\\d) "), ", 0$1 "), date)
        }
    }
}
