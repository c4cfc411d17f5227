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
 * A blocking HTTP/1.1 client, for any number of threads. Addresses are written `host:port`; a call's timeout bounds the
 * whole exchange on an established connection. Redirects are not followed, and a request that could be carried out
 * twice is never sent twice: whether to repeat it is the caller's decision.
 *
 * The JDK's clients were measured against it: see docs/design.md, "Libraries".
 *
 * @property keepAlive whether connections are kept open for further requests
 */
class HttpClient(private val connectTimeout: Duration, private val keepAlive: Boolean = true) {
    private val connections = ConnectionPool()

    /** Sends a GET request and decodes the answer. */
    fun get(address: String, path: String, timeout: Duration): CallResult = call("GET", address, path, null, timeout)

    /** Sends a POST request with an encoded body and decodes the answer. */
    fun post(address: String, path: String, body: Fields, timeout: Duration): CallResult =
        call("POST", address, path, Cbor.encode(body), timeout)

    /** Sends a request whose [body] is encoded already, if there is one, and decodes the answer's. */
    fun call(method: String, address: String, path: String, body: ByteArray?, timeout: Duration): CallResult =
        callRaw(method, address, path, body, timeout).decoded()

    /** As [call], with the answer's body as bytes. */
    fun callRaw(method: String, address: String, path: String, body: ByteArray?, timeout: Duration): RawResult {
        if (path.any { it !in VISIBLE }) return RawResult.NotSent("$path is no path")
        val request = requestBytes(method, address, path, body)
        val deadline = TimeSource.Monotonic.markNow() + timeout
        val reused = if (keepAlive) connections.take(address) else null
        if (reused != null) {
            try {
                return exchange(reused, address, request.duplicate(), deadline)
            } catch (e: NoResponseException) {
                // The server may have closed the idle connection. Only a GET can be repeated without harm.
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

    /** @throws NoResponseException if the connection ended before anything of the response arrived */
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

    /** @throws IOException if [address] has the wrong form or its host is unknown */
    private fun socketAddress(address: String): InetSocketAddress {
        val port = address.substringAfterLast(':', "").toIntOrNull()
        if (port == null || port !in PORTS) throw IOException("$address is no address of the form 10.0.0.1:8080")
        val resolved = InetSocketAddress(address.substringBeforeLast(':'), port)
        if (resolved.isUnresolved) throw IOException("$address is not known")
        return resolved
    }

    private companion object {
        const val HEAD_CAPACITY = 160
        val PORTS = 0..65535

        /** The characters of a path. Any other would end the request line. */
        val VISIBLE = '!'..'~'
    }
}
