package glenspool.soak

import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.simulation.InMemoryStore
import glenspool.state.Keys
import glenspool.wire.Cbor
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The stand-in store: an [InMemoryStore] whose leases end in time, with a listener for each controller, so that it can
 * refuse one alone, be out for all, respond late, lose answers and carry transactions out late.
 */
internal class SoakStore(seed: Long, private val history: SoakHistory) : AutoCloseable {
    private val random = Random(seed)
    private val store = InMemoryStore()
    private val leaseLives = ConcurrentHashMap<Long, Duration>()
    private val leaseEnds = ConcurrentHashMap<Long, Duration>()
    private val timer = Executors.newScheduledThreadPool(2) { Thread(it).apply { isDaemon = true } }
    private val listeners =
        SoakSettings.NODES.associateWith { node ->
            HttpListener(InetSocketAddress("127.0.0.1", 0), "store", THREADS) { serve(node, it) }
        }

    /** Each controller gets 503 until its time. */
    val refusedUntil = ConcurrentHashMap<String, Duration>()

    /** All controllers get 503 until this time. */
    @Volatile
    var downUntil = Duration.ZERO

    /** Every answer takes this long. */
    @Volatile
    var latency = Duration.ZERO

    /** The share of transactions whose answer is lost; half of them are carried out seconds later. */
    @Volatile
    var lostShare = 0.0

    init {
        timer.scheduleWithFixedDelay(::endLeases, LEASE_CHECK_MILLIS, LEASE_CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    fun addressFor(node: String): String = "127.0.0.1:${listeners.getValue(node).port}"

    /** The node that the leadership record names; null if there is none. */
    fun leader(): String? = synchronized(store) { store.get("g/lead")?.value?.get("node") as String? }

    private fun isDown() = history.now < downUntil

    private fun serve(node: String, request: Request): Response {
        if (latency > Duration.ZERO) LockSupport.parkNanos(latency.inWholeNanoseconds)
        if (isDown() || history.now < (refusedUntil[node] ?: Duration.ZERO)) return unavailable()
        val path = request.uri.path
        return when {
            path == "/multi" -> transact(request)
            path == "/leases" -> newLease(request)
            request.method == Method.DELETE -> endLease(path.substringAfterLast('/').toLong())
            path.endsWith("/touch") -> touch(path.split('/')[2].toLong(), request)
            else -> store.serve(request)
        }
    }

    private fun transact(request: Request): Response {
        val bytes = request.body.stream.readAllBytes()
        if (Cbor.jsonSizeBytes(Cbor.decodeMap(bytes)) > MAX_TRANSACTION_BYTES) {
            return cborResponse(Status.BAD_REQUEST, mapOf("error" to "too large"))
        }
        val repeatable = request.body(Body(ByteBuffer.wrap(bytes)))
        if (random.nextDouble() >= lostShare) return store.serve(repeatable).also { planCopy(it, bytes, request) }
        if (random.nextBoolean()) {
            store.serve(repeatable)
        } else {
            val delay = random.nextLong(MIN_LATE_MILLIS, MAX_LATE_MILLIS)
            timer.schedule({ store.serve(request.body(Body(ByteBuffer.wrap(bytes)))) }, delay, TimeUnit.MILLISECONDS)
        }
        // The controller gives up before this answer is sent.
        LockSupport.parkNanos(LOST_ANSWER_DELAY.inWholeNanoseconds)
        return unavailable()
    }

    /** Lets a copy of a transaction that was carried out arrive later; it must not change anything but hints. */
    private fun planCopy(answer: Response, bytes: ByteArray, request: Request) {
        if (answer.status.code != OK || random.nextDouble() >= COPIED_SHARE) return
        val delay = random.nextLong(MAX_COPY_DELAY_MILLIS)
        timer.schedule({ executeCopy(bytes, request) }, delay, TimeUnit.MILLISECONDS)
    }

    @Suppress("UNCHECKED_CAST")
    private fun executeCopy(bytes: ByteArray, request: Request) {
        if (isDown()) return
        val changes = Cbor.decodeMap(bytes)["apply"] as? List<Map<String, Any?>> ?: return
        val keys = changes.mapNotNull { it["set"] as? String }.filter { !it.startsWith(Keys.IMAGES) }
        val isExecuted = store.serve(request.body(Body(ByteBuffer.wrap(bytes)))).status.code == OK
        if (isExecuted && keys.isNotEmpty()) history.violation("repeated_transaction", "a copy changed $keys")
    }

    private fun newLease(request: Request): Response {
        val life = (Cbor.decodeMap(request.body.stream.readAllBytes())["life_ms"] as Long).milliseconds
        val lease = synchronized(store) { store.newLease() }
        leaseLives[lease] = life
        leaseEnds[lease] = history.now + life
        return cborResponse(Status.OK, mapOf("tenure" to lease))
    }

    private fun touch(lease: Long, request: Request): Response {
        val reply = store.serve(request)
        if (reply.status == Status.OK ||
            reply.status.code == OK
        ) {
            leaseEnds[lease] = history.now + leaseLives.getValue(lease)
        }
        return reply
    }

    private fun endLease(lease: Long): Response {
        leaseEnds.remove(lease)
        store.endLease(lease)
        return cborResponse(Status.OK, emptyMap())
    }

    /** Ends the leases that were not renewed. In an outage none ends, and after it each has its full time again. */
    private fun endLeases() {
        if (isDown()) leaseEnds.replaceAll { lease, _ -> history.now + leaseLives.getValue(lease) }
        leaseEnds.filterValues { it < history.now }.keys.forEach(::endLease)
    }

    private fun unavailable() = cborResponse(Status.SERVICE_UNAVAILABLE, mapOf("error" to "trouble"))

    override fun close() {
        timer.shutdownNow()
        listeners.values.forEach { it.close() }
    }

    private companion object {
        const val OK = 200
        const val THREADS = 64
        const val LEASE_CHECK_MILLIS = 50L
        const val MAX_TRANSACTION_BYTES = 64 * 1024
        const val MIN_LATE_MILLIS = 2_000L
        const val MAX_LATE_MILLIS = 12_000L
        const val COPIED_SHARE = 0.2
        const val MAX_COPY_DELAY_MILLIS = 40_000L
        val LOST_ANSWER_DELAY = 3.seconds
    }
}
