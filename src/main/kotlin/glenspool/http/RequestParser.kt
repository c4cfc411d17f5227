package glenspool.http

import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Uri
import java.nio.ByteBuffer

/** A request as it was read, and whether its connection stays open once it is answered. */
class ParsedRequest(val request: Request, val keepAlive: Boolean)

/**
 * Reads requests from bytes as they arrive. It is told of each piece by [add] and asked for a whole request by [next].
 */
class RequestParser(maxBody: Int) {
    private val reader = MessageReader(maxBody)
    private var head: MessageHead? = null
    private var continued = false

    /** Whether part of a request has arrived. */
    val started: Boolean get() = reader.started

    /** How much has arrived that is no whole request yet. */
    val size: Int get() = reader.size

    /** The client waits for word that it may send the body. */
    val awaitsContinue: Boolean get() =
        !continued &&
            head?.fields?.get("Expect").equals("100-continue", ignoreCase = true)

    fun add(bytes: ByteBuffer) = reader.add(bytes)

    /** The next request, once all of it is here. */
    fun next(): ParsedRequest? {
        val h = head ?: reader.head()?.also { head = it } ?: return null
        if (h.startLine.size != PARTS) throw BadMessage(HeaderFields.BAD_REQUEST, "no request line")
        val (method, target, version) = h.startLine
        val keepAlive = h.fields.keepAlive(h.persistent(version))
        val known =
            Method.values().firstOrNull { it.name == method }
                ?: throw BadMessage(HeaderFields.NOT_IMPLEMENTED, "unknown method")
        val body =
            (if (h.fields.chunked) reader.chunkedBody(h) else reader.body(h, h.fields.contentLength ?: 0))
                ?: return null
        reader.consume(body.end)
        head = null
        continued = false
        return ParsedRequest(request(known, target, h.fields, body.bytes), keepAlive)
    }

    /** The client was told to go on; it is told once. */
    fun continued() {
        continued = true
    }

    private fun request(method: Method, target: String, fields: HeaderFields, body: ByteArray): Request {
        // Not by `Uri.of`, whose regular expression costs more than all the rest of the parsing.
        val uri = Uri("", "", "", null, target.substringBefore('?'), target.substringAfter('?', ""), "")
        return Request(method, uri).headers(fields.all).body(Body(ByteBuffer.wrap(body)))
    }

    private companion object {
        /** Method, target and version. */
        const val PARTS = 3
    }
}
