package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns the address as `host:port` with the host's numeric IP address. */
fun InetSocketAddress.hostPort(): String = "${address.hostAddress}:$port"

/** The maximum size of a request body that handlers accept. */
const val MAX_BODY_BYTES = 64 * 1024

/** Reads a body of at most [MAX_BODY_BYTES] bytes. Returns null if it is longer. */
fun Body.readBounded(): ByteArray? {
    val bytes = stream.readNBytes(MAX_BODY_BYTES + 1)
    return if (bytes.size > MAX_BODY_BYTES) null else bytes
}

/** Returns a response whose body is a CBOR map. */
fun cborResponse(status: Status, body: Fields): Response =
    Response(status)
        .header("Content-Type", "application/cbor")
        .body(Body(ByteBuffer.wrap(Cbor.encode(body))))

/** Returns an error response that asks the client to retry the request after the time [after]. */
fun retryLaterResponse(status: Status = Status.SERVICE_UNAVAILABLE, after: Duration = 1.seconds): Response =
    cborResponse(status, mapOf("error" to "try later")).header("Retry-After", after.inWholeSeconds.toString())
