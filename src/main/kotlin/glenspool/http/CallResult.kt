package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import org.http4k.core.Status

/** How a request ended whose body is a CBOR map. */
sealed interface CallResult {
    /** The server answered, with any status. */
    data class Response(val status: Int, val body: Fields) : CallResult

    /** No connection was established, so the request is not carried out, now or later. */
    data class NotSent(val reason: String) : CallResult

    /** No usable answer came in time. The request may have been carried out, or may be later. */
    data class NoResponse(val reason: String) : CallResult
}

/** How a request ended whose body is bytes. The cases are those of [CallResult]. */
sealed interface RawResult {
    /** The server answered, with any status. */
    class Response(val status: Int, val body: ByteArray) : RawResult

    /** No connection was established, so the request is not carried out, now or later. */
    data class NotSent(val reason: String) : RawResult

    /** No usable answer came in time. The request may have been carried out, or may be later. */
    data class NoResponse(val reason: String) : RawResult
}

/** Decodes the body as a CBOR map. */
internal fun RawResult.decoded(): CallResult =
    when (this) {
        is RawResult.NotSent -> CallResult.NotSent(reason)
        is RawResult.NoResponse -> CallResult.NoResponse(reason)
        is RawResult.Response -> decoded()
    }

private fun RawResult.Response.decoded(): CallResult =
    try {
        CallResult.Response(status, if (body.isEmpty()) emptyMap() else Cbor.decodeMap(body))
    } catch (e: MalformedMessage) {
        // Of a refusal the status is enough.
        if (status == Status.OK.code) CallResult.NoResponse(e.toString()) else CallResult.Response(status, emptyMap())
    }
