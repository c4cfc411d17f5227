package glenspool.http

import java.nio.ByteBuffer

/** A response, and whether its connection can be used for another request. */
class ParsedResponse(val status: Int, val body: ByteArray, val isReusable: Boolean)

/**
 * Parses one response from bytes as they arrive. Functions throw [BadMessage] if the bytes are not a response or the
 * body has more than [maxBodyBytes] bytes.
 */
class ResponseParser(maxBodyBytes: Int) {
    private val reader = MessageReader(maxBodyBytes)

    /** Whether part of the response has arrived. */
    val hasInput: Boolean get() = reader.hasInput

    /** Appends bytes that were read from the connection. */
    fun add(bytes: ByteBuffer) = reader.add(bytes)

    /**
     * Returns the response, or null if part of it has not arrived. [isEndOfInput]: whether the server has closed the
     * connection.
     */
    fun next(isEndOfInput: Boolean): ParsedResponse? {
        while (true) {
            val head = reader.parseHead() ?: return null
            val (version, code) = head.startLine
            val status = code.toIntOrNull() ?: throw BadMessage(BadMessage.BAD_REQUEST, "invalid status code")
            if (status !in INFORMATIONAL_STATUSES) {
                return parse(head, status, head.fields.isKeepAlive(head.isPersistentByDefault(version)), isEndOfInput)
            }
            // The final response follows the informational one.
            reader.consume(head.end)
        }
    }

    private fun parse(head: MessageHead, status: Int, isKeepAlive: Boolean, isEndOfInput: Boolean): ParsedResponse? {
        val length = head.fields.contentLength
        val body =
            when {
                status == NO_CONTENT || status == NOT_MODIFIED -> BodyBytes(ByteArray(0), head.end)
                head.fields.isChunked -> reader.parseChunkedBody(head)
                length != null -> reader.parseBody(head, length)
                isEndOfInput -> reader.parseBodyToEnd(head)
                else -> null
            } ?: return null
        reader.consume(body.end)
        return ParsedResponse(status, body.bytes, isReusable = isKeepAlive && !isEndOfInput && !reader.hasInput)
    }

    private companion object {
        val INFORMATIONAL_STATUSES = 100..199
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
