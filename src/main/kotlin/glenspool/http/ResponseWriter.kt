package glenspool.http

import org.http4k.core.Response
import java.nio.ByteBuffer
import java.time.Clock
import java.time.LocalDateTime
import java.time.ZoneOffset

/** Turns responses into bytes. One object serves one thread at a time. */
class ResponseWriter(private val clock: Clock = Clock.systemUTC()) {
    private var dateSecond = Long.MIN_VALUE
    private var dateText = ""

    /** [withBody]: false for an answer to HEAD, which has the header alone. */
    @Synchronized
    fun write(response: Response, keepAlive: Boolean, withBody: Boolean): ByteBuffer {
        val body = response.body.payload
        val head = StringBuilder(HEAD_SIZE)
        head
            .append("HTTP/1.1 ")
            .append(response.status.code)
            .append(' ')
            .append(response.status.description)
            .append(LINE_END)
        for ((name, value) in response.headers) {
            if (!name.equals("Content-Length", true)) {
                head
                    .append(name)
                    .append(": ")
                    .append(value)
                    .append(LINE_END)
            }
        }
        head.append("Date: ").append(date()).append(LINE_END)
        if (!keepAlive && response.header("Connection") == null) head.append("Connection: close").append(LINE_END)
        head
            .append("Content-Length: ")
            .append(body.remaining())
            .append(LINE_END)
            .append(LINE_END)
        val headBytes = head.toString().toByteArray(Charsets.ISO_8859_1)
        val out = ByteBuffer.allocate(headBytes.size + if (withBody) body.remaining() else 0)
        out.put(headBytes)
        if (withBody) out.put(body.duplicate())
        return out.flip()
    }

    /**
     * The time of day as HTTP writes it. The JDK's formatter would load two hundred classes for it before the first
     * answer.
     */
    private fun date(): String {
        val second = clock.millis() / MILLIS
        if (second != dateSecond) {
            dateSecond = second
            dateText = format(LocalDateTime.ofEpochSecond(second, 0, ZoneOffset.UTC))
        }
        return dateText
    }

    private fun format(t: LocalDateTime): String =
        "${DAYS[t.dayOfWeek.value - 1]}, ${two(t.dayOfMonth)} ${MONTHS[t.monthValue - 1]} ${t.year} ${two(t.hour)}:${two(t.minute)}:${two(t.second)} GMT"

    private fun two(n: Int): String = if (n < TEN) "0$n" else "$n"

    private companion object {
        const val LINE_END = "\r\n"
        const val HEAD_SIZE = 160
        const val MILLIS = 1000L
        const val TEN = 10
        val DAYS = listOf("Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun")
        val MONTHS = listOf("Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec")
    }
}
