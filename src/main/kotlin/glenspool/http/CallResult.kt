package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import org.http4k.core.Status

/** The result of an HTTP call whose response body is decoded as a CBOR map. */
sealed interface CallResult {
    /** The server sent a response, with any status. */
    data class Response(val status: Int, val body: Fields) : CallResult

    /** No connection was established, so the server does not carry out the request, now or later. */
    data class NotSent(val reason: String) : CallResult

    /** No usable response arrived in time. The server may have carried out the request, or may do so later. */
    data class NoResponse(val reason: String) : CallResult
}

/** The result of an HTTP call whose response body is returned as bytes. The cases are those of [CallResult]. */
sealed interface RawResult {
    /** The server sent a response, with any status. */
    class Response(val status: Int, val body: ByteArray) : RawResult

    /** No connection was established, so the server does not carry out the request, now or later. */
    data class NotSent(val reason: String) : RawResult

    /** No usable response arrived in time. The server may have carried out the request, or may do so later. */
    data class NoResponse(val reason: String) : RawResult
}

/** Decodes the response's body as a CBOR map. */
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
        // Without status 200 the body is not needed, so a malformed one is ignored.
        if (status == Status.OK.code) CallResult.NoResponse(e.toString()) else CallResult.Response(status, emptyMap())
    }
