package glenspool.controller

import glenspool.http.AsyncHandler
import org.http4k.core.HttpHandler
import org.http4k.core.Request

/**
 * Which requests on the port for workers and users are answered by the listener's own thread, or by the core's:
 * heartbeats and readiness probes, which must not wait behind users' requests.
 */
internal class ApiRouter(private val workers: AsyncHandler, users: HttpHandler) {
    private val readiness = AsyncHandler { request, respond -> respond(users(request)) }

    /** Null: the request goes to the pool for users' requests. */
    fun directHandler(request: Request): AsyncHandler? =
        when (request.uri.path) {
            "/checkin" -> workers
            "/ready" -> readiness
            else -> null
        }
}
