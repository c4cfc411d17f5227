package glenspool.http

import glenspool.logging.loggerOf
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.CancelledKeyException
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel
import java.util.concurrent.RejectedExecutionException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The server's side of one connection. Its requests are handled one after the other: the next one is dispatched when
 * the present one is answered.
 *
 * Threads: [receive], [flush] and [closeIfOverdue] are called by the listener's event loop alone. A response may come
 * from any thread, which also writes it, so all state is guarded by the connection's lock. Handlers are called without
 * the lock.
 */
internal class ServerConnection(
    private val channel: SocketChannel,
    private val key: SelectionKey,
    private val writer: ResponseWriter,
    private val handlerOf: (Request) -> AsyncHandler,
    private val clock: () -> Duration,
) {
    private val parser = RequestParser(MAX_REQUEST_BYTES)

    /** A request is dispatched and not yet answered. */
    private var isBusy = false

    /** The connection is closed once what is unsent has been sent. */
    private var isClosing = false

    /** A thread is in [dispatchRequests]. If its request is answered meanwhile, that thread dispatches the next one. */
    private var isDispatching = false

    /** Nothing is read until the present request is answered. */
    private var isReadingPaused = false

    @Volatile
    private var isInputEnded = false
    private var unsent: ByteBuffer? = null

    /** When the present step, such as reading a request that has begun, must be over. Not checked while busy. */
    private var deadline = clock() + IDLE_TIMEOUT

    val isOpen: Boolean get() = channel.isOpen

    /** Reads what has arrived and dispatches the requests that are complete. [input]: scratch space. */
    fun receive(input: ByteBuffer) {
        input.clear()
        val count =
            try {
                channel.read(input)
            } catch (e: IOException) {
                log.debug("connection lost", e)
                -1
            }
        if (count < 0) return handleEndOfInput()
        input.flip()
        synchronized(this) {
            if (isClosing) return
            if (!parser.hasInput && !isBusy) deadline = clock() + REQUEST_TIMEOUT
            parser.add(input)
            if (isBusy) return pauseReadingIfFull()
        }
        dispatchRequests()
    }

    /** Back-pressure: a client may pipeline requests, but only [READ_AHEAD_BYTES] of them are buffered here. */
    private fun pauseReadingIfFull() {
        if (parser.bufferedBytes < READ_AHEAD_BYTES) return
        isReadingPaused = true
        updateInterestOps()
    }

    /** The client sends nothing more, but may still wait for a response. */
    @Synchronized
    private fun handleEndOfInput() {
        if (!isBusy && unsent == null) return close()
        isInputEnded = true
        updateInterestOps()
    }

    /** Dispatches complete requests one after the other, as long as each is answered at once. */
    private fun dispatchRequests() {
        while (true) {
            val next =
                synchronized(this) {
                    if (isBusy || isClosing || isDispatching) return
                    nextRequest()?.also { isDispatching = true } ?: return
                }
            dispatch(next)
            synchronized(this) { isDispatching = false }
        }
    }

    /** The next complete request, if there is one; the connection is busy until it is answered. */
    private fun nextRequest(): ParsedRequest? {
        val request =
            try {
                parser.next()
            } catch (e: BadMessage) {
                log.debug("bad request", e)
                val response = Response(Status.fromCode(e.status) ?: Status.BAD_REQUEST)
                send(writer.write(response, keepAlive = false, withBody = true), isKeepAlive = false)
                return null
            }
        if (request != null) {
            isBusy = true
        } else if (parser.isAwaitingContinue) {
            parser.markContinueSent()
            send(ByteBuffer.wrap(CONTINUE), isKeepAlive = true)
        }
        return request
    }

    private fun dispatch(request: ParsedRequest) {
        val handler = handlerOf(request.request)
        try {
            handler.handle(request.request) { response -> respond(request, response) }
        } catch (e: RejectedExecutionException) {
            log.debug("too many requests are queued", e)
            close()
        } catch (e: RuntimeException) {
            log.error("{} failed", request.request.uri, e)
            respond(request, Response(Status.INTERNAL_SERVER_ERROR))
        }
    }

    private fun respond(request: ParsedRequest, response: Response) {
        val isKeepAlive =
            request.isKeepAlive && !isInputEnded && !response.header("Connection").equals("close", true)
        val bytes = writer.write(response, isKeepAlive, withBody = request.request.method != Method.HEAD)
        val hasReadAhead =
            synchronized(this) {
                isBusy = false
                isReadingPaused = false
                send(bytes, isKeepAlive)
                parser.hasInput
            }
        if (hasReadAhead) dispatchRequests()
    }

    @Synchronized
    private fun send(bytes: ByteBuffer, isKeepAlive: Boolean) {
        isClosing = !isKeepAlive
        unsent = unsent?.let { joined(it, bytes) } ?: bytes
        flush()
    }

    private fun joined(first: ByteBuffer, second: ByteBuffer): ByteBuffer {
        val joined = ByteBuffer.allocate(first.remaining() + second.remaining())
        return joined.put(first).put(second).flip()
    }

    /** Sends as much as the socket takes; the event loop calls again when it takes more. */
    @Synchronized
    fun flush() {
        val bytes = unsent ?: return
        try {
            channel.write(bytes)
            if (bytes.hasRemaining()) {
                deadline = clock() + RESPONSE_TIMEOUT
                updateInterestOps()
            } else {
                handleAllSent()
            }
        } catch (e: IOException) {
            log.debug("connection lost", e)
            close()
        } catch (e: CancelledKeyException) {
            log.debug("connection closed meanwhile", e)
        }
    }

    private fun handleAllSent() {
        unsent = null
        deadline = clock() + if (isClosing) LINGER_TIMEOUT else IDLE_TIMEOUT
        updateInterestOps()
        when {
            isInputEnded -> close()
            // Closing at once could reset the connection before the client has read the response.
            isClosing -> channel.shutdownOutput()
        }
    }

    /** Tells the event loop whether to wait for input, for room to send, or both. */
    private fun updateInterestOps() {
        val read = if (isReadingPaused || isInputEnded) 0 else SelectionKey.OP_READ
        val write = if (unsent == null) 0 else SelectionKey.OP_WRITE
        val interestOps = read or write
        if (key.interestOps() == interestOps) return
        key.interestOps(interestOps)
        key.selector().wakeup()
    }

    /** Closes the connection if its deadline has passed at [now]. A handler may take as long as it needs. */
    @Synchronized
    fun closeIfOverdue(now: Duration) {
        if (!isBusy && now >= deadline) close()
    }

    fun close() {
        try {
            channel.close()
        } catch (e: IOException) {
            log.debug("connection not closed", e)
        }
    }

    private companion object {
        val log = loggerOf(ServerConnection::class.java)

        /** More than any handler accepts, so that each of them refuses a body that is too long for it. */
        const val MAX_REQUEST_BYTES = 512 * 1024

        /** How much of further requests is read while one is handled. */
        const val READ_AHEAD_BYTES = 64 * 1024

        /** A worker's connection is idle between two heartbeats: each one would need a new connection otherwise. */
        val IDLE_TIMEOUT: Duration = 120.seconds

        /** From a request's first byte to its last. */
        val REQUEST_TIMEOUT: Duration = 5.seconds

        /** For the client to take more of a response. */
        val RESPONSE_TIMEOUT: Duration = 10.seconds

        /** From the last byte sent until the client closes the connection. */
        val LINGER_TIMEOUT: Duration = 2.seconds
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()
    }
}
