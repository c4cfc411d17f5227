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
 * Answers a request now or later, from any thread, by calling `respond` once. It runs on the thread that serves all
 * connections, so it must not block.
 */
fun interface AsyncHandler {
    /** Handles the request; [respond] is called once, by any thread. */
    fun handle(request: Request, respond: (Response) -> Unit)
}

/**
 * An HTTP/1.1 server for http4k handlers on one port.
 *
 * Threads: the event loop, one thread over a selector, accepts connections, reads requests, calls the handlers of
 * [asyncHandlerOf] and sends what a socket did not take at once. Every other request runs `handler`, which may block,
 * on a [CallPool] of the given number of threads. A response is written by the thread that has it.
 *
 * Limits: when all threads are busy, eight requests are queued for each of them; a further one ends with its
 * connection. Connections beyond the share of the socket limit (see [setSocketLimit]) are closed at once, and so are
 * those whose timeouts pass (see [ServerConnection]).
 *
 * The JDK's own server was measured against it: see docs/design.md, "Libraries".
 *
 * @param asyncHandlerOf the handler of a request that need not block; null if the request is for the pool
 * @param onFatalError called when the event loop has failed; nothing is served any more
 */
class HttpListener(
    address: InetSocketAddress,
    name: String,
    maxThreads: Int,
    private val asyncHandlerOf: (Request) -> AsyncHandler?,
    private val onFatalError: () -> Unit,
    handler: HttpHandler,
) : AutoCloseable {
    /** A listener that runs all requests on the pool. */
    constructor(address: InetSocketAddress, name: String, maxThreads: Int, handler: HttpHandler) :
        this(address, name, maxThreads, { null }, {}, handler)

    private val pool = CallPool(name, maxThreads, maxThreads * QUEUED_PER_THREAD)
    private val poolHandler = AsyncHandler { request, respond -> pool.execute { respond(answer(handler, request)) } }
    private val selector = Selector.open()
    private val server = ServerSocketChannel.open()
    private val writer = ResponseWriter()
    private val input = ByteBuffer.allocate(READ_BUFFER_BYTES)
    private val clock = TimeSource.Monotonic.markNow()
    private val maxOpenConnections = maxConnections
    private val loopTimer = EventLoopTimer(clock::elapsedNow)

    /** Connections accepted and not yet known to be closed; used by the event loop alone. */
    private var openConnections = 0
    private var lastSweepAt = clock.elapsedNow()

    @Volatile
    private var isClosed = false

    init {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(address, BACKLOG)
        server.configureBlocking(false)
        server.register(selector, SelectionKey.OP_ACCEPT)
    }

    private val thread = Thread(null, ::run, "$name-io", STACK_BYTES).also { it.isDaemon = true }

    /** The port it listens on, which the system has chosen if the address had port 0. */
    val port: Int = (server.localAddress as InetSocketAddress).port

    init {
        thread.start()
    }

    private fun answer(handler: HttpHandler, request: Request): Response =
        try {
            handler(request)
        } catch (e: RuntimeException) {
            log.error("{} failed", request.uri, e)
            Response(Status.INTERNAL_SERVER_ERROR)
        }

    private fun run() {
        try {
            runEventLoop()
        } catch (e: Throwable) {
            // With its port open but not served the process would seem alive: it is better ended and restarted.
            try {
                log.error("listener can't go on", e)
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
                log.error("listener failed", e)
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
            log.debug("connection closed meanwhile", e)
        }
    }

    private fun acceptConnections() {
        while (true) {
            val channel =
                try {
                    server.accept() ?: return
                } catch (e: IOException) {
                    // Out of sockets, for example: the event loop tries again.
                    log.warn("connection not accepted: {}", e.toString())
                    return
                }
            if (openConnections >= maxOpenConnections) channel.close() else register(channel)
        }
    }

    private fun register(channel: SocketChannel) {
        channel.configureBlocking(false)
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        val key = channel.register(selector, SelectionKey.OP_READ)
        openConnections++
        val handlerOf = { request: Request -> asyncHandlerOf(request) ?: poolHandler }
        key.attach(ServerConnection(channel, key, writer, handlerOf, clock::elapsedNow))
    }

    /** Closes connections whose timeouts have passed, and counts those that are open: once a second, or when full. */
    private fun closeOverdueConnections() {
        val now = clock.elapsedNow()
        if (now - lastSweepAt < SWEEP_INTERVAL && openConnections < maxOpenConnections) return
        lastSweepAt = now
        var stillOpen = 0
        for (key in selector.keys()) {
            val connection = key.attachment() as? ServerConnection ?: continue
            connection.closeIfOverdue(now)
            if (connection.isOpen) stillOpen++
        }
        openConnections = stillOpen
    }

    /** How long bytes that have arrived may have waited to be read. */
    fun lag(): Duration = loopTimer.lag()

    /** Closes all connections; when it returns, the port is free. */
    override fun close() {
        isClosed = true
        selector.wakeup()
        thread.join()
        pool.close()
    }

    companion object {
        private val log = loggerOf(HttpListener::class.java)
        private const val QUEUED_PER_THREAD = 8

        /** Thousands of workers may connect to one node within a second of the end of another. */
        private const val BACKLOG = 1024
        private const val READ_BUFFER_BYTES = 16 * 1024
        private const val STACK_BYTES = 256L * 1024
        private val SWEEP_INTERVAL = 1.seconds

        /** The share of the sockets for incoming connections; the rest is for this node's own requests. */
        private const val INCOMING_SHARE = 0.75

        @Volatile
        private var maxConnections = Int.MAX_VALUE

        /** Sets the limit of connections of each listener that is made from now on. */
        fun setSocketLimit(maxSockets: Int) {
            maxConnections = (maxSockets * INCOMING_SHARE).toInt()
        }
    }
}
