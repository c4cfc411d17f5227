package glenspool.peer

import org.http4k.core.HttpHandler
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status

/**
 * Answers the other controllers' requests.
 *
 * @property cancellations answers a message about cancellations, or returns null if its sender is not a member
 * @property relay answers a user's request that another controller relayed
 */
class PeerServer(
    private val status: () -> PeerStatus,
    private val cancellations: (CancellationMessage) -> CancellationMessage?,
    private val relay: (RelayRequest) -> RelayAnswer,
) : HttpHandler {
    override fun invoke(request: Request): Response =
        when (request.method) {
            Method.GET -> get(request)
            Method.POST -> post(request)
            else -> Response(Status.NOT_FOUND)
        }

    private fun get(request: Request): Response =
        when (request.uri.path) {
            PeerPaths.STATUS -> okResponse(PeerWire.encode(status()))
            else -> Response(Status.NOT_FOUND)
        }

    private fun post(request: Request): Response =
        when (request.uri.path) {
            PeerPaths.RELAY, PeerPaths.RELAY_WITH_DEPENDENCIES ->
                answerDecoded(request, PeerWire::decodeRelayRequest) { PeerWire.encode(relay(it)) }
            PeerPaths.CANCELLATIONS ->
                answerDecoded(request, PeerWire::decodeCancellations) { message ->
                    cancellations(message)?.let { PeerWire.encode(it) }
                }
            else -> Response(Status.NOT_FOUND)
        }
}
