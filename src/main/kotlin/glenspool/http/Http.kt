package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How a request to a counterpart ended. */
sealed interface CallResult {
    data class Answer(val status: Int, val body: Fields) : CallResult

    /** No connection came about, so nothing can be carried out later. */
    data class NotSent(val why: String) : CallResult

    /** The request may have been carried out, or may be later. */
    data class NoAnswer(val why: String) : CallResult
}

fun InetSocketAddress.hostPort(): String = "${address.hostAddress}:$port"

const val MAX_BODY = 64 * 1024

/** Reads a body of at most [MAX_BODY]; null if it is longer. */
fun Body.bounded(): ByteArray? {
    val bytes = stream.readNBytes(MAX_BODY + 1)
    return if (bytes.size > MAX_BODY) null else bytes
}

fun cbor(status: Status, body: Fields): Response =
    Response(status)
        .header("Content-Type", "application/cbor")
        .body(Body(ByteBuffer.wrap(Cbor.encode(body))))

/** The refusal that asks the client to come back, and says when. */
fun tryLater(status: Status = Status.SERVICE_UNAVAILABLE, after: Duration = 1.seconds): Response =
    cbor(
        status,
        mapOf(
            "error" to "try later",
        ),
    ).header("Retry-After", after.inWholeSeconds.toString())

/** What a raw result means where bodies are CBOR maps. */
internal fun RawResult.decoded(): CallResult =
    when (this) {
        is RawResult.NotSent -> CallResult.NotSent(why)
        is RawResult.NoAnswer -> CallResult.NoAnswer(why)
        is RawResult.Answer ->
            try {
                CallResult.Answer(status, if (body.isEmpty()) emptyMap() else Cbor.decodeMap(body))
            } catch (e: MalformedMessage) {
                // What a refusal says besides its status is of no account.
                if (status ==
                    Status.OK.code
                ) {
                    CallResult.NoAnswer(e.toString())
                } else {
                    CallResult.Answer(status, emptyMap())
                }
            }
    }
