package glenspool.http

import java.io.IOException
import java.net.InetSocketAddress
import java.net.SocketTimeoutException
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** A connection to a counterpart, used by one request at a time. */
internal class ClientConnection private constructor(private val channel: SocketChannel) {
    private var idleSince = TimeSource.Monotonic.markNow()

    /** Nothing came back, and the connection had been idle before: the other side may have closed it long ago. */
    class NothingRead(cause: IOException) : IOException(cause)

    /** Sends [request] and reads the response, all of it before [deadline]. */
    fun exchange(request: ByteBuffer, deadline: TimeMark): ParsedResponse {
        val parser = ResponseParser(MAX_RESPONSE)
        try {
            while (request.hasRemaining()) channel.write(request)
            return read(parser, deadline)
        } catch (e: SocketTimeoutException) {
            throw e
        } catch (e: BadMessage) {
            throw IOException(e)
        } catch (e: IOException) {
            throw if (parser.started) e else NothingRead(e)
        }
    }

    private fun read(parser: ResponseParser, deadline: TimeMark): ParsedResponse {
        val input = channel.socket().getInputStream()
        val buffer = ByteArray(READ_BUFFER)
        while (true) {
            channel.socket().soTimeout = millisecondsLeft(deadline)
            val read = input.read(buffer)
            if (read > 0) parser.add(ByteBuffer.wrap(buffer, 0, read))
            parser.next(ended = read < 0)?.let { return it }
            if (read < 0) throw IOException("the connection ended")
        }
    }

    private fun millisecondsLeft(deadline: TimeMark): Int {
        val left = -deadline.elapsedNow().inWholeMilliseconds
        if (left <= 0) throw SocketTimeoutException("no response in time")
        return left.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    fun rest() {
        idleSince = TimeSource.Monotonic.markNow()
    }

    /** Whether it can be used again, as far as that shows: it is not old, not closed, and nobody has sent unasked. */
    fun isUsable(): Boolean {
        if (idleSince.elapsedNow() > MAX_IDLE) return false
        return try {
            channel.configureBlocking(false)
            val read = channel.read(ByteBuffer.allocate(1))
            channel.configureBlocking(true)
            read == 0
        } catch (e: IOException) {
            // Closed, which is what was asked.
            false
        }
    }

    fun close() {
        try {
            channel.close()
        } catch (e: IOException) {
            // What was sent and read before is not changed by it.
            log.debug("connection not closed", e)
        }
    }

    companion object {
        private val log = glenspool.logging.loggerOf(ClientConnection::class.java)
        private const val READ_BUFFER = 8 * 1024

        /** The state service's lists and watches have no limit of their own. */
        private const val MAX_RESPONSE = 64 * 1024 * 1024

        /** Servers close what has been idle for a while. */
        private val MAX_IDLE: Duration = 5.seconds

        fun open(to: InetSocketAddress, timeout: Duration): ClientConnection {
            val channel = SocketChannel.open()
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                channel.socket().connect(to, timeout.inWholeMilliseconds.toInt())
            } catch (e: IOException) {
                channel.close()
                throw e
            }
            return ClientConnection(channel)
        }
    }
}

/** Connections that stay open between requests, a few for each counterpart. */
internal class IdleConnections {
    private val idle = HashMap<String, ArrayDeque<ClientConnection>>()

    /** The one that was used last, if there is one that can be used again. */
    fun take(to: String): ClientConnection? {
        while (true) {
            val connection = synchronized(idle) { idle[to]?.removeLastOrNull() } ?: return null
            if (connection.isUsable()) return connection
            connection.close()
        }
    }

    fun give(to: String, connection: ClientConnection) {
        connection.rest()
        val surplus =
            synchronized(idle) {
                val all = idle.getOrPut(to) { ArrayDeque() }
                all.addLast(connection)
                if (all.size > MOST) all.removeFirst() else null
            }
        surplus?.close()
    }

    private companion object {
        const val MOST = 4
    }
}
