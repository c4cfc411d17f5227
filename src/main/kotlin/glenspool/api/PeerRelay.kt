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
    /** Returns the response of the first peer that accepts the request, or null if none does. */
    fun relay(request: UserRequest): Response? {
        val message = RelayRequest(request.method.name, request.path, request.body)
        return peers.relay(message, RELAY_TIMEOUT, relayPath(request))?.toResponse()
    }

    /** A submission with dependencies has its own path, because only versions that support them may accept it. */
    private fun relayPath(request: UserRequest): String {
        val isSubmission = request.method == Method.POST && request.path == UserPaths.JOBS
        return if (isSubmission && hasDependencies(request.body)) PeerPaths.RELAY_WITH_DEPENDENCIES else PeerPaths.RELAY
    }

    /** Returns false if the body can't be decoded, since every node refuses such a submission. */
    private fun hasDependencies(body: ByteArray): Boolean =
        try {
            UserWire.hasDependencies(body)
        } catch (e: MalformedMessage) {
            log.debug("submission could not be decoded, relaying it as one without dependencies: {}", e.toString())
            false
        }

    private companion object {
        val log = loggerOf(PeerRelay::class.java)
        val RELAY_TIMEOUT = 1.seconds
    }
}
