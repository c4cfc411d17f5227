package glenspool.api

import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerPaths
import glenspool.peer.RelayRequest
import glenspool.wire.MalformedMessage
import glenspool.wire.UserWire
import org.http4k.core.Method
import org.http4k.core.Response
import kotlin.time.Duration.Companion.seconds

/** Relays users' requests to another controller, for a node that can't reach the key-value store. */
internal class PeerRelay(private val peers: PeerClient) {
    /** The peer's response; null if none took the request. */
    fun relay(request: UserRequest): Response? {
        val message = RelayRequest(request.method.name, request.path, request.body)
        return peers.relay(message, RELAY_TIMEOUT, relayPath(request))?.toResponse()
    }

    /** Only versions that know dependencies may take a submission that has some. */
    private fun relayPath(request: UserRequest): String {
        val isSubmission = request.method == Method.POST && request.path == UserPaths.JOBS
        return if (isSubmission && hasDependencies(request.body)) PeerPaths.RELAY_WITH_DEPENDENCIES else PeerPaths.RELAY
    }

    /** A body that can't be decoded is refused wherever it is answered. */
    private fun hasDependencies(body: ByteArray): Boolean =
        try {
            UserWire.hasDependencies(body)
        } catch (e: MalformedMessage) {
            log.debug("submission not understood: {}", e.toString())
            false
        }

    private companion object {
        val log = loggerOf(PeerRelay::class.java)
        val RELAY_TIMEOUT = 1.seconds
    }
}
