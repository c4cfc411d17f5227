package glenspool.http

import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.URI
import java.nio.ByteBuffer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How a request to a counterpart ended. */
sealed interface CallResult {
    data class Answer(val status: Int, val body: Fields) : CallResult

    /** No connection came about, so nothing can be carried out later. */
    data class NotSent(val why: String) : CallResult

    /** The request may have been carried out, or may be later. */
    data class NoAnswer(val why: String) : CallResult
}

/**
 * The one way out for requests, over the JDK's keep-alive connections. Redirects are not followed and nothing
 * is ever sent twice behind our back: a repeated command or transaction is the caller's decision.
 */
class HttpCaller(private val connectTimeout: Duration, private val keepOpen: Boolean = true) {
    fun get(to: String, path: String, timeout: Duration): CallResult = call("GET", to, path, null, timeout)

    fun post(to: String, path: String, body: Fields, timeout: Duration): CallResult = call("POST", to, path, Cbor.encode(body), timeout)

    fun call(method: String, to: String, path: String, body: ByteArray?, timeout: Duration): CallResult {
        val c = URI("http://$to$path").toURL().openConnection() as HttpURLConnection
        try {
            c.requestMethod = method
            c.instanceFollowRedirects = false
            c.useCaches = false
            c.connectTimeout = connectTimeout.inWholeMilliseconds.toInt()
            c.readTimeout = timeout.inWholeMilliseconds.toInt()
            if (!keepOpen) c.setRequestProperty("Connection", "close")
            if (body != null) {
                c.doOutput = true
                c.setRequestProperty("Content-Type", "application/cbor")
                // Streaming mode also keeps the JDK from repeating the request on a fresh connection.
                c.setFixedLengthStreamingMode(body.size)
            }
            c.connect()
        } catch (e: IOException) {
            return CallResult.NotSent(e.toString())
        }
        try {
            if (body != null) c.outputStream.use { it.write(body) }
            val status = c.responseCode
            val stream = if (status >= 400) c.errorStream else c.inputStream
            val bytes = stream?.use { it.readAllBytes() } ?: ByteArray(0)
            val fields = if (bytes.isEmpty()) {
                emptyMap()
            } else {
                try {
                    Cbor.decodeMap(bytes)
                } catch (e: MalformedMessage) {
                    if (status == 200) return CallResult.NoAnswer(e.toString())
                    emptyMap()
                }
            }
            return CallResult.Answer(status, fields)
        } catch (e: IOException) {
            c.disconnect()
            return CallResult.NoAnswer(e.toString())
        }
    }

    companion object {
        init {
            System.setProperty("sun.net.http.retryPost", "false")
            System.setProperty("http.maxConnections", "4")
        }
    }
}

fun InetSocketAddress.hostPort(): String = "${address.hostAddress}:$port"

const val MAX_BODY = 64 * 1024

/** Reads a body of at most [MAX_BODY]; null if it is longer. */
fun Body.bounded(): ByteArray? {
    val bytes = stream.readNBytes(MAX_BODY + 1)
    return if (bytes.size > MAX_BODY) null else bytes
}

fun cbor(status: Status, body: Fields): Response =
    Response(status).header("Content-Type", "application/cbor").body(Body(ByteBuffer.wrap(Cbor.encode(body))))

/** The refusal that asks the client to come back, and says when. */
fun tryLater(status: Status = Status.SERVICE_UNAVAILABLE, after: Duration = 1.seconds): Response =
    cbor(status, mapOf("error" to "try later")).header("Retry-After", after.inWholeSeconds.toString())
