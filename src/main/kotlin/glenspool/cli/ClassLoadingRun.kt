package glenspool.cli

import glenspool.config.Member
import glenspool.config.SettingsReader
import glenspool.controller.RecoveryReplies
import glenspool.controller.schedulerConfig
import glenspool.core.Tuning
import glenspool.core.WarmUpFleet
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.peer.CancellationMessage
import glenspool.peer.PeerClient
import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RelayRequest
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutVerb
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoveryTimings
import glenspool.reconcile.StartKind
import glenspool.wire.Cbor
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.io.File
import java.io.OutputStream
import java.io.PrintStream
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs a controller briefly against simulated counterparts on loopback, so that the build can archive the classes
 * that a controller loads (see pom.xml). A controller is not available while it starts, and on a slow processor most of
 * the start is class loading, which the archive shortens.
 */
internal object ClassLoadingRun {
    private const val MAX_SOCKETS = 1000
    private const val LOOPBACK = "127.0.0.1"
    private const val HEARTBEAT_COUNT = 4L

    /** Cycles of the simulated fleet after which a recovery has ended. */
    private const val RECOVERY_CYCLES = 40

    /** Time after which a leader is elected. */
    private val ELECTION_TIME = 700.milliseconds

    /** Time after which a leader is elected and has completed one round of a managed rollout. */
    private val MANAGED_ROLLOUT_TIME = 1500.milliseconds
    private val HEARTBEAT_INTERVAL = 300.milliseconds
    private val CONNECT_TIMEOUT = 500.milliseconds
    private val TIMEOUT = 2.seconds

    fun run(): Int {
        // Discards the log output. The lines are still formatted, because formatting loads classes too.
        System.setErr(PrintStream(OutputStream.nullOutputStream()))
        // Set before the first listener is created, as in `serve`, because a listener reads the limit only once.
        HttpListener.setSocketLimit(MAX_SOCKETS)
        val counterparts = HttpListener(InetSocketAddress(LOOPBACK, 0), "canned", 8, SimulatedCounterparts::answer)
        val settingsFile = File.createTempFile("class-loading", ".toml")
        try {
            runServing(settingsFile, counterparts.port)
            runManaged(settingsFile, counterparts.port)
            runRecovery(settingsFile)
        } finally {
            counterparts.close()
            settingsFile.deleteOnExit()
        }
        return ExitCode.OK
    }

    /** Runs a controller that serves users, a worker and another controller. */
    private fun runServing(settingsFile: File, simulatedPort: Int) {
        val apiPort = freePort()
        val internalPort = freePort()
        settingsFile.writeText(ClassLoadingSettings.toml(apiPort, internalPort, simulatedPort, freePort()))
        ServeCommand.start(listOf("--config", settingsFile.path)).use { node ->
            ServeCommand.shutdownHook(node)
            sendUserAndWorkerRequests("$LOOPBACK:$apiPort", "$LOOPBACK:$simulatedPort")
            sendPeerRequests(Member("itself", "here", InetSocketAddress(LOOPBACK, internalPort)))
        }
    }

    private fun sendUserAndWorkerRequests(api: String, workerAddress: String) {
        val http = HttpClient(CONNECT_TIMEOUT)
        http.get("$LOOPBACK:${freePort()}", "/nobody-listens", 1.seconds)
        Thread.sleep(ELECTION_TIME.inWholeMilliseconds)
        val job = SimulatedCounterparts.job
        http.post(api, "/api/jobs", job, TIMEOUT)
        http.post(api, "/api/jobs", job + mapOf("uid" to "run-000003", "awaits" to listOf("run-000001")), TIMEOUT)
        for (number in 1..HEARTBEAT_COUNT) {
            http.get(api, "/ready", TIMEOUT)
            http.get(api, "/api/jobs/run-000001", TIMEOUT)
            http.get(api, "/api/jobs/run-000002", TIMEOUT)
            http.post(api, "/checkin", SimulatedCounterparts.heartbeat(number, workerAddress), TIMEOUT)
            Thread.sleep(HEARTBEAT_INTERVAL.inWholeMilliseconds)
        }
        http.post(api, "/api/jobs/run-000001/withdraw", emptyMap(), TIMEOUT)
        http.call("POST", api, "/api/jobs", byteArrayOf(1), TIMEOUT)
    }

    private fun sendPeerRequests(member: Member) {
        val client = PeerClient(listOf(member))
        client.statuses()
        val entry = CancellationMessage.Entry("run-000001", 0, 0)
        client.exchange(
            member,
            CancellationMessage("itself", "0", 0, listOf(entry), 0, 1, true, 0, 0, "0", 0),
        )
        client.relay(RelayRequest("GET", "/api/jobs/run-000001", ByteArray(0)), TIMEOUT)
    }

    /** Runs a controller with managed rollouts and recovery until a leader has collected evidence for a rollout. */
    private fun runManaged(settingsFile: File, simulatedPort: Int) {
        val apiPort = freePort()
        val internalPort = freePort()
        settingsFile.writeText(ClassLoadingSettings.toml(apiPort, internalPort, simulatedPort, freePort()))
        val policyFile = File.createTempFile("class-loading", ".toml")
        val args =
            listOf("--config", settingsFile.path, "--rollout", policyFile.path, "--recovery", policyFile.path)
        try {
            ServeCommand.start(args).use {
                Thread.sleep(MANAGED_ROLLOUT_TIME.inWholeMilliseconds)
                val request = PeerWire.encode(RolloutRequest(RolloutVerb.STATUS))
                val node = "$LOOPBACK:$internalPort"
                HttpClient(CONNECT_TIMEOUT).callRaw("POST", node, PeerPaths.ROLLOUT, request, TIMEOUT)
            }
        } finally {
            policyFile.deleteOnExit()
        }
    }

    /** Runs the scheduler from a simulated cold start until its recovery has ended. */
    private fun runRecovery(settingsFile: File) {
        val settings = SettingsReader().read(settingsFile)
        val config = schedulerConfig(settings, Tuning())
        val timings =
            RecoveryTimings(
                settings.workers.lease,
                settings.workers.heartbeatInterval,
                settings.cloudLimits.listLag,
            )
        val engine = RecoveryEngine(RecoveryPolicy(), timings, 2, Duration.ZERO, StartKind.COLD)
        val fleet = WarmUpFleet(config, engine.hooks)
        repeat(RECOVERY_CYCLES) {
            fleet.runCycle()
            engine.tick(fleet.now).forEach { it.toString() }
        }
        engine.snapshot?.let { RecoveryReplies.differences(it) }
    }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }
}

/** Simulates the cloud, the key-value store and a worker with the few responses that a controller needs to proceed. */
private object SimulatedCounterparts {
    /** Added to the numbers of the worker's replies to commands, which are thus higher than those of its heartbeats. */
    private const val HEARTBEAT_OFFSET = 100L

    /** The jobs are reported as changed at each revision that is a multiple of this number. */
    private const val CHANGE_INTERVAL_REVISIONS = 3L

    /** Number of the first heartbeat that reports the task as ended. */
    private const val ENDED_AT_HEARTBEAT = 3

    /** Increases with each write, like the revision of the key-value store. */
    private val revision = AtomicLong(1)
    private val machineType =
        mapOf(
            "name" to "any", "cpus" to 8.0, "accelerators" to 1.0, "memory_gb" to 32.0, "local_gb" to 10.0,
            "fetch_gb_per_s" to 1.0, "price" to 1.0, "spot_price" to 0.5, "startup_s" to 1.0,
            "halls" to listOf("here"),
        )
    val job: Map<String, Any?> =
        mapOf(
            "uid" to "run-000001", "lot" to "any", "crew" to "all", "weave" to "batch", "urgency" to "idle",
            "threads" to 2, "cpus" to 1.0, "accelerators" to 1.0, "memory_gb" to 1.0, "pattern" to "img",
            "size_gb" to 1.0, "frames" to null, "hall" to null, "same_place" to false, "apart" to false,
            "loaners" to true, "expected_s" to 1.0, "knot_s" to 0.0, "knotting_s" to 0.0, "due_s" to 5.0,
        )

    fun answer(request: Request): Response {
        val path = request.uri.path
        val body: Map<String, Any?> =
            when {
                path == "/flavors" -> mapOf("frames" to listOf(machineType))
                path == "/hosts" -> mapOf("spindles" to emptyList<Any>(), "has_next" to false)
                path == "/leases" -> mapOf("tenure" to 1)
                path == "/multi" -> mapOf("ledger" to revision.incrementAndGet())
                path == "/follow" -> mapOf("ledger" to revision.get(), "log" to changes())
                path == "/store" -> mapOf("rows" to emptyList<Any>(), "has_next" to false, "ledger" to 0)
                path.startsWith("/store/") -> return cborResponse(Status.NOT_FOUND, mapOf("ledger" to revision.get()))
                path == "/do" || path == "/show" -> heartbeat(revision.get() + HEARTBEAT_OFFSET, "127.0.0.1:9")
                else -> emptyMap()
            }
        if (request.method == Method.POST) Cbor.decodeMap(request.body.stream.readAllBytes())
        return cborResponse(Status.OK, body)
    }

    /** Returns a heartbeat of a worker whose task is running at first and has ended from [ENDED_AT_HEARTBEAT] on. */
    fun heartbeat(number: Long, workerAddress: String): Map<String, Any?> {
        val stage = if (number < ENDED_AT_HEARTBEAT) "running" else "ended"
        val task = mapOf("thread" to "run-000001/0", "try" to 1, "stage" to stage, "cause" to "done")
        return mapOf(
            "spindle" to "i-1", "addr" to workerAddress, "frame" to "any", "hall" to "here", "loaners" to false,
            "shift" to 1L, "stitch" to number, "baton" to 1L, "recall_s" to null, "threads" to listOf(task),
        )
    }

    /** Returns two stored jobs at some revisions, so that the scheduler has tasks to place, and nothing at others. */
    private fun changes(): List<Map<String, Any?>> {
        val current = revision.get()
        if (current % CHANGE_INTERVAL_REVISIONS != 0L) return emptyList()
        val dependent =
            mapOf("job" to job + ("uid" to "run-000002"), "awaits" to listOf("run-000001"), "waits" to true)
        return listOf(
            change("run-000001", "job" to job, current),
            change("run-000002", "sealed" to dependent, current),
        )
    }

    private fun change(id: String, record: Pair<String, Any?>, revision: Long): Map<String, Any?> =
        mapOf("set" to "g/j/$id", "data" to mapOf(record, "at" to 0, "last" to 0), "mark" to revision)
}
