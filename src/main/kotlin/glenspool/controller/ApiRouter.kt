package glenspool.controller

import glenspool.http.AsyncHandler
import org.http4k.core.HttpHandler
import org.http4k.core.Request

/**
 * Selects the requests on the port for workers and users that bypass the thread pool for users' requests. Heartbeats
 * and readiness probes are answered on the listener's own thread or on the core thread, since they must not wait behind
 * users' requests.
 */
internal class ApiRouter(private val workers: AsyncHandler, users: HttpHandler) {
    private val readiness = AsyncHandler { request, respond -> respond(users(request)) }

    /** Returns the handler for [request]; null if the thread pool for users' requests has to handle it. */
    fun directHandler(request: Request): AsyncHandler? =
        when (request.uri.path) {
            "/checkin" -> workers
            "/ready" -> readiness
            else -> null
        }
}
