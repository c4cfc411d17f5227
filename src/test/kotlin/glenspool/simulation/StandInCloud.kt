package glenspool.simulation

import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.wire.Cbor
import glenspool.wire.Fields
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import java.util.TreeMap
import java.util.concurrent.locks.LockSupport
import kotlin.math.min
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/**
 * A cloud API on loopback that pages its list, limits its request rate, responds late and fails as the protocol says.
 *
 * @property requestsPerSecond the rate above which requests are answered with 429; bursts of two seconds' worth pass
 * @property latency the time between a request and its response
 */
class StandInCloud(private val requestsPerSecond: Double, private val latency: Duration = 100.milliseconds) :
    AutoCloseable {
    /** A listed machine: its state in the protocol's form, by field name. */
    private val machines = TreeMap<String, Fields>()
    private val clock = TimeSource.Monotonic.markNow()
    private var tokens = requestsPerSecond * BURST_SECONDS
    private var tokensAt = Duration.ZERO
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "cloud", HANDLER_THREADS, ::serve)

    val address: String get() = "127.0.0.1:${listener.port}"

    /** Whether every request is answered with 503. */
    @Volatile
    var isDown = false

    /** Called with the names of the machines of each executed deletion. */
    @Volatile
    var onDeleted: (List<String>) -> Unit = {}

    /** The number of requests that exceeded the rate. */
    @Volatile
    var refusedRequests = 0
        private set

    /** The number of executed requests for pages of the list. */
    @Volatile
    var servedPages = 0
        private set

    @Synchronized
    fun add(machine: String, address: String) {
        machines[machine] =
            mapOf(
                "uid" to machine, "addr" to address, "frame" to "big", "hall" to "here", "loaners" to false,
                "stage" to "running", "held_s" to 100.0,
            )
    }

    /** Whether the machine has not been deleted. */
    @Synchronized
    fun has(machine: String): Boolean = machine in machines

    private fun serve(request: Request): Response {
        if (!takeToken()) return cborResponse(Status.TOO_MANY_REQUESTS, emptyMap())
        LockSupport.parkNanos(latency.inWholeNanoseconds)
        if (isDown) return cborResponse(Status.SERVICE_UNAVAILABLE, mapOf("error" to "trouble"))
        return when (request.uri.path) {
            "/hosts/delete" -> delete(request)
            "/hosts" -> page(request)
            else -> cborResponse(Status.BAD_REQUEST, emptyMap())
        }
    }

    @Synchronized
    private fun takeToken(): Boolean {
        val now = clock.elapsedNow()
        val refilled = tokens + (now - tokensAt).toDouble(DurationUnit.SECONDS) * requestsPerSecond
        tokens = min(requestsPerSecond * BURST_SECONDS, refilled)
        tokensAt = now
        if (tokens < 1) {
            refusedRequests++
            return false
        }
        tokens--
        return true
    }

    @Suppress("UNCHECKED_CAST")
    private fun delete(request: Request): Response {
        val names = Cbor.decodeMap(request.body.stream.readAllBytes())["spindles"] as List<String>
        if (names.size > MAX_DELETED) return cborResponse(Status.BAD_REQUEST, emptyMap())
        synchronized(this) { names.forEach(machines::remove) }
        onDeleted(names)
        return cborResponse(Status.OK, emptyMap())
    }

    @Synchronized
    private fun page(request: Request): Response {
        val size = min(request.query("page")?.toInt() ?: MAX_PAGE, MAX_PAGE)
        val rows = machines.tailMap(request.query("after").orEmpty(), false).values
        servedPages++
        return cborResponse(Status.OK, mapOf("spindles" to rows.take(size), "has_next" to (rows.size > size)))
    }

    override fun close() = listener.close()

    private companion object {
        const val BURST_SECONDS = 2
        const val MAX_DELETED = 100
        const val MAX_PAGE = 500
        const val HANDLER_THREADS = 64
    }
}
