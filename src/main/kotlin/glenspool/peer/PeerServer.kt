package glenspool.peer

import glenspool.logging.loggerOf
import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/** What a controller answers to the others. */
class PeerServer(
    private val status: () -> PeerStatus,
    /** Null: the other is no member. */
    private val cancellations: (CancellationMessage) -> CancellationMessage?,
    private val serve: (RelayRequest) -> RelayAnswer,
) : HttpHandler {
    override fun invoke(request: Request): Response =
        when {
            request.uri.path == PeerPaths.STATUS && request.method == Method.GET -> ok(PeerWire.encode(status()))
            (request.uri.path == PeerPaths.RELAY || request.uri.path == PeerPaths.RELAY_CHAINED) &&
                request.method == Method.POST -> relay(request)
            request.uri.path == PeerPaths.CANCELLATIONS && request.method == Method.POST ->
                answerDecoded(request, PeerWire::cancellations) { m -> cancellations(m)?.let { PeerWire.encode(it) } }
            else -> Response(Status.NOT_FOUND)
        }

    private fun relay(request: Request): Response =
        answerDecoded(request, PeerWire::relayRequest) {
            PeerWire
                .encode(serve(it))
        }
}

/**
 * Reads a message between controllers and answers it; what can't be read, or is answered with null, is a bad request.
 */
internal fun <T> answerDecoded(request: Request, read: (ByteArray) -> T, answer: (T) -> ByteArray?): Response {
    val message =
        try {
            read(request.body.stream.readNBytes(MAX_BYTES))
        } catch (e: kotlinx.serialization.SerializationException) {
            log.warn("{} not understood: {}", request.uri.path, e.toString())
            return Response(Status.BAD_REQUEST)
        }
    return answer(message)?.let(::ok) ?: Response(Status.BAD_REQUEST)
}

private fun ok(bytes: ByteArray) = Response(Status.OK).body(bytes.inputStream(), bytes.size.toLong())

private val log = loggerOf(PeerServer::class.java)
private const val MAX_BYTES = 256 * 1024
