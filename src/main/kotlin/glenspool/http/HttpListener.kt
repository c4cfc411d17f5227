package glenspool.http

import glenspool.logging.loggerOf
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Answers a request immediately or later, from any thread, by calling `respond` once. The handler runs on the thread
 * that serves all connections, so it must not block.
 */
fun interface AsyncHandler {
    /** Handles [request]. [respond] must be called once, by any thread. */
    fun handle(request: Request, respond: (Response) -> Unit)
}

/**
 * An HTTP/1.1 server for http4k handlers on one port.
 *
 * Threads: the event loop, which is one thread with a selector, accepts connections, reads requests, calls the handlers
 * that [asyncHandlerOf] returns, and sends bytes that a socket did not accept immediately. `handler`, which may block,
 * handles all other requests on a [CallPool] of at most [maxThreads] threads. The thread that provides a response also
 * writes it.
 *
 * Limits: while all threads are busy, eight requests are queued per thread. A further request gets no response, and its
 * connection is closed. Connections beyond the share of the socket limit (see [setSocketLimit]) are closed immediately.
 * Connections whose timeouts have passed are closed, too (see [ServerConnection]).
 *
 * Measurements compare it with the JDK's server: see docs/design.md, "Libraries".
 *
 * @param asyncHandlerOf returns the handler of a request that is handled without blocking, or null for a request that
 * the pool handles
 * @param onFatalError called when the event loop has ended with an error, after which no request is served
 */
class HttpListener(
    address: InetSocketAddress,
    name: String,
    maxThreads: Int,
    private val asyncHandlerOf: (Request) -> AsyncHandler?,
    private val onFatalError: () -> Unit,
    handler: HttpHandler,
) : AutoCloseable {
    /** Creates a listener that handles all requests on the pool. */
    constructor(address: InetSocketAddress, name: String, maxThreads: Int, handler: HttpHandler) :
        this(address, name, maxThreads, { null }, {}, handler)

    private val pool = CallPool(name, maxThreads, maxThreads * MAX_QUEUED_REQUESTS_PER_THREAD)
    private val poolHandler = AsyncHandler { request, respond -> pool.execute { respond(answer(handler, request)) } }
    private val selector = Selector.open()
    private val server = ServerSocketChannel.open()
    private val writer = ResponseWriter()
    private val input = ByteBuffer.allocate(READ_BUFFER_BYTES)
    private val clock = TimeSource.Monotonic.markNow()
    private val maxOpenConnections = maxConnections
    private val loopTimer = EventLoopTimer(clock::elapsedNow)

    /** The number of accepted connections that are not known to be closed. Only the event loop uses it. */
    private var openConnectionCount = 0
    private var lastSweepAt = clock.elapsedNow()

    @Volatile
    private var isClosed = false

    init {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(address, ACCEPT_BACKLOG_CONNECTIONS)
        server.configureBlocking(false)
        server.register(selector, SelectionKey.OP_ACCEPT)
    }

    private val thread = Thread(null, ::run, "$name-io", STACK_BYTES).also { it.isDaemon = true }

    /** The port of the listener. The operating system has chosen it if the given address has port 0. */
    val port: Int = (server.localAddress as InetSocketAddress).port

    init {
        thread.start()
    }

    private fun answer(handler: HttpHandler, request: Request): Response =
        try {
            handler(request)
        } catch (e: RuntimeException) {
            log.error("handler of the request for {} failed; responding with status 500", request.uri, e)
            Response(Status.INTERNAL_SERVER_ERROR)
        }

    private fun run() {
        try {
            runEventLoop()
        } catch (e: Throwable) {
            // With an open port that is not served, the process would seem to be alive. It has to end and be restarted.
            try {
                log.error("event loop of the HTTP listener failed; no more requests are served on its port", e)
            } finally {
                onFatalError()
            }
        }
    }

    private fun runEventLoop() {
        while (!isClosed) {
            try {
                selector.select(SWEEP_INTERVAL.inWholeMilliseconds)
                loopTimer.startIteration()
                val ready = selector.selectedKeys()
                ready.forEach(::handleReady)
                ready.clear()
                closeOverdueConnections()
                loopTimer.endIteration()
            } catch (e: IOException) {
                log.error("iteration of the HTTP listener's event loop failed; the loop continues", e)
            }
        }
        server.close()
        selector.keys().forEach { (it.attachment() as? ServerConnection)?.close() }
        selector.close()
    }

    private fun handleReady(key: SelectionKey) {
        try {
            if (key.isAcceptable) return acceptConnections()
            val connection = key.attachment() as ServerConnection
            if (key.isWritable) connection.flush()
            if (key.isReadable) connection.receive(input)
        } catch (e: CancelledKeyException) {
            log.debug("connection not served because it was closed in the meantime", e)
        }
    }

    private fun acceptConnections() {
        while (true) {
            val channel =
                try {
                    server.accept() ?: return
                } catch (e: IOException) {
                    // For example, the process has no free socket. The event loop tries again.
                    log.warn("accepting a connection failed and is tried again: {}", e.toString())
                    return
                }
            if (openConnectionCount >= maxOpenConnections) channel.close() else register(channel)
        }
    }

    private fun register(channel: SocketChannel) {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val key = channel.register(selector, SelectionKey.OP_READ)
        openConnectionCount++
        val handlerOf = { request: Request -> asyncHandlerOf(request) ?: poolHandler }
        key.attach(ServerConnection(channel, key, writer, handlerOf, clock::elapsedNow))
    }

    /**
     * Closes connections whose timeouts have passed, and counts the open ones. This is done once a second, and in each
     * iteration while the connection limit is reached.
     */
    private fun closeOverdueConnections() {
        val now = clock.elapsedNow()
        if (now - lastSweepAt < SWEEP_INTERVAL && openConnectionCount < maxOpenConnections) return
        lastSweepAt = now
        var openCount = 0
        for (key in selector.keys()) {
            val connection = key.attachment() as? ServerConnection ?: continue
            connection.closeIfOverdue(now)
            if (connection.isOpen) openCount++
        }
        openConnectionCount = openCount
    }

    /** Returns how long bytes that have arrived may have waited to be read. */
    fun lag(): Duration = loopTimer.lag()

    /** Closes all connections. The port is free when the function returns. */
    override fun close() {
        isClosed = true
        selector.wakeup()
        thread.join()
        pool.close()
    }

    companion object {
        private val log = loggerOf(HttpListener::class.java)
        private const val MAX_QUEUED_REQUESTS_PER_THREAD = 8

        /** Thousands of workers may connect to one node within a second after another node has ended. */
        private const val ACCEPT_BACKLOG_CONNECTIONS = 1024
        private const val READ_BUFFER_BYTES = 16 * 1024
        private const val STACK_BYTES = 256L * 1024
        private val SWEEP_INTERVAL = 1.seconds

        /** The share of the sockets for incoming connections. The others are for this node's own requests. */
        private const val INCOMING_SHARE = 0.75

        @Volatile
        private var maxConnections = Int.MAX_VALUE

        /** Sets the connection limit of the listeners that are created from now on. */
        fun setSocketLimit(maxSockets: Int) {
            maxConnections = (maxSockets * INCOMING_SHARE).toInt()
        }
    }
}
