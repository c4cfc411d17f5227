package glenspool.http

import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.core.Uri
import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer
import java.time.Clock
import java.time.LocalDateTime
import java.time.ZoneOffset

/** Bytes that are no HTTP request which this server takes; it is answered with [status] and the connection closed. */
class BadRequest(val status: Status, message: String) : Exception(message)

/** A request as it was read, and whether its connection stays open once it is answered. */
class ParsedRequest(val request: Request, val keepAlive: Boolean)

/**
 * Reads HTTP/1.1 requests from bytes as they arrive, in whatever pieces. Bodies come with a length or in chunks.
 * It is told of each piece by [add] and asked for a whole request by [next].
 */
class RequestParser(private val maxBody: Int) {
    private var buffer = ByteArray(INITIAL_BUFFER)
    private var length = 0

    /** Where the search for the end of the head goes on. */
    private var scanned = 0
    private var head: Head? = null

    /** Whether part of a request has arrived. */
    val started: Boolean get() = length > 0

    /** The client waits for word that it may send the body. */
    var awaitsContinue = false
        private set

    fun add(bytes: ByteBuffer) {
        val more = bytes.remaining()
        if (length + more > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, length + more))
        bytes.get(buffer, length, more)
        length += more
    }

    /** The next request, once all of it is here. */
    fun next(): ParsedRequest? {
        val h = head ?: readHead()?.also { head = it } ?: return null
        val body = if (h.chunked) ChunkedBody(buffer, h.end, length, maxBody).read() else plainBody(h)
        awaitsContinue = body == null && h.expectsContinue
        if (body == null) return null
        consume(body.end)
        head = null
        return ParsedRequest(request(h, body.bytes), h.keepAlive)
    }

    /** The client was told to go on; it is told once. */
    fun continued() {
        head = head?.copy(expectsContinue = false)
        awaitsContinue = false
    }

    private fun request(h: Head, body: ByteArray): Request {
        val path = h.target.substringBefore('?')
        // Not by `Uri.of`, whose regular expression costs more than all the rest of the parsing.
        val uri = Uri("", "", "", null, path, h.target.substringAfter('?', ""), "")
        return Request(h.method, uri).headers(h.fields).body(Body(ByteBuffer.wrap(body)))
    }

    private fun plainBody(h: Head): BodyBytes? {
        if (h.contentLength > maxBody) throw BadRequest(Status.BAD_REQUEST, "the body is too long")
        val end = h.end + h.contentLength
        return if (length < end) null else BodyBytes(buffer.copyOfRange(h.end, end), end)
    }

    private fun consume(end: Int) {
        System.arraycopy(buffer, end, buffer, 0, length - end)
        length -= end
        scanned = 0
        if (length == 0 && buffer.size > INITIAL_BUFFER) buffer = ByteArray(INITIAL_BUFFER)
    }

    private fun readHead(): Head? {
        val end = endOfHead()
        if (end < 0) {
            if (length > MAX_HEAD) throw BadRequest(Status.REQUEST_HEADER_FIELDS_TOO_LARGE, "the header is too long")
            return null
        }
        return parseHead(String(buffer, 0, end, Charsets.ISO_8859_1), end)
    }

    private fun endOfHead(): Int {
        var i = scanned
        while (i + END_OF_HEAD.size <= length) {
            if (buffer[i] == END_OF_HEAD[0] && END_OF_HEAD.indices.all { buffer[i + it] == END_OF_HEAD[it] }) return i + END_OF_HEAD.size
            i++
        }
        scanned = i
        return -1
    }

    private fun parseHead(text: String, end: Int): Head {
        val lines = text.split("\r\n")
        val start = lines[0].split(' ')
        if (start.size != REQUEST_LINE_PARTS) throw BadRequest(Status.BAD_REQUEST, "no request line")
        val method = Method.values().firstOrNull { it.name == start[0] } ?: throw BadRequest(Status.NOT_IMPLEMENTED, "unknown method")
        val fields = lines.drop(1).filter { it.isNotEmpty() }.map(::field)
        return Head(method, start[1], version(start[2]), fields, end)
    }

    /** Whether the version is 1.1, whose connections stay open unless somebody says otherwise. */
    private fun version(text: String): Boolean = when (text) {
        "HTTP/1.1" -> true
        "HTTP/1.0" -> false
        else -> throw BadRequest(Status.BAD_REQUEST, "unknown version")
    }

    private fun field(line: String): Pair<String, String> {
        val colon = line.indexOf(':')
        if (colon <= 0) throw BadRequest(Status.BAD_REQUEST, "no header field")
        return line.substring(0, colon) to line.substring(colon + 1).trim()
    }

    private data class Head(
        val method: Method,
        val target: String,
        val persistent: Boolean,
        val fields: List<Pair<String, String>>,
        val end: Int,
        val expectsContinue: Boolean = fields.any { it.first.equals("Expect", true) && it.second.equals("100-continue", true) },
    ) {
        val chunked = value("Transfer-Encoding")?.let {
            if (!it.equals("chunked", true)) throw BadRequest(Status.NOT_IMPLEMENTED, "unknown transfer encoding")
            true
        } ?: false
        val contentLength = if (chunked) 0 else length()
        val keepAlive = value("Connection").let { if (persistent) !it.equals("close", true) else it.equals("keep-alive", true) }

        private fun value(name: String) = fields.firstOrNull { it.first.equals(name, true) }?.second

        /** Two lengths that differ make it unclear where the next request begins. */
        private fun length(): Int {
            val all = fields.filter { it.first.equals("Content-Length", true) }.map { it.second }.distinct()
            if (all.isEmpty()) return 0
            val length = all.singleOrNull()?.toLongOrNull()
            if (length == null || length < 0) throw BadRequest(Status.BAD_REQUEST, "Content-Length: a whole number is needed")
            return length.coerceAtMost(Int.MAX_VALUE.toLong() / 2).toInt()
        }
    }

    private companion object {
        const val INITIAL_BUFFER = 1024
        const val MAX_HEAD = 16 * 1024
        const val REQUEST_LINE_PARTS = 3
        val END_OF_HEAD = "\r\n\r\n".toByteArray()
    }
}

/** A body, and where it ends in the buffer. */
private class BodyBytes(val bytes: ByteArray, val end: Int)

/** A body in chunks, which lies in [buffer] between [start] and [limit] as far as it has arrived. */
private class ChunkedBody(private val buffer: ByteArray, start: Int, private val limit: Int, private val maxBody: Int) {
    private var at = start

    /** Null: not all of it is here. */
    fun read(): BodyBytes? {
        val body = ByteArrayOutputStream()
        while (true) {
            val size = chunkSize(line() ?: return null)
            if (size == 0) return if (skipTrailers()) BodyBytes(body.toByteArray(), at) else null
            if (body.size() + size > maxBody) throw BadRequest(Status.BAD_REQUEST, "the body is too long")
            if (at + size + LINE_END > limit) return null
            body.write(buffer, at, size)
            at += size + LINE_END
        }
    }

    private fun chunkSize(line: String): Int {
        val size = line.substringBefore(';').trim().toIntOrNull(HEXADECIMAL)
        if (size == null || size < 0) throw BadRequest(Status.BAD_REQUEST, "no chunk size")
        return size
    }

    private fun skipTrailers(): Boolean {
        while (true) if ((line() ?: return false).isEmpty()) return true
    }

    private fun line(): String? {
        for (i in at until limit - 1) {
            if (buffer[i] != CARRIAGE_RETURN || buffer[i + 1] != LINE_FEED) continue
            return String(buffer, at, i - at, Charsets.ISO_8859_1).also { at = i + LINE_END }
        }
        return null
    }

    private companion object {
        const val LINE_END = 2
        const val HEXADECIMAL = 16
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
    }
}

/** Turns responses into bytes. One object serves one thread at a time. */
class ResponseWriter(private val clock: Clock = Clock.systemUTC()) {
    private var dateSecond = Long.MIN_VALUE
    private var dateText = ""

    /** [withBody]: false for an answer to HEAD, which has the header alone. */
    @Synchronized
    fun write(response: Response, keepAlive: Boolean, withBody: Boolean): ByteBuffer {
        val body = response.body.payload
        val head = StringBuilder(HEAD_SIZE)
        head.append("HTTP/1.1 ").append(response.status.code).append(' ').append(response.status.description).append(LINE_END)
        for ((name, value) in response.headers) if (!name.equals("Content-Length", true)) head.append(name).append(": ").append(value).append(LINE_END)
        head.append("Date: ").append(date()).append(LINE_END)
        if (!keepAlive && response.header("Connection") == null) head.append("Connection: close").append(LINE_END)
        head.append("Content-Length: ").append(body.remaining()).append(LINE_END).append(LINE_END)
        val headBytes = head.toString().toByteArray(Charsets.ISO_8859_1)
        val out = ByteBuffer.allocate(headBytes.size + if (withBody) body.remaining() else 0)
        out.put(headBytes)
        if (withBody) out.put(body.duplicate())
        return out.flip()
    }

    /** The time of day as HTTP writes it. The JDK's formatter would load two hundred classes for it before the first answer. */
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
