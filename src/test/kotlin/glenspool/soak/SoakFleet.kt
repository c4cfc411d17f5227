package glenspool.soak

import glenspool.core.model.ExitReason
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.simulation.PlannedEnd
import glenspool.simulation.TaskSlot
import glenspool.wire.Cbor
import glenspool.wire.Fields
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** All stand-in workers and the stand-in cloud that rents, lists and deletes them. */
internal class SoakFleet(
    val settings: SoakSettings,
    val history: SoakHistory,
    private val nodeAddresses: () -> Map<String, String>,
) : AutoCloseable {
    private val random = Random(settings.seed)
    private val workers = ConcurrentSkipListMap<String, SoakWorker>()
    private val rentedByRequest = ConcurrentHashMap<String, List<String>>()
    private val timer = Executors.newScheduledThreadPool(HEARTBEAT_THREADS) { Thread(it).apply { isDaemon = true } }
    private val copyTimer = Executors.newScheduledThreadPool(1) { Thread(it).apply { isDaemon = true } }
    private val http = HttpClient(CONNECT_TIMEOUT)
    private val listener = WorkerListener(this)
    private val rateLimit = RequestRate(SoakSettings.CLOUD_RPS)
    private val cloud = HttpListener(InetSocketAddress("127.0.0.1", 0), "cloud", CLOUD_THREADS, ::serveCloud)
    private var created = 0

    /** The run time of each job's tasks. */
    val runTimes = ConcurrentHashMap<String, Duration>()

    /** The cloud answers 503 until this time. */
    @Volatile
    var cloudRefusesUntil = Duration.ZERO

    /** How long the cloud takes for an answer. */
    @Volatile
    var cloudLatency = USUAL_LATENCY

    val now: Duration get() = history.now
    val cloudAddress: String get() = "127.0.0.1:${cloud.port}"
    val size: Int get() = workers.size

    init {
        repeat(settings.workers) { create() }
    }

    @Synchronized
    private fun create(): String {
        val number = ++created
        val name = "i-%06d".format(number)
        val worker = SoakWorker(name, listener.open(number), this)
        workers[name] = worker
        listener.register(worker)
        val period = settings.heartbeatInterval.inWholeMilliseconds
        timer.scheduleWithFixedDelay(worker::heartbeat, random.nextLong(period), period, TimeUnit.MILLISECONDS)
        return name
    }

    /** Applies trouble to [count] random workers. */
    fun troubleWorkers(count: Int, random: Random, apply: (SoakWorker) -> Unit) =
        workers.values.shuffled(random).take(count).forEach(apply)

    /** The states of the machines, for the report of a violation. */
    fun describe(machines: Set<String>): List<String> = machines.map { workers[it]?.describe() ?: "$it (deleted)" }

    /** When a task that starts now ends by itself. Some tasks fail at once. */
    internal fun plannedEnd(slot: TaskSlot): PlannedEnd {
        val fails = Random(settings.seed xor slot.hashCode().toLong()).nextDouble() < FAILING_SHARE
        if (fails) return PlannedEnd(now + FAILURE_DELAY, ExitReason.ERROR)
        return PlannedEnd(now + (runTimes[slot.job] ?: 1.seconds), ExitReason.DONE)
    }

    /** Lets a copy of a request that the worker has executed arrive again, with some probability. */
    internal fun planCopy(worker: SoakWorker, body: Fields) {
        val draw = Random(settings.seed xor body.hashCode().toLong())
        if (draw.nextDouble() >= COPIED_SHARE) return
        val longest = if (draw.nextBoolean()) SHORT_COPY_DELAY else settings.lease * LONGEST_COPY_DELAY_LEASES
        deliverCopyAfter(longest * draw.nextDouble(), worker, body)
    }

    private fun deliverCopyAfter(delay: Duration, worker: SoakWorker, body: Fields) {
        val delivery =
            Runnable {
                val heldUntil = worker.heldUntil()
                if (heldUntil == null) worker.receiveCopy(body) else deliverCopyAfter(heldUntil - now, worker, body)
            }
        copyTimer.schedule(delivery, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    /** Sends a heartbeat. Returns null if there was no response. */
    fun sendHeartbeat(node: String, body: Fields): CallResult.Response? {
        val address = nodeAddresses()[node] ?: return null
        return http.post(address, "/checkin", body, HEARTBEAT_TIMEOUT) as? CallResult.Response
    }

    private fun serveCloud(request: Request): Response {
        if (!rateLimit.take()) return cborResponse(Status.TOO_MANY_REQUESTS, emptyMap())
        LockSupport.parkNanos(cloudLatency.inWholeNanoseconds)
        if (now < cloudRefusesUntil) return cborResponse(Status.SERVICE_UNAVAILABLE, mapOf("error" to "trouble"))
        return when {
            request.uri.path == "/flavors" -> cborResponse(Status.OK, mapOf("frames" to listOf(machineType)))
            request.uri.path == "/hosts/delete" -> delete(request)
            request.method == Method.POST -> rent(request)
            else -> list(request)
        }
    }

    private fun rent(request: Request): Response {
        val body = Cbor.decodeMap(request.body.stream.readAllBytes())
        val rented =
            rentedByRequest.computeIfAbsent(body["hire"] as String) {
                val room = settings.workers + settings.workers / 2 - workers.size
                List(minOf((body["number"] as Long).toInt(), maxOf(room, 0))) { create() }
            }
        if (rented.isEmpty()) return cborResponse(Status.SERVICE_UNAVAILABLE, mapOf("error" to "no capacity"))
        return cborResponse(Status.OK, mapOf("spindles" to rented))
    }

    @Suppress("UNCHECKED_CAST")
    private fun delete(request: Request): Response {
        val names = Cbor.decodeMap(request.body.stream.readAllBytes())["spindles"] as List<String>
        if (names.size > MAX_DELETED) return cborResponse(Status.BAD_REQUEST, emptyMap())
        for (name in names) {
            val worker = workers.remove(name) ?: continue
            history.event("deleted $name")
            worker.delete()
        }
        return cborResponse(Status.OK, emptyMap())
    }

    private fun list(request: Request): Response {
        val size = minOf(request.query("page")?.toInt() ?: MAX_PAGE, MAX_PAGE)
        val rows = workers.tailMap(request.query("after").orEmpty(), false).values.take(size + 1)
        val page = rows.take(size).map { it.cloudEntry() }
        return cborResponse(Status.OK, mapOf("spindles" to page, "has_next" to (rows.size > size)))
    }

    override fun close() {
        timer.shutdownNow()
        copyTimer.shutdownNow()
        listener.close()
        cloud.close()
    }

    private companion object {
        const val HEARTBEAT_THREADS = 48
        const val CLOUD_THREADS = 32
        const val MAX_DELETED = 100
        const val MAX_PAGE = 500
        const val FAILING_SHARE = 0.15
        const val COPIED_SHARE = 0.4
        const val LONGEST_COPY_DELAY_LEASES = 4.0
        val SHORT_COPY_DELAY = 1.seconds
        val FAILURE_DELAY = 300.milliseconds
        val CONNECT_TIMEOUT = 800.milliseconds
        val HEARTBEAT_TIMEOUT = 4.seconds
        val USUAL_LATENCY = 100.milliseconds
        val machineType =
            mapOf(
                "name" to "big", "cpus" to 16.0, "accelerators" to 4.0, "memory_gb" to 64.0, "local_gb" to 100.0,
                "fetch_gb_per_s" to 1.0, "price" to 8.0, "spot_price" to 2.0, "startup_s" to 20.0,
                "halls" to listOf("here"),
            )
    }
}
