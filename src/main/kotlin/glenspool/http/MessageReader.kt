package glenspool.http

import java.nio.ByteBuffer

/** A body. [end]: the position after the encoded body in the reader's buffer. */
class BodyBytes(val bytes: ByteArray, val end: Int)

/**
 * Buffers the bytes of a connection as they arrive, and parses heads and bodies of HTTP messages from them. Bytes stay
 * in the buffer until [consume] removes them. Functions throw [BadMessage] if the bytes are not a message, the head has
 * more than 16 KiB or a body has more than [maxBodyBytes] bytes. Not thread-safe.
 */
class MessageReader(private val maxBodyBytes: Int) {
    private var buffer = ByteArray(INITIAL_BUFFER_BYTES)

    /** The position at which the search for the end of the head continues. */
    private var scanPosition = 0

    var bufferedBytes = 0
        private set

    val hasInput: Boolean get() = bufferedBytes > 0

    /** Appends bytes that were read from the connection. */
    fun add(bytes: ByteBuffer) {
        val count = bytes.remaining()
        if (bufferedBytes + count > buffer.size) buffer = buffer.copyOf(maxOf(buffer.size * 2, bufferedBytes + count))
        bytes.get(buffer, bufferedBytes, count)
        bufferedBytes += count
    }

    /** Returns the head of the message at the start of the buffer, or null if part of it has not arrived. */
    fun parseHead(): MessageHead? {
        val end = endOfHead()
        if (end < 0) {
            if (bufferedBytes > MAX_HEAD_BYTES) throw BadMessage(BadMessage.HEAD_TOO_LARGE, "the header is too long")
            return null
        }
        val lines = String(buffer, 0, end, Charsets.ISO_8859_1).split(LINE_END)
        val startLine = lines[0].split(' ', limit = MAX_START_LINE_PARTS)
        if (startLine.size < 2) throw BadMessage(BadMessage.BAD_REQUEST, "invalid start line")
        val fields = lines.drop(1).filter { it.isNotEmpty() }.map(::parseField)
        return MessageHead(startLine, HeaderFields(fields), end)
    }

    /** Returns the position after the empty line that ends the head, or -1 if that line has not arrived. */
    private fun endOfHead(): Int {
        var position = scanPosition
        while (position + END_OF_HEAD.size <= bufferedBytes) {
            if (isEndOfHeadAt(position)) return position + END_OF_HEAD.size
            position++
        }
        scanPosition = position
        return -1
    }

    private fun isEndOfHeadAt(position: Int): Boolean =
        buffer[position] == END_OF_HEAD[0] && END_OF_HEAD.indices.all { buffer[position + it] == END_OF_HEAD[it] }

    private fun parseField(line: String): Pair<String, String> {
        val colon = line.indexOf(':')
        if (colon <= 0) throw BadMessage(BadMessage.BAD_REQUEST, "header field without a name or a colon")
        return line.substring(0, colon) to line.substring(colon + 1).trim()
    }

    /** Returns the decoded body of a message with chunks, or null if part of it has not arrived. */
    fun parseChunkedBody(head: MessageHead): BodyBytes? =
        ChunkedBodyDecoder(buffer, head.end, bufferedBytes, maxBodyBytes).decode()

    /** Returns a body of [length] bytes, or null if part of it has not arrived. */
    fun parseBody(head: MessageHead, length: Int): BodyBytes? {
        if (length > maxBodyBytes) throw bodyTooLong()
        val end = head.end + length
        return if (bufferedBytes < end) null else BodyBytes(buffer.copyOfRange(head.end, end), end)
    }

    /** Returns all bytes after the head, which are the body of a message that ends with its connection. */
    fun parseBodyToEnd(head: MessageHead): BodyBytes {
        if (bufferedBytes - head.end > maxBodyBytes) throw bodyTooLong()
        return BodyBytes(buffer.copyOfRange(head.end, bufferedBytes), bufferedBytes)
    }

    private fun bodyTooLong() = BadMessage(BadMessage.BAD_REQUEST, "the body is too long")

    /** Removes the bytes up to the position [end] from the buffer. */
    fun consume(end: Int) {
        System.arraycopy(buffer, end, buffer, 0, bufferedBytes - end)
        bufferedBytes -= end
        scanPosition = 0
        if (bufferedBytes == 0 && buffer.size > INITIAL_BUFFER_BYTES) buffer = ByteArray(INITIAL_BUFFER_BYTES)
    }

    private companion object {
        const val INITIAL_BUFFER_BYTES = 1024
        const val MAX_HEAD_BYTES = 16 * 1024
        const val MAX_START_LINE_PARTS = 3
        const val LINE_END = "\r\n"
        val END_OF_HEAD = "\r\n\r\n".toByteArray()
    }
}
