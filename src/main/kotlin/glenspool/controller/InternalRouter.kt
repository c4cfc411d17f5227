package glenspool.controller

import glenspool.peer.PeerPaths
import glenspool.peer.PeerServer
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response

/** Routes the requests on the controllers' internal port by their path. */
internal class InternalRouter(
    private val peers: PeerServer,
    private val recovery: HttpHandler,
    /** Null if levels are not managed. */
    private val rollout: HttpHandler?,
) : HttpHandler {
    override fun invoke(request: Request): Response {
        val path = request.uri.path
        return when {
            path == WarmUp.PATH -> WarmUp.answer(request)
            path == PeerPaths.RECOVERY -> recovery(request)
            rollout != null && path == PeerPaths.ROLLOUT -> rollout(request)
            else -> peers(request)
        }
    }
}
