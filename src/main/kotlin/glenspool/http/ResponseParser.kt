package glenspool.http

import java.nio.ByteBuffer

/** A response as it was read, and whether its connection can be used again. */
class ParsedResponse(val status: Int, val body: ByteArray, val reusable: Boolean)

/** Reads one response from bytes as they arrive. */
class ResponseParser(maxBody: Int) {
    private val reader = MessageReader(maxBody)

    /** Whether part of the response has arrived. */
    val started: Boolean get() = reader.started

    fun add(bytes: ByteBuffer) = reader.add(bytes)

    /** The response, once all of it is here. [ended]: the connection has ended, and nothing more comes. */
    fun next(ended: Boolean): ParsedResponse? {
        while (true) {
            val head = reader.head() ?: return null
            val (version, code) = head.startLine
            val status = code.toIntOrNull() ?: throw BadMessage(HeaderFields.BAD_REQUEST, "no status")
            if (status / HUNDRED == 1) {
                // Word that the final response is to come.
                reader.consume(head.end)
                continue
            }
            return read(head, status, head.fields.keepAlive(head.persistent(version)), ended)
        }
    }

    private fun read(head: MessageHead, status: Int, keepAlive: Boolean, ended: Boolean): ParsedResponse? {
        val length = head.fields.contentLength
        val body =
            when {
                status == NO_CONTENT || status == NOT_MODIFIED -> BodyBytes(ByteArray(0), head.end)
                head.fields.chunked -> reader.chunkedBody(head)
                length != null -> reader.body(head, length)
                else -> if (ended) reader.bodyToEnd(head) else null
            } ?: return null
        reader.consume(body.end)
        return ParsedResponse(status, body.bytes, keepAlive && !ended && !reader.started)
    }

    private companion object {
        const val HUNDRED = 100
        const val NO_CONTENT = 204
        const val NOT_MODIFIED = 304
    }
}
