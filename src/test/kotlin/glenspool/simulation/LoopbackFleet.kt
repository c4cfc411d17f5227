package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.http.cbor
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.WorkerWire
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

/** Workers and a cloud on loopback, as the protocol describes them, with tasks that take a moment each. */
class LoopbackFleet(
    workers: Int,
    private val nodes: () -> Map<String, String>,
    private val history: JobHistory,
    private val heartbeatInterval: Duration = REPORT,
    private val lease: Duration = LEASE,
    private val runTime: Duration = RUN_TIME,
    private val now: () -> Duration,
) : AutoCloseable {
    private val http = HttpCaller(500.milliseconds)
    private val timer = Executors.newScheduledThreadPool(minOf(workers, REPORTERS))
    private val workers = ConcurrentHashMap<String, Worker>()
    private val cloud = HttpListener(InetSocketAddress("127.0.0.1", 0), "cloud", 4, ::serveCloud)
    val cloudPort get() = cloud.port

    init {
        repeat(workers) { n -> Worker("i-%06d".format(n + 1), n).let { this.workers[it.name] = it } }
        val period = heartbeatInterval.inWholeMilliseconds
        this.workers.values.forEachIndexed {
            n,
            w,
            ->
            timer.scheduleAtFixedRate(w::heartbeat, 100 + period * n / workers, period, TimeUnit.MILLISECONDS)
        }
    }

    /** What a worker carried out, as it saw it. */
    data class CarriedOut(val at: Duration, val verb: String, val machine: String, val key: TaskKey)

    /** Starts and stops that changed something. */
    val carriedOut = ConcurrentLinkedQueue<CarriedOut>()

    /** What the cloud was asked for: machines to rent, machines to delete. */
    val rented = AtomicInteger()
    val deleted = AtomicInteger()

    val names: List<String> get() = workers.keys.sorted()

    fun tasksOn(machine: String): List<TaskKey> = workers.getValue(machine).running()

    /** A task that nobody ordered is on the machine. */
    fun plant(machine: String, key: TaskKey, attempt: Long) = workers.getValue(machine).plant(key, attempt)

    /** The machine's lease ends, with all that is on it. */
    fun loseLease(machine: String) = workers.getValue(machine).loseLease()

    /** The machine sends no reports; questions and commands still reach it. */
    fun mute(machine: String, silent: Boolean) {
        workers.getValue(machine).silent = silent
    }

    private class RunningTask(val attempt: Long, val until: Duration, var exit: ExitReason? = null)

    private inner class Worker(val name: String, private var turn: Int) {
        private val tasks = HashMap<TaskKey, RunningTask>()
        private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), name, 2, ::serve)
        private var incarnation = 1L
        private var sequence = 0L
        private var token = 0L
        private var leaseBegan = now()
        private var node: String? = null

        @Volatile
        var silent = false

        @Synchronized
        fun running(): List<TaskKey> = tasks.filterValues { it.exit == null }.keys.toList()

        @Synchronized
        fun plant(key: TaskKey, attempt: Long) {
            tasks[key] = RunningTask(attempt, Duration.INFINITE)
        }

        @Synchronized
        fun loseLease() = endSession()

        @Synchronized
        fun describe(): Heartbeat {
            for ((key, task) in tasks) if (task.exit == null && now() >= task.until) leave(key, task, ExitReason.DONE)
            val reported =
                tasks.map { (key, task) ->
                    TaskStatus(
                        key, task.attempt,
                        if (task.exit ==
                            null
                        ) {
                            TaskState.RUNNING
                        } else {
                            TaskState.EXITED
                        },
                        task.exit, false,
                    )
                }
            return Heartbeat(name, "127.0.0.1:${listener.port}", "big", "here", false, incarnation, ++sequence, token, null, reported)
        }

        private fun leave(key: TaskKey, task: RunningTask, exit: ExitReason) {
            task.exit = exit
            history.add { HistoryEvent.Left(it, key.job, name, exit == ExitReason.DONE) }
        }

        /** A worker that is sent on reports there at once. */
        fun heartbeat() {
            if (reportOnce() && !silent) reportOnce()
        }

        private fun reportOnce(): Boolean {
            if (silent) return false
            val addresses = nodes()
            val sent = now()
            val heartbeat = describe()
            val to = addresses[node] ?: addresses.values.toList().let { it[turn++ % it.size] }
            val answer = http.post(to, "/checkin", WorkerWire.encode(heartbeat), 2.seconds)
            synchronized(this) { take(answer, heartbeat, sent) }
            return (answer as? CallResult.Answer)?.status == MISDIRECTED
        }

        private fun take(answer: CallResult, heartbeat: Heartbeat, sent: Duration) {
            val body = (answer as? CallResult.Answer)?.body
            when ((answer as? CallResult.Answer)?.status) {
                OK ->
                    if (heartbeat.incarnation == incarnation && (body?.get("baton") as? Long ?: 0) >= token) {
                        leaseBegan = sent
                        obey(checkNotNull(body))
                    }
                MISDIRECTED -> node = body?.get("foreman") as? String
                else -> node = null
            }
            if (now() - leaseBegan > lease) endSession()
        }

        private fun endSession() {
            tasks.forEach { (key, task) -> if (task.exit == null) leave(key, task, ExitReason.STOPPED) }
            tasks.clear()
            incarnation++
            leaseBegan = now()
        }

        @Suppress("UNCHECKED_CAST")
        private fun obey(body: Fields) {
            token = maxOf(token, body["baton"] as Long)
            for (order in body["orders"] as List<Fields>) {
                val (job, task) = (order["thread"] as String).split('/')
                carryOut(order["verb"] as String, TaskKey(job, task.toInt()), order["try"] as Long)
            }
        }

        private fun carryOut(verb: String, key: TaskKey, attempt: Long) {
            val known = tasks[key]
            when {
                verb == "run" && known == null -> {
                    tasks[key] = RunningTask(attempt, now() + runTime)
                    carriedOut.add(CarriedOut(now(), verb, name, key))
                    history.add { HistoryEvent.Started(it, key.job, name) }
                }
                known == null || known.attempt != attempt -> Unit
                verb == "stop" ->
                    if (known.exit == null) {
                        carriedOut.add(CarriedOut(now(), verb, name, key))
                        leave(key, known, ExitReason.STOPPED)
                    }
                verb == "clear" -> if (known.exit != null) tasks.remove(key)
            }
        }

        private fun serve(request: Request): Response {
            if (request.uri.path == "/show") return cbor(Status.OK, WorkerWire.encode(describe()))
            val body = Cbor.decodeMap(request.body.stream.readAllBytes())
            val executed =
                synchronized(this) {
                    (body["baton"] as Long >= token && body["shift"] as Long == incarnation).also { if (it) obey(body) }
                }
            return cbor(if (executed) Status.OK else Status.CONFLICT, WorkerWire.encode(describe()))
        }

        @Synchronized
        fun delete() {
            endSession()
            listener.close()
        }

        fun listed(): Fields =
            mapOf(
                "uid" to name, "addr" to "127.0.0.1:${listener.port}", "frame" to "big", "hall" to "here",
                "loaners" to false, "stage" to "running", "held_s" to 100.0,
            )
    }

    @Suppress("UNCHECKED_CAST")
    private fun serveCloud(request: Request): Response =
        when {
            request.uri.path == "/flavors" -> cbor(Status.OK, mapOf("frames" to listOf(machineType)))
            request.uri.path == "/hosts/delete" -> {
                val names = Cbor.decodeMap(request.body.stream.readAllBytes())["spindles"] as List<String>
                deleted.addAndGet(names.size)
                names.forEach { workers.remove(it)?.delete() }
                cbor(Status.OK, emptyMap())
            }
            request.method.name == "POST" -> {
                rented.incrementAndGet()
                cbor(Status.SERVICE_UNAVAILABLE, mapOf("error" to "no capacity"))
            }
            else ->
                cbor(
                    Status.OK,
                    mapOf(
                        "spindles" to workers.values.sortedBy { it.name }.map { it.listed() },
                        "has_next" to false,
                    ),
                )
        }

    val size: Int get() = workers.size

    override fun close() {
        timer.shutdownNow()
        timer.awaitTermination(3, TimeUnit.SECONDS)
        workers.values.forEach { it.delete() }
        cloud.close()
    }

    companion object {
        val REPORT = 250.milliseconds
        val LEASE = 8.seconds
        val RUN_TIME = 300.milliseconds

        /** Threads that send reports. */
        private const val REPORTERS = 32
        private const val OK = 200
        private const val MISDIRECTED = 421
        private val machineType =
            mapOf(
                "name" to "big", "cpus" to 16.0, "accelerators" to 4.0, "memory_gb" to 64.0, "local_gb" to 100.0,
                "fetch_gb_per_s" to 1.0,
                "price" to 8.0, "spot_price" to 2.0, "startup_s" to 20.0, "halls" to listOf("here"),
            )
    }
}
