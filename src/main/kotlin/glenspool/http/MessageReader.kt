package glenspool.http

import java.io.ByteArrayOutputStream
import java.nio.ByteBuffer

/** Bytes that are no HTTP message, or one that is not taken here. [status]: what a client that sent it is answered. */
class BadMessage(val status: Int, message: String) : Exception(message)

/** The header fields of a message, in their order. */
class HeaderFields(val all: List<Pair<String, String>>) {
    operator fun get(name: String): String? = all.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    val chunked: Boolean
        get() {
            val encoding = this["Transfer-Encoding"] ?: return false
            if (!encoding.equals("chunked", ignoreCase = true)) throw BadMessage(NOT_IMPLEMENTED, "unknown transfer encoding")
            return true
        }

    /** Null: the message does not say. Two lengths that differ make it unclear where the next message begins. */
    val contentLength: Int?
        get() {
            val lengths =
                all
                    .filter { it.first.equals("Content-Length", ignoreCase = true) }
                    .map { it.second }
                    .distinct()
            if (lengths.isEmpty()) return null
            val length = lengths.singleOrNull()?.toLongOrNull()
            if (length == null || length < 0) throw BadMessage(BAD_REQUEST, "Content-Length: a whole number is needed")
            return length.coerceAtMost(Int.MAX_VALUE.toLong() / 2).toInt()
        }

    /** Whether the connection stays open after a message of version 1.1, or of 1.0 if not [persistent]. */
    fun keepAlive(persistent: Boolean): Boolean =
        this["Connection"].let {
            if (persistent) {
                !it.equals("close", ignoreCase = true)
            } else {
                it
                    .equals("keep-alive", ignoreCase = true)
            }
        }

    companion object {
        const val BAD_REQUEST = 400
        const val HEAD_TOO_LARGE = 431
        const val NOT_IMPLEMENTED = 501
    }
}

/**
 * The parts of the start line, two or three, and the header fields. [end]: where the body begins in the reader's
 * buffer.
 */
class MessageHead(val startLine: List<String>, val fields: HeaderFields, val end: Int) {
    /** Whether [version] is 1.1, whose connections stay open unless somebody says otherwise. */
    fun persistent(version: String): Boolean =
        when (version) {
            "HTTP/1.1" -> true
            "HTTP/1.0" -> false
            else -> throw BadMessage(HeaderFields.BAD_REQUEST, "unknown version")
        }
}

/** A body, and where it ends in the reader's buffer. */
class BodyBytes(val bytes: ByteArray, val end: Int)

/** Reads HTTP messages from bytes as they arrive, in whatever pieces. It is told of each piece by [add]. */
class MessageReader(private val maxBody: Int) {
    private var buffer = ByteArray(INITIAL_BUFFER)
    private var length = 0

    /** Where the search for the end of the head goes on. */
    private var scanned = 0

    /** Whether part of a message has arrived. */
    val started: Boolean get() = length > 0

    /** How many bytes are held. */
    val size: Int get() = length

    fun add(bytes: ByteBuffer) {
        val more = bytes.remaining()
        if (length + more > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, length + more))
        bytes.get(buffer, length, more)
        length += more
    }

    /** Null: not all of it is here. */
    fun head(): MessageHead? {
        val end = endOfHead()
        if (end < 0) {
            if (length > MAX_HEAD) throw BadMessage(HeaderFields.HEAD_TOO_LARGE, "the header is too long")
            return null
        }
        val lines = String(buffer, 0, end, Charsets.ISO_8859_1).split(LINE_END)
        val start = lines[0].split(' ', limit = START_LINE_PARTS)
        if (start.size < 2) throw BadMessage(HeaderFields.BAD_REQUEST, "no start line")
        return MessageHead(start, HeaderFields(lines.drop(1).filter { it.isNotEmpty() }.map(::field)), end)
    }

    private fun endOfHead(): Int {
        var i = scanned
        while (i + END_OF_HEAD.size <= length) {
            if (buffer[i] == END_OF_HEAD[0] &&
                END_OF_HEAD.indices.all { buffer[i + it] == END_OF_HEAD[it] }
            ) {
                return i + END_OF_HEAD.size
            }
            i++
        }
        scanned = i
        return -1
    }

    private fun field(line: String): Pair<String, String> {
        val colon = line.indexOf(':')
        if (colon <= 0) throw BadMessage(HeaderFields.BAD_REQUEST, "no header field")
        return line.substring(0, colon) to line.substring(colon + 1).trim()
    }

    /** Null: not all of it is here. */
    fun chunkedBody(head: MessageHead): BodyBytes? = ChunkedBody(buffer, head.end, length, maxBody).read()

    /** Null: not all of it is here. */
    fun body(head: MessageHead, size: Int): BodyBytes? {
        if (size > maxBody) throw BadMessage(HeaderFields.BAD_REQUEST, "the body is too long")
        val end = head.end + size
        return if (length < end) null else BodyBytes(buffer.copyOfRange(head.end, end), end)
    }

    /** All that has come after the head: the body of a message that ends with its connection. */
    fun bodyToEnd(head: MessageHead): BodyBytes {
        if (length - head.end > maxBody) throw BadMessage(HeaderFields.BAD_REQUEST, "the body is too long")
        return BodyBytes(buffer.copyOfRange(head.end, length), length)
    }

    /** The message up to [end] is done with. */
    fun consume(end: Int) {
        System.arraycopy(buffer, end, buffer, 0, length - end)
        length -= end
        scanned = 0
        if (length == 0 && buffer.size > INITIAL_BUFFER) buffer = ByteArray(INITIAL_BUFFER)
    }

    private companion object {
        const val INITIAL_BUFFER = 1024
        const val MAX_HEAD = 16 * 1024
        const val START_LINE_PARTS = 3
        const val LINE_END = "\r\n"
        val END_OF_HEAD = "\r\n\r\n".toByteArray()
    }
}

/** A body in chunks, which lies in [buffer] between [start] and [limit] as far as it has arrived. */
private class ChunkedBody(private val buffer: ByteArray, start: Int, private val limit: Int, private val maxBody: Int) {
    private var at = start

    /** Null: not all of it is here. */
    fun read(): BodyBytes? {
        val body = ByteArrayOutputStream()
        while (true) {
            val size = chunkSize(line() ?: return null)
            if (size == 0) return if (skipTrailers()) BodyBytes(body.toByteArray(), at) else null
            if (body.size() + size > maxBody) throw BadMessage(HeaderFields.BAD_REQUEST, "the body is too long")
            if (at + size + LINE_END > limit) return null
            body.write(buffer, at, size)
            at += size + LINE_END
        }
    }

    private fun chunkSize(line: String): Int {
        val size = line.substringBefore(';').trim().toIntOrNull(HEXADECIMAL)
        if (size == null || size < 0) throw BadMessage(HeaderFields.BAD_REQUEST, "no chunk size")
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
