package glenspool.simulation

import glenspool.core.model.TaskKey
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.wire.Cbor
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Simulated workers and a simulated cloud that implement their protocols over loopback sockets.
 *
 * @property nodes returns the addresses of the controllers by name
 * @property runTime the run time of each task
 */
class LoopbackFleet(
    workers: Int,
    internal val nodes: () -> Map<String, String>,
    internal val history: JobHistory,
    heartbeatInterval: Duration = HEARTBEAT_INTERVAL,
    internal val lease: Duration = LEASE_DURATION,
    internal val runTime: Duration = TASK_RUN_TIME,
    internal val now: () -> Duration,
) : AutoCloseable {
    /** A command that a worker executed. */
    data class ExecutedCommand(val at: Duration, val verb: String, val machine: String, val key: TaskKey)

    /** The start and stop commands that changed the state of a task. */
    val executedCommands = ConcurrentLinkedQueue<ExecutedCommand>()

    /** The number of requests to the cloud for more machines. */
    val rentRequests = AtomicInteger()

    /** The number of machines that the cloud was asked to delete. */
    val deletedMachines = AtomicInteger()

    internal val http = HttpClient(500.milliseconds)
    private val heartbeatTimer = Executors.newScheduledThreadPool(minOf(workers, MAX_HEARTBEAT_THREADS))
    private val workers = ConcurrentHashMap<String, LoopbackWorker>()
    private val cloud = HttpListener(InetSocketAddress("127.0.0.1", 0), "cloud", 4, ::serveCloud)
    val cloudPort get() = cloud.port

    val names: List<String> get() = workers.keys.sorted()
    val size: Int get() = workers.size

    init {
        repeat(workers) { number ->
            val name = "i-%06d".format(number + 1)
            this.workers[name] = LoopbackWorker(name, number, this)
        }
        val period = heartbeatInterval.inWholeMilliseconds
        this.workers.values.forEachIndexed { number, worker ->
            val delay = 100 + period * number / workers
            heartbeatTimer.scheduleAtFixedRate(worker::sendHeartbeat, delay, period, TimeUnit.MILLISECONDS)
        }
    }

    internal fun recordCommand(verb: String, machine: String, key: TaskKey) {
        executedCommands.add(ExecutedCommand(now(), verb, machine, key))
    }

    /** Returns the tasks that run on the machine. */
    fun tasksOn(machine: String): List<TaskKey> = workers.getValue(machine).running()

    /** Adds to the machine a running task that no controller has ordered. */
    fun addUnorderedTask(machine: String, key: TaskKey, attempt: Long) =
        workers.getValue(machine).addUnorderedTask(key, attempt)

    /** Lets the lease of the machine expire, which ends all of its tasks. */
    fun expireLease(machine: String) = workers.getValue(machine).expireLease()

    /** Sets whether the machine sends no heartbeats. It still receives probes and commands. */
    fun setSilent(machine: String, silent: Boolean) {
        workers.getValue(machine).silent = silent
    }

    private fun serveCloud(request: Request): Response =
        when {
            request.uri.path == "/flavors" -> cborResponse(Status.OK, mapOf("frames" to listOf(machineType)))
            request.uri.path == "/hosts/delete" -> delete(request)
            request.method.name == "POST" -> {
                rentRequests.incrementAndGet()
                cborResponse(Status.SERVICE_UNAVAILABLE, mapOf("error" to "no capacity"))
            }
            else -> {
                val machines = workers.values.sortedBy { it.name }.map { it.cloudEntry() }
                cborResponse(Status.OK, mapOf("spindles" to machines, "has_next" to false))
            }
        }

    @Suppress("UNCHECKED_CAST")
    private fun delete(request: Request): Response {
        val names = Cbor.decodeMap(request.body.stream.readAllBytes())["spindles"] as List<String>
        deletedMachines.addAndGet(names.size)
        names.forEach { workers.remove(it)?.delete() }
        return cborResponse(Status.OK, emptyMap())
    }

    override fun close() {
        heartbeatTimer.shutdownNow()
        heartbeatTimer.awaitTermination(3, TimeUnit.SECONDS)
        workers.values.forEach { it.delete() }
        cloud.close()
    }

    companion object {
        val HEARTBEAT_INTERVAL = 250.milliseconds
        val LEASE_DURATION = 8.seconds
        val TASK_RUN_TIME = 300.milliseconds

        /** The maximum number of threads that send heartbeats. */
        private const val MAX_HEARTBEAT_THREADS = 32
        private val machineType =
            mapOf(
                "name" to "big", "cpus" to 16.0, "accelerators" to 4.0, "memory_gb" to 64.0, "local_gb" to 100.0,
                "fetch_gb_per_s" to 1.0, "price" to 8.0, "spot_price" to 2.0, "startup_s" to 20.0,
                "halls" to listOf("here"),
            )
    }
}
