package glenspool.http

import org.http4k.core.Response
import java.nio.ByteBuffer
import java.time.Clock
import java.time.LocalDateTime
import java.time.ZoneOffset

/** Encodes responses. Thread-safe. */
class ResponseWriter(private val clock: Clock = Clock.systemUTC()) {
    private var cachedSecond = Long.MIN_VALUE
    private var cachedDate = ""

    /** Encodes [response]. [withBody]: false for the response to a HEAD request, which has only the header. */
    @Synchronized
    fun write(response: Response, keepAlive: Boolean, withBody: Boolean): ByteBuffer {
        val body = response.body.payload
        val head = head(response, keepAlive, body.remaining()).toByteArray(Charsets.ISO_8859_1)
        val bytes = ByteBuffer.allocate(head.size + if (withBody) body.remaining() else 0)
        bytes.put(head)
        if (withBody) bytes.put(body.duplicate())
        return bytes.flip()
    }

    private fun head(response: Response, keepAlive: Boolean, contentLength: Int): String {
        val head = StringBuilder(HEAD_CAPACITY)
        val status = response.status
        head.append("HTTP/1.1 ").append(status.code).append(' ').append(status.description).append(LINE_END)
        for ((name, value) in response.headers) {
            if (name.equals("Content-Length", true)) continue
            head.append(name).append(": ").append(value).append(LINE_END)
        }
        head.append("Date: ").append(date()).append(LINE_END)
        if (!keepAlive && response.header("Connection") == null) head.append("Connection: close").append(LINE_END)
        head.append("Content-Length: ").append(contentLength).append(LINE_END).append(LINE_END)
        return head.toString()
    }

    /**
     * Returns the current time in HTTP's format, which is formatted once a second. The JDK's formatter is not used
     * because it would load two hundred classes before the first response.
     */
    private fun date(): String {
        val second = clock.millis() / MILLIS_PER_SECOND
        if (second != cachedSecond) {
            cachedSecond = second
            cachedDate = format(LocalDateTime.ofEpochSecond(second, 0, ZoneOffset.UTC))
        }
        return cachedDate
    }

    private fun format(time: LocalDateTime): String {
        val date = "${twoDigits(time.dayOfMonth)} ${MONTHS[time.monthValue - 1]} ${time.year}"
        val timeOfDay = "${twoDigits(time.hour)}:${twoDigits(time.minute)}:${twoDigits(time.second)}"
        return "${DAYS[time.dayOfWeek.value - 1]}, $date $timeOfDay GMT"
    }

    private fun twoDigits(number: Int): String = if (number <= MAX_SINGLE_DIGIT) "0$number" else "$number"

    private companion object {
        const val LINE_END = "\r\n"
        const val HEAD_CAPACITY = 160
        const val MILLIS_PER_SECOND = 1000L
        const val MAX_SINGLE_DIGIT = 9
        val DAYS = listOf("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
        val MONTHS = listOf("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec")
    }
}
