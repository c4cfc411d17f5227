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
 * The server's side of one connection. Requests are handled one after the other: the next request is dispatched when
 * the current one has been answered.
 *
 * Threads: outside this class, only the listener's event loop calls [receive], [flush] and [closeIfOverdue]. Any thread
 * may provide a response, and the same thread writes it, so the connection's lock guards all state. Handlers are called
 * without the lock.
 */
internal class ServerConnection(
    private val channel: SocketChannel,
    private val key: SelectionKey,
    private val writer: ResponseWriter,
    private val handlerOf: (Request) -> AsyncHandler,
    private val clock: () -> Duration,
) {
    private val parser = RequestParser(MAX_REQUEST_BYTES)

    /** Whether a request has been dispatched and not yet answered. */
    private var isHandlingRequest = false

    /** Whether the connection is to be closed when all unsent bytes have been sent. */
    private var isClosing = false

    /**
     * Whether a thread runs [dispatchRequests]. If its request is answered in the meantime, the same thread dispatches
     * the next one.
     */
    private var isDispatching = false

    /** Whether reading is paused until the current request is answered. */
    private var isReadingPaused = false

    @Volatile
    private var isInputEnded = false
    private var unsentBytes: ByteBuffer? = null

    /**
     * The time by which the current step must be complete, such as reading a request of which a part has arrived. It is
     * not checked while a request is handled.
     */
    private var deadline = clock() + IDLE_TIMEOUT

    val isOpen: Boolean get() = channel.isOpen

    /** Reads the bytes that have arrived and dispatches the complete requests. [input]: a scratch buffer. */
    fun receive(input: ByteBuffer) {
        input.clear()
        val count =
            try {
                channel.read(input)
            } catch (e: IOException) {
                log.debug("reading from a client's connection failed; handling it as the end of the input", e)
                -1
            }
        if (count < 0) return handleEndOfInput()
        input.flip()
        synchronized(this) {
            if (isClosing) return
            if (!parser.hasInput && !isHandlingRequest) deadline = clock() + REQUEST_TIMEOUT
            parser.add(input)
            if (isHandlingRequest) return pauseReadingIfFull()
        }
        dispatchRequests()
    }

    /**
     * Applies back-pressure to a client that pipelines requests: reading is paused if [READ_AHEAD_LIMIT_BYTES] or more
     * are buffered.
     */
    private fun pauseReadingIfFull() {
        if (parser.bufferedBytes < READ_AHEAD_LIMIT_BYTES) return
        isReadingPaused = true
        updateInterestOps()
    }

    /** Handles the end of the client's input. The client may still wait for a response. */
    @Synchronized
    private fun handleEndOfInput() {
        if (!isHandlingRequest && unsentBytes == null) return close()
        isInputEnded = true
        updateInterestOps()
    }

    /** Dispatches complete requests one after the other, as long as each is answered during its dispatch. */
    private fun dispatchRequests() {
        while (true) {
            val next =
                synchronized(this) {
                    if (isHandlingRequest || isClosing || isDispatching) return
                    nextRequest()?.also { isDispatching = true } ?: return
                }
            dispatch(next)
            synchronized(this) { isDispatching = false }
        }
    }

    /** Returns the next complete request and sets [isHandlingRequest], or returns null if there is none. */
    private fun nextRequest(): ParsedRequest? {
        val request =
            try {
                parser.next()
            } catch (e: BadMessage) {
                log.debug("request could not be parsed; sending an error response and closing the connection", e)
                val response = Response(Status.fromCode(e.status) ?: Status.BAD_REQUEST)
                send(writer.write(response, keepAlive = false, withBody = true), isKeepAlive = false)
                return null
            }
        if (request != null) {
            isHandlingRequest = true
        } else if (parser.isAwaitingContinue) {
            parser.markContinueSent()
            send(ByteBuffer.wrap(CONTINUE_RESPONSE), isKeepAlive = true)
        }
        return request
    }

    private fun dispatch(request: ParsedRequest) {
        val handler = handlerOf(request.request)
        try {
            handler.handle(request.request) { response -> respond(request, response) }
        } catch (e: RejectedExecutionException) {
            log.debug("request rejected because the queue is full; closing the connection without a response", e)
            close()
        } catch (e: RuntimeException) {
            log.error("handler of the request for {} failed; responding with status 500", request.request.uri, e)
            respond(request, Response(Status.INTERNAL_SERVER_ERROR))
        }
    }

    private fun respond(request: ParsedRequest, response: Response) {
        val isKeepAlive =
            request.isKeepAlive && !isInputEnded && !response.header("Connection").equals("close", true)
        val bytes = writer.write(response, isKeepAlive, withBody = request.request.method != Method.HEAD)
        val hasReadAhead =
            synchronized(this) {
                isHandlingRequest = false
                isReadingPaused = false
                send(bytes, isKeepAlive)
                parser.hasInput
            }
        if (hasReadAhead) dispatchRequests()
    }

    @Synchronized
    private fun send(bytes: ByteBuffer, isKeepAlive: Boolean) {
        isClosing = !isKeepAlive
        unsentBytes = unsentBytes?.let { concatenate(it, bytes) } ?: bytes
        flush()
    }

    private fun concatenate(first: ByteBuffer, second: ByteBuffer): ByteBuffer {
        val joined = ByteBuffer.allocate(first.remaining() + second.remaining())
        return joined.put(first).put(second).flip()
    }

    /** Sends as many bytes as the socket accepts. The event loop calls this again when the socket accepts more. */
    @Synchronized
    fun flush() {
        val bytes = unsentBytes ?: return
        try {
            channel.write(bytes)
            if (bytes.hasRemaining()) {
                deadline = clock() + RESPONSE_TIMEOUT
                updateInterestOps()
            } else {
                handleAllSent()
            }
        } catch (e: IOException) {
            log.debug("sending a response failed; closing the connection", e)
            close()
        } catch (e: CancelledKeyException) {
            log.debug("response not sent because the connection was closed in the meantime", e)
        }
    }

    private fun handleAllSent() {
        unsentBytes = null
        deadline = clock() + if (isClosing) LINGER_TIMEOUT else IDLE_TIMEOUT
        updateInterestOps()
        when {
            isInputEnded -> close()
            // Closing immediately could reset the connection before the client has read the response.
            isClosing -> channel.shutdownOutput()
        }
    }

    /** Sets the events that the event loop waits for: input, space in the socket's send buffer, or both. */
    private fun updateInterestOps() {
        val read = if (isReadingPaused || isInputEnded) 0 else SelectionKey.OP_READ
        val write = if (unsentBytes == null) 0 else SelectionKey.OP_WRITE
        val interestOps = read or write
        if (key.interestOps() == interestOps) return
        key.interestOps(interestOps)
        key.selector().wakeup()
    }

    /**
     * Closes the connection if its deadline has passed at [now], unless a request is being handled. The time of a
     * handler is not limited.
     */
    @Synchronized
    fun closeIfOverdue(now: Duration) {
        if (!isHandlingRequest && now >= deadline) close()
    }

    fun close() {
        try {
            channel.close()
        } catch (e: IOException) {
            log.debug("closing a client's connection failed", e)
        }
    }

    private companion object {
        val log = loggerOf(ServerConnection::class.java)

        /** Larger than any handler accepts, so that each handler itself rejects a body that is too long for it. */
        const val MAX_REQUEST_BYTES = 512 * 1024

        /** The number of bytes of further requests at which reading is paused while a request is handled. */
        const val READ_AHEAD_LIMIT_BYTES = 64 * 1024

        /**
         * A worker's connection is idle between two heartbeats. If the timeout were shorter than that, each heartbeat
         * would need a new connection.
         */
        val IDLE_TIMEOUT: Duration = 120.seconds

        /** The maximum time from the first byte of a request to its last. */
        val REQUEST_TIMEOUT: Duration = 5.seconds

        /** The maximum time until the client accepts more bytes of a response. */
        val RESPONSE_TIMEOUT: Duration = 10.seconds

        /** The maximum time from the last sent byte until the client closes the connection. */
        val LINGER_TIMEOUT: Duration = 2.seconds
        val CONTINUE_RESPONSE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()
    }
}
