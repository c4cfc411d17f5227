package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.TimeSource
import kotlin.time.TimeSource.Monotonic.ValueTimeMark

/**
 * A blocking, thread-safe HTTP/1.1 client. Addresses have the form `host:port`. The timeout of a call limits the whole
 * exchange on an established connection. Redirects are not followed. A request that could be carried out twice is never
 * sent twice; the caller decides whether to repeat it.
 *
 * Measurements compare it with the JDK's clients: see docs/design.md, "Libraries".
 *
 * @property keepAlive whether connections are kept open for further requests
 */
class HttpClient(private val connectTimeout: Duration, private val keepAlive: Boolean = true) {
    private val connections = ConnectionPool()

    /** Sends a GET request and decodes the response. */
    fun get(address: String, path: String, timeout: Duration): CallResult = call("GET", address, path, null, timeout)

    /** Encodes [body], sends it in a POST request and decodes the response. */
    fun post(address: String, path: String, body: Fields, timeout: Duration): CallResult =
        call("POST", address, path, Cbor.encode(body), timeout)

    /** Sends a request with an already encoded [body], or without a body, and decodes the response. */
    fun call(method: String, address: String, path: String, body: ByteArray?, timeout: Duration): CallResult =
        callRaw(method, address, path, body, timeout).decoded()

    /** Sends a request like [call], but returns the response's body as bytes. */
    fun callRaw(method: String, address: String, path: String, body: ByteArray?, timeout: Duration): RawResult {
        if (path.any { it !in PATH_CHARACTERS }) return RawResult.NotSent("$path is not a valid path")
        val request = requestBytes(method, address, path, body)
        val deadline = TimeSource.Monotonic.markNow() + timeout
        val reused = if (keepAlive) connections.take(address) else null
        if (reused != null) {
            try {
                return exchange(reused, address, request.duplicate(), deadline)
            } catch (e: NoResponseException) {
                // The server may have closed the idle connection. Only a GET is safe to repeat.
                if (method != "GET") return RawResult.NoResponse(e.toString())
            }
        }
        return callOnNewConnection(address, request, deadline)
    }

    private fun callOnNewConnection(address: String, request: ByteBuffer, deadline: ValueTimeMark): RawResult {
        val connection =
            try {
                ClientConnection.open(socketAddress(address), connectTimeout)
            } catch (e: IOException) {
                return RawResult.NotSent(e.toString())
            }
        return try {
            exchange(connection, address, request, deadline)
        } catch (e: NoResponseException) {
            RawResult.NoResponse(e.toString())
        }
    }

    /** @throws NoResponseException if the connection ended before any byte of the response arrived */
    private fun exchange(
        connection: ClientConnection,
        address: String,
        request: ByteBuffer,
        deadline: ValueTimeMark,
    ): RawResult {
        try {
            val response = connection.exchange(request, deadline)
            if (keepAlive && response.isReusable) connections.put(address, connection) else connection.close()
            return RawResult.Response(response.status, response.body)
        } catch (e: NoResponseException) {
            connection.close()
            throw e
        } catch (e: IOException) {
            connection.close()
            return RawResult.NoResponse(e.toString())
        }
    }

    private fun requestBytes(method: String, address: String, path: String, body: ByteArray?): ByteBuffer {
        val head = StringBuilder(HEAD_CAPACITY)
        head.append(method).append(' ').append(path).append(" HTTP/1.1\r\nHost: ").append(address).append("\r\n")
        if (!keepAlive) head.append("Connection: close\r\n")
        if (body != null) {
            head.append("Content-Type: application/cbor\r\nContent-Length: ").append(body.size).append("\r\n")
        }
        val headBytes = head.append("\r\n").toString().toByteArray(Charsets.ISO_8859_1)
        val request = ByteBuffer.allocate(headBytes.size + (body?.size ?: 0))
        request.put(headBytes)
        if (body != null) request.put(body)
        return request.flip()
    }

    /** @throws IOException if [address] is malformed or its host cannot be resolved */
    private fun socketAddress(address: String): InetSocketAddress {
        val port = address.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in PORT_RANGE) throw IOException("$address does not have the form 10.0.0.1:8080")
        val resolved = InetSocketAddress(address.substringBeforeLast(':'), port)
        if (resolved.isUnresolved) throw IOException("the host of $address could not be resolved")
        return resolved
    }

    private companion object {
        const val HEAD_CAPACITY = 160
        val PORT_RANGE = 0..65535

        /** The characters that a path may contain. A space would end the path, and a line break the request line. */
        val PATH_CHARACTERS = '!'..'~'
    }
}
