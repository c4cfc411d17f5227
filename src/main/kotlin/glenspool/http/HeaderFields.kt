package glenspool.http

/** The bytes are not an HTTP message, or the message is not supported. [status]: the status to respond with. */
class BadMessage(val status: Int, message: String) : Exception(message) {
    internal companion object {
        const val BAD_REQUEST = 400
        const val HEAD_TOO_LARGE = 431
        const val NOT_IMPLEMENTED = 501
    }
}

/** The header fields of a message in their order, as pairs of name and value, which is the form that http4k uses. */
class HeaderFields(val entries: List<Pair<String, String>>) {
    /** Returns the value of the first field with the name [name] in any letter case, or null if there is none. */
    operator fun get(name: String): String? = entries.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    /** Whether the body is sent in chunks. Throws [BadMessage] if it has another transfer encoding. */
    val isChunked: Boolean
        get() {
            val encoding = this["Transfer-Encoding"] ?: return false
            if (encoding.equals("chunked", ignoreCase = true)) return true
            throw BadMessage(BadMessage.NOT_IMPLEMENTED, "unsupported transfer encoding")
        }

    /**
     * The length of the body in bytes, or null if the message has no `Content-Length`. Throws [BadMessage] if the value
     * is not a valid length, or if several values differ, since then it is ambiguous where the next message begins.
     */
    val contentLength: Int?
        get() {
            val fields = entries.filter { it.first.equals("Content-Length", ignoreCase = true) }
            val lengths = fields.map { it.second }.distinct()
            if (lengths.isEmpty()) return null
            val length = lengths.singleOrNull()?.toLongOrNull()
            if (length == null || length < 0) {
                throw BadMessage(BadMessage.BAD_REQUEST, "Content-Length must be a single non-negative integer")
            }
            return length.coerceAtMost(MAX_CONTENT_LENGTH).toInt()
        }

    /** Whether the connection stays open. [isPersistentByDefault]: the default of the HTTP version. */
    fun isKeepAlive(isPersistentByDefault: Boolean): Boolean {
        val option = this["Connection"]
        return if (isPersistentByDefault) !option.equals("close", true) else option.equals("keep-alive", true)
    }

    private companion object {
        /** Larger than any message may be, and half of the range of `Int`, so that a position can be added to it. */
        const val MAX_CONTENT_LENGTH = Int.MAX_VALUE / 2L
    }
}

/**
 * The head of a message: the two or three parts of the start line, and the header fields. [end]: the position in the
 * reader's buffer at which the body begins.
 */
class MessageHead(val startLine: List<String>, val fields: HeaderFields, val end: Int) {
    /** Whether connections of [version] stay open by default. Throws [BadMessage] if the version is not supported. */
    fun isPersistentByDefault(version: String): Boolean =
        when (version) {
            "HTTP/1.1" -> true
            "HTTP/1.0" -> false
            else -> throw BadMessage(BadMessage.BAD_REQUEST, "unsupported HTTP version")
        }
}
