package glenspool.http

import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Uri
import java.nio.ByteBuffer

/** A request, and whether its connection stays open after the response. */
class ParsedRequest(val request: Request, val isKeepAlive: Boolean)

/**
 * Parses the requests of one connection from bytes that arrive in pieces of any size. Functions throw [BadMessage] if
 * the bytes are not a request or a body has more than [maxBodyBytes] bytes. Not thread-safe.
 */
class RequestParser(maxBodyBytes: Int) {
    private val reader = MessageReader(maxBodyBytes)

    /** The head of the request whose body has not arrived completely. */
    private var head: MessageHead? = null
    private var isContinueSent = false

    /** Whether part of a request has arrived. */
    val hasInput: Boolean get() = reader.hasInput

    /** The number of bytes that have arrived and are not part of a request that [next] has returned. */
    val bufferedBytes: Int get() = reader.bufferedBytes

    /** Whether the client waits for the interim response 100 before it sends the body. */
    val isAwaitingContinue: Boolean
        get() = !isContinueSent && head?.fields?.get("Expect").equals("100-continue", ignoreCase = true)

    /** Appends bytes that were read from the connection. */
    fun add(bytes: ByteBuffer) = reader.add(bytes)

    /** Returns the next request, or null if part of it has not arrived. */
    fun next(): ParsedRequest? {
        val head = this.head ?: reader.parseHead()?.also { this.head = it } ?: return null
        if (head.startLine.size != REQUEST_LINE_PARTS) throw BadMessage(BadMessage.BAD_REQUEST, "invalid request line")
        val (methodName, target, version) = head.startLine
        val fields = head.fields
        val isKeepAlive = fields.isKeepAlive(head.isPersistentByDefault(version))
        val method =
            Method.values().firstOrNull { it.name == methodName }
                ?: throw BadMessage(BadMessage.NOT_IMPLEMENTED, "unsupported method")
        val body = body(head) ?: return null
        reader.consume(body.end)
        this.head = null
        isContinueSent = false
        return ParsedRequest(createRequest(method, target, fields, body.bytes), isKeepAlive)
    }

    private fun body(head: MessageHead): BodyBytes? =
        if (head.fields.isChunked) {
            reader.parseChunkedBody(head)
        } else {
            reader.parseBody(head, head.fields.contentLength ?: 0)
        }

    /** Records that the interim response has been sent, which is done only once for a request. */
    fun markContinueSent() {
        isContinueSent = true
    }

    private fun createRequest(method: Method, target: String, fields: HeaderFields, body: ByteArray): Request {
        // `Uri.of` is not used because its regular expression costs more than all the rest of the parsing.
        val uri = Uri("", "", "", null, target.substringBefore('?'), target.substringAfter('?', ""), "")
        return Request(method, uri).headers(fields.entries).body(Body(ByteBuffer.wrap(body)))
    }

    private companion object {
        /** Method, target and version. */
        const val REQUEST_LINE_PARTS = 3
    }
}
