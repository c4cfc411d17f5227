package glenspool.peer

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.slf4j.LoggerFactory

/** What a controller answers to the others. */
class PeerServer(private val status: () -> PeerStatus, private val serve: (RelayRequest) -> RelayAnswer) : HttpHandler {
    override fun invoke(request: Request): Response = when {
        request.uri.path == PeerPaths.STATUS && request.method == Method.GET -> ok(PeerWire.encode(status()))
        (request.uri.path == PeerPaths.RELAY || request.uri.path == PeerPaths.RELAY_CHAINED) && request.method == Method.POST -> relay(request)
        else -> Response(Status.NOT_FOUND)
    }

    private fun relay(request: Request): Response {
        val r = try {
            PeerWire.relayRequest(request.body.stream.readNBytes(MAX_RELAY))
        } catch (e: kotlinx.serialization.SerializationException) {
            log.warn("relayed request not understood: {}", e.toString())
            return Response(Status.BAD_REQUEST)
        }
        return ok(PeerWire.encode(serve(r)))
    }

    private fun ok(bytes: ByteArray) = Response(Status.OK).body(bytes.inputStream(), bytes.size.toLong())

    companion object {
        private val log = LoggerFactory.getLogger(PeerServer::class.java)
        private const val MAX_RELAY = 256 * 1024
    }
}
