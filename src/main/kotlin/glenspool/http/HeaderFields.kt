package glenspool.http

/** The bytes are no HTTP message, or one that is not supported. [status]: the response to a client that sent it. */
class BadMessage(val status: Int, message: String) : Exception(message) {
    internal companion object {
        const val BAD_REQUEST = 400
        const val HEAD_TOO_LARGE = 431
        const val NOT_IMPLEMENTED = 501
    }
}

/** The header fields of a message in their order, each a name and a value, as http4k takes them. */
class HeaderFields(val entries: List<Pair<String, String>>) {
    /** The first value of [name], in any case. */
    operator fun get(name: String): String? = entries.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    /** Whether the body is sent in chunks; throws [BadMessage] if it has another encoding. */
    val isChunked: Boolean
        get() {
            val encoding = this["Transfer-Encoding"] ?: return false
            if (encoding.equals("chunked", ignoreCase = true)) return true
            throw BadMessage(BadMessage.NOT_IMPLEMENTED, "unknown transfer encoding")
        }

    /**
     * The length of the body in bytes; null if the message does not say. Throws [BadMessage] if it is no length, or if
     * there are several that differ, since then it is not clear where the next message begins.
     */
    val contentLength: Int?
        get() {
            val fields = entries.filter { it.first.equals("Content-Length", ignoreCase = true) }
            val lengths = fields.map { it.second }.distinct()
            if (lengths.isEmpty()) return null
            val length = lengths.singleOrNull()?.toLongOrNull()
            if (length == null || length < 0) {
                throw BadMessage(BadMessage.BAD_REQUEST, "Content-Length: a whole number is needed")
            }
            return length.coerceAtMost(MAX_LENGTH).toInt()
        }

    /** Whether the connection stays open. [isPersistentByDefault]: whether it does so by default. */
    fun isKeepAlive(isPersistentByDefault: Boolean): Boolean {
        val option = this["Connection"]
        return if (isPersistentByDefault) !option.equals("close", true) else option.equals("keep-alive", true)
    }

    private companion object {
        /** More than any message may have; half of the range, so that a position can be added to it. */
        const val MAX_LENGTH = Int.MAX_VALUE / 2L
    }
}

/**
 * The head of a message: the parts of the start line, two or three, and the header fields. [end]: where the body begins
 * in the reader's buffer.
 */
class MessageHead(val startLine: List<String>, val fields: HeaderFields, val end: Int) {
    /** Whether connections of [version] stay open by default; throws [BadMessage] if the version is not supported. */
    fun isPersistentByDefault(version: String): Boolean =
        when (version) {
            "HTTP/1.1" -> true
            "HTTP/1.0" -> false
            else -> throw BadMessage(BadMessage.BAD_REQUEST, "unknown version")
        }
}
