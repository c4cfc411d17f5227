package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.TimeSource

/** How a request ended whose body is bytes. See [CallResult]. */
sealed interface RawResult {
    class Answer(val status: Int, val body: ByteArray) : RawResult

    data class NotSent(val why: String) : RawResult

    data class NoAnswer(val why: String) : RawResult
}

/**
 * The one way out for requests. Redirects are not followed, and nothing that could be carried out twice is ever sent
 * twice behind the caller's back: a repeated command or transaction is the caller's decision.
 *
 * The JDK's clients were measured against it: see docs/design.md, "Libraries".
 */
class HttpCaller(private val connectTimeout: Duration, private val keepOpen: Boolean = true) {
    private val idle = IdleConnections()

    fun get(to: String, path: String, timeout: Duration): CallResult = call("GET", to, path, null, timeout)

    fun post(to: String, path: String, body: Fields, timeout: Duration): CallResult =
        call(
            "POST", to, path,
            Cbor
                .encode(body),
            timeout,
        )

    fun call(method: String, to: String, path: String, body: ByteArray?, timeout: Duration): CallResult =
        callRaw(method, to, path, body, timeout)
            .decoded()

    fun callRaw(method: String, to: String, path: String, body: ByteArray?, timeout: Duration): RawResult {
        if (path.any { it !in VISIBLE }) return RawResult.NotSent("$path is no path")
        val request = requestBytes(method, to, path, body)
        val deadline = TimeSource.Monotonic.markNow() + timeout
        val reused = if (keepOpen) idle.take(to) else null
        if (reused != null) {
            try {
                return exchange(reused, to, request.duplicate(), deadline)
            } catch (e: ClientConnection.NothingRead) {
                // It may have been closed while it was idle; only a question may be asked again without harm.
                if (method != "GET") return RawResult.NoAnswer(e.toString())
            }
        }
        val connection =
            try {
                ClientConnection.open(address(to), connectTimeout)
            } catch (e: IOException) {
                return RawResult.NotSent(e.toString())
            }
        return try {
            exchange(connection, to, request, deadline)
        } catch (e: ClientConnection.NothingRead) {
            RawResult.NoAnswer(e.toString())
        }
    }

    private fun exchange(
        connection: ClientConnection,
        to: String,
        request: ByteBuffer,
        deadline: TimeSource.Monotonic.ValueTimeMark,
    ): RawResult {
        try {
            val response = connection.exchange(request, deadline)
            if (keepOpen && response.reusable) idle.give(to, connection) else connection.close()
            return RawResult.Answer(response.status, response.body)
        } catch (e: ClientConnection.NothingRead) {
            connection.close()
            throw e
        } catch (e: IOException) {
            connection.close()
            return RawResult.NoAnswer(e.toString())
        }
    }

    private fun requestBytes(method: String, to: String, path: String, body: ByteArray?): ByteBuffer {
        val head =
            StringBuilder(HEAD_SIZE)
                .append(method)
                .append(' ')
                .append(path)
                .append(" HTTP/1.1\r\nHost: ")
                .append(to)
                .append("\r\n")
        if (!keepOpen) head.append("Connection: close\r\n")
        if (body !=
            null
        ) {
            head.append("Content-Type: application/cbor\r\nContent-Length: ").append(body.size).append("\r\n")
        }
        val bytes = head.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
        val size = bytes.size + (body?.size ?: 0)
        return ByteBuffer
            .allocate(size)
            .put(bytes)
            .also { if (body != null) it.put(body) }
            .flip()
    }

    private fun address(to: String): InetSocketAddress {
        val port = to.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in PORTS) throw IOException("$to is no address of the form 10.0.0.1:8080")
        val address = InetSocketAddress(to.substringBeforeLast(':'), port)
        if (address.isUnresolved) throw IOException("$to is not known")
        return address
    }

    private companion object {
        const val HEAD_SIZE = 160
        val PORTS = 0..65535

        /** Anything else would end the request line. */
        val VISIBLE = '!'..'~'
    }
}
