package glenspool.cli

import glenspool.config.Member
import glenspool.config.SettingsReader
import glenspool.controller.RecoveryReplies
import glenspool.controller.schedulerConfig
import glenspool.core.Tuning
import glenspool.core.WarmUpFleet
import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.http.cbor
import glenspool.peer.CancellationMessage
import glenspool.peer.PeerClient
import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RelayRequest
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutVerb
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoverySetting
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
 * Runs a controller for a moment against canned answers on loopback, so that the build can archive the classes
 * which a real one loads. Start-up time is down time, and most of it is loading classes on a slow processor.
 */
object ClassLoadingRun {
    private const val SOCKETS = 1000
    private const val RECOVERY_TURNS = 40

    /** Until a leader is elected and has gone one round. */
    private val MANAGED = 1500.milliseconds
    private val ledger = AtomicLong(1)
    private val machineType =
        mapOf(
            "name" to "any", "cpus" to 8.0, "accelerators" to 1.0, "memory_gb" to 32.0, "local_gb" to 10.0,
            "fetch_gb_per_s" to 1.0,
            "price" to 1.0, "spot_price" to 0.5, "startup_s" to 1.0, "halls" to listOf("here"),
        )
    private val job =
        mapOf(
            "uid" to "run-000001", "lot" to "any", "crew" to "all", "weave" to "batch", "urgency" to "idle",
            "threads" to 2,
            "cpus" to 1.0, "accelerators" to 1.0, "memory_gb" to 1.0, "pattern" to "img", "size_gb" to 1.0,
            "frames" to null,
            "hall" to null,
            "same_place" to false, "apart" to false, "loaners" to true, "expected_s" to 1.0, "knot_s" to 0.0,
            "knotting_s" to 0.0, "due_s" to 5.0,
        )

    fun run(): Int {
        // What the log would say is made ready too, but nobody needs to read it.
        System.setErr(PrintStream(OutputStream.nullOutputStream()))
        // As in a real one, and before the first listener: the server reads it once.
        HttpListener.configure(SOCKETS)
        val outside = HttpListener(InetSocketAddress("127.0.0.1", 0), "canned", 8, ::canned)
        val api = freePort()
        val file = File.createTempFile("rehearsal", ".toml")
        try {
            val internal = freePort()
            file.writeText(settings(api, internal, outside.port, freePort()))
            begin(listOf("--config", file.path)).use {
                closing(it)
                play("127.0.0.1:$api", "127.0.0.1:${outside.port}")
                val member = Member("itself", "here", InetSocketAddress("127.0.0.1", internal))
                val itself = PeerClient(listOf(member))
                itself.statuses()
                itself
                    .exchange(
                        member,
                        CancellationMessage(
                            "itself", "0", 0,
                            listOf(
                                CancellationMessage
                                    .Entry("run-000001", 0, 0),
                            ),
                            0, 1, true, 0, 0, "0", 0,
                        ),
                    )
                itself.relay(RelayRequest("GET", "/api/jobs/run-000001", ByteArray(0)), 2.seconds)
            }
            managed(file, freePort(), freePort(), outside.port)
            recovered(file)
        } finally {
            outside.close()
            file.deleteOnExit()
        }
        return 0
    }

    /** Another start, with managed levels, up to where a leader has looked for evidence. */
    private fun managed(file: File, api: Int, internal: Int, outside: Int) {
        file.writeText(settings(api, internal, outside, freePort()))
        val policy = File.createTempFile("rehearsal", ".toml")
        try {
            begin(listOf("--config", file.path, "--rollout", policy.path, "--recovery", policy.path)).use {
                Thread.sleep(MANAGED.inWholeMilliseconds)
                HttpCaller(500.milliseconds)
                    .callRaw(
                        "POST", "127.0.0.1:$internal", PeerPaths.ROLLOUT,
                        PeerWire
                            .encode(RolloutRequest(RolloutVerb.STATUS)),
                        2.seconds,
                    )
            }
        } finally {
            policy.deleteOnExit()
        }
    }

    /** The core in a term that begins as a cold start, until its recovery is over. */
    private fun recovered(file: File) {
        val settings = SettingsReader().read(file)
        val config = schedulerConfig(settings, Tuning())
        val setting =
            RecoverySetting(settings.workers.lease, settings.workers.heartbeatInterval, settings.cloudLimits.listLag)
        val engine = RecoveryEngine(RecoveryPolicy(), setting, 2, Duration.ZERO, StartKind.COLD)
        val fleet = WarmUpFleet(config, engine.hooks)
        repeat(RECOVERY_TURNS) {
            fleet.turn()
            engine.tick(fleet.now).forEach { it.toString() }
        }
        engine.snapshot?.let { RecoveryReplies.differences(it) }
    }

    private fun play(addr: String, worker: String) {
        val http = HttpCaller(500.milliseconds)
        http.get("127.0.0.1:${freePort()}", "/nobody-listens", 1.seconds)
        Thread.sleep(700)
        http.post(addr, "/api/jobs", job, 2.seconds)
        http.post(addr, "/api/jobs", job + mapOf("uid" to "run-000003", "awaits" to listOf("run-000001")), 2.seconds)
        for (n in 1L..4L) {
            http.get(addr, "/ready", 2.seconds)
            http.get(addr, "/api/jobs/run-000001", 2.seconds)
            http.get(addr, "/api/jobs/run-000002", 2.seconds)
            http.post(addr, "/checkin", heartbeat(n, worker), 2.seconds)
            Thread.sleep(300)
        }
        http.post(addr, "/api/jobs/run-000001/withdraw", emptyMap(), 2.seconds)
        http.call("POST", addr, "/api/jobs", byteArrayOf(1), 2.seconds)
    }

    private fun heartbeat(n: Long, addr: String): Map<String, Any?> =
        mapOf(
            "spindle" to "i-1", "addr" to addr, "frame" to "any", "hall" to "here", "loaners" to false, "shift" to 1L,
            "stitch" to n,
            "baton" to 1L, "recall_s" to null,
            "threads" to
                listOf(
                    mapOf(
                        "thread" to "run-000001/0", "try" to 1,
                        "stage" to
                            if (n <
                                3
                            ) {
                                "running"
                            } else {
                                "ended"
                            },
                        "cause" to "done",
                    ),
                ),
        )

    private fun canned(r: Request): Response {
        val path = r.uri.path
        val body: Map<String, Any?> =
            when {
                path == "/flavors" -> mapOf("frames" to listOf(machineType))
                path == "/hosts" -> mapOf("spindles" to emptyList<Any>(), "has_next" to false)
                path == "/leases" -> mapOf("tenure" to 1)
                path == "/multi" -> mapOf("ledger" to ledger.incrementAndGet())
                path == "/follow" -> mapOf("ledger" to ledger.get(), "log" to changes())
                path == "/store" -> mapOf("rows" to emptyList<Any>(), "has_next" to false, "ledger" to 0)
                path.startsWith("/store/") -> return cbor(Status.NOT_FOUND, mapOf("ledger" to ledger.get()))
                path == "/do" || path == "/show" -> heartbeat(ledger.get() + 100, "127.0.0.1:9")
                else -> emptyMap()
            }
        if (r.method == Method.POST) Cbor.decodeMap(r.body.stream.readAllBytes())
        return cbor(Status.OK, body)
    }

    /** A job that is stored already, so that the core has something to place. */
    private fun changes(): List<Map<String, Any?>> =
        if (ledger.get() % 3 != 0L) {
            emptyList()
        } else {
            val waiting =
                mapOf(
                    "job" to job + ("uid" to "run-000002"), "awaits" to listOf("run-000001"),
                    "waits" to true,
                )
            listOf(
                mapOf(
                    "set" to "g/j/run-000001", "data" to mapOf("job" to job, "at" to 0, "last" to 0),
                    "mark" to ledger.get(),
                ),
                mapOf(
                    "set" to "g/j/run-000002", "data" to mapOf("sealed" to waiting, "at" to 0, "last" to 0),
                    "mark" to ledger.get(),
                ),
            )
        }

    private fun freePort(): Int = ServerSocket(0).use { it.localPort }

    private fun settings(api: Int, internal: Int, outside: Int, absent: Int) =
        """
        host_name = "rehearsal"
        location = "here"
        api_addr = "127.0.0.1:$api"
        internal_addr = "127.0.0.1:$internal"
        [[members]]
        host_name = "absent"
        location = "here"
        addr = "127.0.0.1:$absent"
        [[members]]
        host_name = "other"
        location = "here"
        addr = "127.0.0.1:$outside"
        [outside]
        cloud = "127.0.0.1:$outside"
        state = "127.0.0.1:$outside"
        [settings]
        initial_size = 1
        zones = ["here"]
        skew_ms = 5.0
        [[settings.teams]]
        name = "all"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [settings.workers]
        report_s = 1.0
        lease_s = 10.0
        gang_wait_s = 10.0
        gang_peer_s = 5.0
        cancel_s = 30.0
        [settings.state]
        rps = 100.0
        write_rps = 50.0
        value_kb = 16.0
        txn_ops = 16
        [settings.cloud]
        rps = 5.0
        list_lag_s = 1.0
        """.trimIndent()
}
