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
 * One client's connection: a request is read, handed over and answered, then the next one. Reading is the listener's
 * thread's alone; an answer may come from any thread, so state is kept under the lock.
 */
internal class Connection(
    private val channel: SocketChannel,
    private val key: SelectionKey,
    private val writer: ResponseWriter,
    private val handlerOf: (Request) -> AsyncHandler,
    private val clock: () -> Duration,
) {
    private val parser = RequestParser(MAX_REQUEST)
    private var busy = false
    private var closing = false

    /** A thread is handing a request over; when it is answered meanwhile, that thread looks for the next. */
    private var serving = false

    /** Nothing is read until the present request is answered. */
    private var paused = false

    @Volatile
    private var inputEnded = false
    private var unsent: ByteBuffer? = null

    /** When the present part, such as reading a request that has begun, must be over. */
    private var deadline = clock() + IDLE

    val isOpen: Boolean get() = channel.isOpen

    /** Takes in what has arrived. [input] is scratch space. */
    fun receive(input: ByteBuffer) {
        input.clear()
        val read =
            try {
                channel.read(input)
            } catch (e: IOException) {
                log.debug("connection lost", e)
                -1
            }
        if (read < 0) return endOfInput()
        input.flip()
        synchronized(this) {
            if (closing) return
            if (!parser.started && !busy) deadline = clock() + MAX_REQUEST_TIME
            parser.add(input)
            if (busy) return pauseIfAhead()
        }
        serve()
    }

    /** A client may send ahead, but not without bound: what it sends next stays in the network. */
    private fun pauseIfAhead() {
        if (parser.size < MAX_AHEAD) return
        paused = true
        listen()
    }

    /** The client sends no more; it may still wait for an answer. */
    @Synchronized
    private fun endOfInput() {
        if (!busy && unsent == null) return close()
        inputEnded = true
        listen()
    }

    /** Hands over what is whole, one request after the other: one that is answered at once makes room for the next. */
    private fun serve() {
        while (true) {
            val next =
                synchronized(this) {
                    // Another thread is at it, or the answer to the last one is still to come.
                    if (busy || closing || serving) return
                    nextRequest()?.also { serving = true } ?: return
                }
            hand(next)
            synchronized(this) { serving = false }
        }
    }

    /** The next whole request; from then on the connection is busy until it is answered. */
    private fun nextRequest(): ParsedRequest? {
        val parsed =
            try {
                parser.next()
            } catch (e: BadMessage) {
                log.debug("bad request", e)
                send(
                    writer
                        .write(Response(Status.fromCode(e.status) ?: Status.BAD_REQUEST), keepAlive = false, withBody = true),
                    keepAlive = false,
                )
                return null
            }
        if (parsed != null) {
            busy = true
        } else if (parser.awaitsContinue) {
            parser.continued()
            send(ByteBuffer.wrap(CONTINUE), keepAlive = true)
        }
        return parsed
    }

    private fun hand(parsed: ParsedRequest) {
        val handler = handlerOf(parsed.request)
        try {
            handler.handle(parsed.request) { response -> answer(parsed, response) }
        } catch (e: RejectedExecutionException) {
            log.debug("too many exchanges wait", e)
            close()
        } catch (e: RuntimeException) {
            log.error("{} failed", parsed.request.uri, e)
            answer(parsed, Response(Status.INTERNAL_SERVER_ERROR))
        }
    }

    private fun answer(to: ParsedRequest, response: Response) {
        val keepAlive = to.keepAlive && !inputEnded && !response.header("Connection").equals("close", true)
        val bytes = writer.write(response, keepAlive, withBody = to.request.method != Method.HEAD)
        val ahead =
            synchronized(this) {
                busy = false
                paused = false
                send(bytes, keepAlive)
                parser.started
            }
        if (ahead) serve()
    }

    @Synchronized
    private fun send(bytes: ByteBuffer, keepAlive: Boolean) {
        closing = !keepAlive
        val before = unsent
        unsent =
            if (before ==
                null
            ) {
                bytes
            } else {
                ByteBuffer
                    .allocate(before.remaining() + bytes.remaining())
                    .put(before)
                    .put(bytes)
                    .flip()
            }
        flush()
    }

    /** Sends what the socket takes; the rest goes when the listener's thread finds room. */
    @Synchronized
    fun flush() {
        val bytes = unsent ?: return
        try {
            channel.write(bytes)
            if (bytes.hasRemaining()) {
                deadline = clock() + MAX_RESPONSE_TIME
                listen()
                return
            }
            unsent = null
            deadline = clock() + if (closing) LINGER else IDLE
            listen()
            // The client ends the connection once it has read the answer; closing at once could take that from it.
            when {
                inputEnded -> close()
                closing -> channel.shutdownOutput()
            }
        } catch (e: IOException) {
            log.debug("connection lost", e)
            close()
        } catch (e: CancelledKeyException) {
            log.debug("connection closed meanwhile", e)
        }
    }

    /** Tells the listener's thread what this connection waits for by now. */
    private fun listen() {
        val read = if (paused || inputEnded) 0 else SelectionKey.OP_READ
        val write = if (unsent == null) 0 else SelectionKey.OP_WRITE
        val wanted = read or write
        if (key.interestOps() == wanted) return
        key.interestOps(wanted)
        key.selector().wakeup()
    }

    @Synchronized
    fun closeIfOverdue(now: Duration) {
        if (!busy && now >= deadline) close()
    }

    fun close() {
        try {
            channel.close()
        } catch (e: IOException) {
            log.debug("connection not closed", e)
        }
    }

    private companion object {
        val log = loggerOf(Connection::class.java)

        /** More than any handler takes, so that each says itself what is too long for it. */
        const val MAX_REQUEST = 512 * 1024

        /** How much of further requests is read while one is served. */
        const val MAX_AHEAD = 64 * 1024

        /** A worker's connection is idle between two reports: closing it would cost a new one for each report. */
        val IDLE: Duration = 120.seconds
        val MAX_REQUEST_TIME: Duration = 5.seconds
        val MAX_RESPONSE_TIME: Duration = 10.seconds
        val LINGER: Duration = 2.seconds
        val CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".toByteArray()
    }
}
