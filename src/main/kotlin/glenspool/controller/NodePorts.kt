package glenspool.controller

import glenspool.config.Settings
import glenspool.http.AsyncHandler
import glenspool.http.HttpListener
import org.http4k.core.HttpHandler
import kotlin.time.Duration

/** A node's two ports: the one for users and workers, and the one for the other controllers. */
internal class NodePorts(
    private val settings: Settings,
    private val users: HttpHandler,
    private val workers: AsyncHandler,
    private val internal: HttpHandler,
    /** Called when a listener's thread can't continue. */
    private val onFatalError: () -> Unit,
) : AutoCloseable {
    /** Null until the port is open. */
    @Volatile
    private var apiListener: HttpListener? = null
    private var internalListener: HttpListener? = null

    /**
     * Opens both ports. Requests are accepted as soon as a port is open; until the state has been read, they are
     * rejected with a retry time.
     */
    fun open() {
        val apiThreads = minOf(MAX_API_THREADS, settings.maxSockets / 3)
        val direct = ApiRouter(workers, users)::directHandler
        apiListener = HttpListener(settings.apiAddr, "api", apiThreads, direct, onFatalError, users)
        internalListener =
            HttpListener(settings.internalAddr, "peer", MAX_INTERNAL_THREADS, { null }, onFatalError, internal)
    }

    /** Returns how long received heartbeats may have waited before this node read them. */
    fun intakeLag(): Duration = apiListener?.lag() ?: Duration.ZERO

    override fun close() {
        apiListener?.close()
        internalListener?.close()
    }

    private companion object {
        const val MAX_API_THREADS = 256

        /** Large, since a peer that stalls in the middle of a request blocks a thread until the server's timeout. */
        const val MAX_INTERNAL_THREADS = 24
    }
}
