package glenspool.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
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

    private fun write(response: Response, keepAlive: Boolean, withBody: Boolean): String {
        val bytes = writer.write(response, keepAlive, withBody)
        return String(bytes.array(), 0, bytes.limit(), Charsets.ISO_8859_1)
    }

    @Test
    fun `a response contains its header fields, its length and whether the connection is closed`() {
        now = Instant.parse("2026-02-03T04:05:06Z")
        val response = Response(Status.SERVICE_UNAVAILABLE).header("Retry-After", "1").body("later")
        val head = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nDate: Tue, 03 Feb 2026 04:05:06 GMT\r\n"
        assertEquals(
            "${head}Content-Length: 5\r\n\r\nlater",
            write(response, keepAlive = true, withBody = true),
        )
        assertEquals(
            "${head}Connection: close\r\nContent-Length: 5\r\n\r\n",
            write(response, keepAlive = false, withBody = false),
        )
    }

    /** The JDK's formatter writes days without the leading zero that HTTP requires, so the test adds the zero. */
    @Test
    fun `the date equals that of the JDK's formatter`() {
        for (day in 0L..800L) {
            now = Instant.ofEpochSecond(1_700_000_000 + day * 86_400 + day * 3_599)
            val response = write(Response(Status.OK), keepAlive = true, withBody = true)
            val date = response.lines().first { it.startsWith("Date: ") }.removePrefix("Date: ")
            val jdkDate = DateTimeFormatter.RFC_1123_DATE_TIME.format(now.atOffset(ZoneOffset.UTC))
            assertEquals(jdkDate.replace(Regex(", (\\d) "), ", 0$1 "), date)
        }
    }
}
