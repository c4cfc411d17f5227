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
    /** A listener's thread can't go on. */
    private val onFatalError: () -> Unit,
) : AutoCloseable {
    /** Null: not open yet. */
    @Volatile
    private var apiListener: HttpListener? = null
    private var internalListener: HttpListener? = null

    /** Requests are taken as soon as a port is open; until the state is read they are refused with a time to retry. */
    fun open() {
        val apiThreads = minOf(MAX_API_THREADS, settings.maxSockets / 3)
        val direct = ApiRouter(workers, users)::directHandler
        apiListener = HttpListener(settings.apiAddr, "api", apiThreads, direct, onFatalError, users)
        internalListener =
            HttpListener(settings.internalAddr, "peer", INTERNAL_THREADS, { null }, onFatalError, internal)
    }

    /** How long a heartbeat may have waited before this node read it. */
    fun intakeLag(): Duration = apiListener?.lag() ?: Duration.ZERO

    override fun close() {
        apiListener?.close()
        internalListener?.close()
    }

    private companion object {
        const val MAX_API_THREADS = 256

        /** A peer that stalls in the middle of a request holds one until the server's time limit: there are many. */
        const val INTERNAL_THREADS = 24
    }
}
