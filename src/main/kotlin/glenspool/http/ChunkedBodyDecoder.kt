package glenspool.http

import java.io.ByteArrayOutputStream

/**
 * Decodes a body in chunks. The part that has arrived is in [buffer] from the position [start] up to [limit].
 * [maxBodyBytes]: the maximum size of the decoded body.
 */
internal class ChunkedBodyDecoder(
    private val buffer: ByteArray,
    start: Int,
    private val limit: Int,
    private val maxBodyBytes: Int,
) {
    private var position = start

    /**
     * Returns the decoded body, or null if part of it has not arrived. Throws [BadMessage] if the body is malformed or
     * too long.
     */
    fun decode(): BodyBytes? {
        val body = ByteArrayOutputStream()
        while (true) {
            val size = chunkSize(readLine() ?: return null)
            if (size == 0) return if (skipTrailers()) BodyBytes(body.toByteArray(), position) else null
            if (body.size() + size > maxBodyBytes) throw BadMessage(BadMessage.BAD_REQUEST, "the body is too long")
            if (position + size + LINE_END_BYTES > limit) return null
            body.write(buffer, position, size)
            position += size + LINE_END_BYTES
        }
    }

    private fun chunkSize(line: String): Int {
        val size = line.substringBefore(';').trim().toIntOrNull(HEXADECIMAL)
        if (size == null || size < 0) throw BadMessage(BadMessage.BAD_REQUEST, "missing or invalid chunk size")
        return size
    }

    /** Returns false if part of the trailers has not arrived. */
    private fun skipTrailers(): Boolean {
        while (true) {
            val line = readLine() ?: return false
            if (line.isEmpty()) return true
        }
    }

    /** Returns the next line without its line break, or null if it has not arrived completely. */
    private fun readLine(): String? {
        for (index in position until limit - 1) {
            if (buffer[index] != CARRIAGE_RETURN || buffer[index + 1] != LINE_FEED) continue
            val line = String(buffer, position, index - position, Charsets.ISO_8859_1)
            position = index + LINE_END_BYTES
            return line
        }
        return null
    }

    private companion object {
        const val LINE_END_BYTES = 2
        const val HEXADECIMAL = 16
        const val CARRIAGE_RETURN = '\r'.code.toByte()
        const val LINE_FEED = '\n'.code.toByte()
    }
}
