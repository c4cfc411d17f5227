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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Answers a request now or later, from any thread, by calling `respond` once. It runs on the thread that serves all
 * connections, so it must not wait.
 */
fun interface AsyncHandler {
    fun handle(request: Request, respond: (Response) -> Unit)
}

/**
 * Serves http4k handlers on one port. One thread accepts connections, reads requests and sends what a socket did not
 * take at once; answers are written by the thread that has them. Whatever may wait runs on threads of a [CallPool]: out
 * of threads, exchanges wait their turn, and past the waiting room their connection is closed.
 *
 * The JDK's own server was measured against it: see docs/design.md, "Libraries".
 */
class HttpListener(
    addr: InetSocketAddress,
    name: String,
    threads: Int,
    /** The handler of a request that does not have to wait; null: it goes to the pool. */
    private val direct: (Request) -> AsyncHandler?,
    /** The thread that serves the connections can't go on. */
    private val fatal: () -> Unit,
    handler: HttpHandler,
) : AutoCloseable {
    constructor(
        addr: InetSocketAddress,
        name: String,
        threads: Int,
        handler: HttpHandler,
    ) : this(addr, name, threads, { null }, {}, handler)

    private val pool = CallPool(name, threads, threads * WAITING_EACH)
    private val pooled = AsyncHandler { request, respond -> pool.execute { respond(answer(handler, request)) } }
    private val selector = Selector.open()
    private val server = ServerSocketChannel.open()
    private val writer = ResponseWriter()
    private val input = ByteBuffer.allocate(READ_BUFFER)
    private val clock = TimeSource.Monotonic.markNow()
    private val maxOpen = maxConnections
    private val passes = PassTimer(clock::elapsedNow)
    private var open = 0
    private var sweptAt = clock.elapsedNow()

    @Volatile
    private var closed = false

    init {
        server.setOption(StandardSocketOptions.SO_REUSEADDR, true)
        server.bind(addr, BACKLOG)
        server.configureBlocking(false)
        server.register(selector, SelectionKey.OP_ACCEPT)
    }

    private val thread = Thread(null, ::run, "$name-io", STACK).also { it.isDaemon = true }

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
            serve()
        } catch (e: Throwable) {
            // A node whose port is open but not served would be half alive: another process takes its place.
            try {
                log.error("listener can't go on", e)
            } finally {
                fatal()
            }
        }
    }

    private fun serve() {
        while (!closed) {
            try {
                selector.select(SWEEP_EVERY.inWholeMilliseconds)
                passes.begin()
                val ready = selector.selectedKeys()
                ready.forEach(::attend)
                ready.clear()
                sweep()
                passes.end()
            } catch (e: IOException) {
                log.error("listener failed", e)
            }
        }
        server.close()
        selector.keys().forEach { (it.attachment() as? Connection)?.close() }
        selector.close()
    }

    private fun attend(key: SelectionKey) {
        try {
            if (key.isAcceptable) return accept()
            val connection = key.attachment() as Connection
            if (key.isWritable) connection.flush()
            if (key.isReadable) connection.receive(input)
        } catch (e: CancelledKeyException) {
            log.debug("connection closed meanwhile", e)
        }
    }

    private fun accept() {
        while (true) {
            val channel =
                try {
                    server.accept() ?: return
                } catch (e: IOException) {
                    // Out of sockets, for one: the next wake-up tries again.
                    log.warn("connection not accepted: {}", e.toString())
                    return
                }
            if (open >= maxOpen) {
                channel.close()
                continue
            }
            channel.configureBlocking(false)
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
            val key = channel.register(selector, SelectionKey.OP_READ)
            open++
            key.attach(Connection(channel, key, writer, { r -> direct(r) ?: pooled }, clock::elapsedNow))
        }
    }

    /**
     * Closes what was given up, what stalls in the middle of a request or an answer, and what has been idle for long.
     */
    private fun sweep() {
        val now = clock.elapsedNow()
        if (now - sweptAt < SWEEP_EVERY && open < maxOpen) return
        sweptAt = now
        var stillOpen = 0
        for (key in selector.keys()) {
            val connection = key.attachment() as? Connection ?: continue
            connection.closeIfOverdue(now)
            if (connection.isOpen) stillOpen++
        }
        open = stillOpen
    }

    /** How long bytes that have arrived may have waited to be read. */
    fun lag(): Duration = passes.lag()

    override fun close() {
        closed = true
        selector.wakeup()
        // Until then the port is still taken.
        thread.join()
        pool.close()
    }

    companion object {
        private val log = loggerOf(HttpListener::class.java)
        private const val WAITING_EACH = 8

        /** Thousands of workers may come to one node within a second of another's end. */
        private const val BACKLOG = 1024
        private const val READ_BUFFER = 16 * 1024
        private const val STACK = 256L * 1024
        private val SWEEP_EVERY = 1.seconds

        /**
         * The share of the sockets that connections from outside may take; the rest is for requests of this node's own.
         */
        private const val INCOMING_SHARE = 0.75

        @Volatile
        private var maxConnections = Int.MAX_VALUE

        /** Bounds the connections of each listener that is made from here on. */
        fun configure(maxSockets: Int) {
            maxConnections = (maxSockets * INCOMING_SHARE).toInt()
        }
    }
}
