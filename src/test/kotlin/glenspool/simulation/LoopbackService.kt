package glenspool.simulation

import glenspool.config.SettingsReader
import glenspool.controller.Node
import glenspool.core.Tuning
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Resources
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryVerb
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutVerb
import glenspool.reconcile.RecoveryPolicy
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.RolloutPolicy
import glenspool.state.Keys
import glenspool.wire.JobWire
import java.io.File
import java.net.BindException
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicReference
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Three controllers with their real wiring on loopback, against stand-ins for everything else, under a steady load of
 * one-task jobs.
 */
class LoopbackService(
    private val dir: File,
    private val policy: RolloutPolicy?,
    seed: Int,
    private val recovery: RecoveryPolicy? = null,
    private val workers: Int = 4,
    private val heartbeatInterval: Duration = LoopbackFleet.REPORT,
    private val lease: Duration = LoopbackFleet.LEASE,
    runTime: Duration = LoopbackFleet.RUN_TIME,
    /** Whether jobs of one task each come all the time. */
    steadyLoad: Boolean = true,
) : AutoCloseable {
    private val random = Random(seed)
    private val clock = TimeSource.Monotonic.markNow()
    val history = JobHistory(clock::elapsedNow)

    /** Since the start of the service. */
    val now: Duration get() = clock.elapsedNow()
    val state = InMemoryStore()
    private val stateListener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 16, state::serve)
    private val names = listOf("bobbin-0", "bobbin-1", "bobbin-2")
    private val ports = generateSequence { freePort() }.distinct().take(names.size * 2).toList()
    private val apiPorts = names.zip(ports).toMap()
    private val internalPorts = names.zip(ports.drop(names.size)).toMap()
    val fleet =
        LoopbackFleet(workers, {
            apiPorts.mapValues { "127.0.0.1:${it.value}" }
        }, history, heartbeatInterval, lease, runTime, clock::elapsedNow)
    private val nodes = HashMap<String, Node>()
    private val http = HttpCaller(300.milliseconds)
    private val failure = AtomicReference<Throwable>()

    @Volatile
    private var loading = steadyLoad

    /** Submissions that were answered with a request to come back. */
    @Volatile
    var postponed = 0
        private set

    val leader: String? get() = state.get(Keys.LEAD)?.value?.get("node") as String?
    val fleetSize: Int get() = fleet.size

    fun start(name: String, registry: FeatureRegistry = FeatureRegistry.CURRENT) {
        val file = File(dir, "$name.toml").also { it.writeText(settings(name)) }
        val node =
            Node(SettingsReader().read(file), Tuning(), policy, registry, "build-${registry.highest}", recovery) {
                failure
                    .set(IllegalStateException("$name ended itself"))
            }
        node.start()
        nodes[name] = node
    }

    /** Ends a controller without any farewell; the state service ends its lease at once instead of after its time. */
    fun kill(name: String) {
        val lease = state.entries[Keys.LEAD]?.takeIf { it.value["node"] == name }?.lease
        nodes.remove(name)?.close()
        lease?.let(state::endLease)
    }

    fun replace(name: String, registry: FeatureRegistry) {
        kill(name)
        start(name, registry)
        // A listening node is ready at once; one that can say that a job is unknown has read the state.
        await("$name serves") {
            (http.get("127.0.0.1:${apiPorts[name]}", "/api/jobs/run-999999", 1.seconds) as? CallResult.Answer)?.status ==
                404
        }
        val replaced = now
        await("work starts again") { history.lastStart > replaced }
    }

    /** Ends a random controller and starts the same build in its place, within a fraction of a second. */
    fun endOne(registryOf: (String) -> FeatureRegistry) {
        val name = names[random.nextInt(names.size)]
        replace(name, registryOf(name))
    }

    /** The state service answers nobody for a while, and the service finds back afterwards. */
    fun outage(time: Duration) {
        val begun = now
        state.down = true
        await("the outage is over") { now - begun > time }
        state.down = false
        val ended = now
        await("work starts again after the outage") { history.lastStart > ended }
    }

    fun ask(name: String, request: RolloutRequest = RolloutRequest(RolloutVerb.STATUS)): RolloutReply =
        checkNotNull(nodes[name])
            .rolloutAnswer(request)

    /** The status of a controller's users' door. */
    fun readiness(name: String): CallResult = http.get("127.0.0.1:${apiPorts[name]}", "/ready", 1.seconds)

    fun await(what: String, limit: Duration = 30.seconds, condition: () -> Boolean) {
        val begun = TimeSource.Monotonic.markNow()
        while (!condition()) {
            failure.get()?.let { throw it }
            check(begun.elapsedNow() < limit) { "not within $limit: $what" }
            Thread.onSpinWait()
            java.util.concurrent.locks.LockSupport
                .parkNanos(POLL.inWholeNanoseconds)
        }
    }

    /** What a controller answers about its recovery. */
    fun recovery(name: String, verb: RecoveryVerb): RecoveryReply = checkNotNull(nodes[name]).recoveryAnswer(RecoveryRequest(verb))

    /** A job as a user submits it, any number of tasks. */
    fun submitJob(spec: JobSpec) {
        val body = JobWire.encode(spec)
        await("${spec.id} is accepted") {
            (http.post(anyNode(), "/api/jobs", body, 5.seconds) as? CallResult.Answer)?.status.let {
                it ==
                    200 ||
                    it == 201
            }
        }
    }

    private val users =
        listOf(thread(name = "submissions", block = ::submitAll), thread(name = "polls", block = ::pollAll))

    private fun submitAll() =
        guarded {
            var number = 0
            while (loading) {
                val id = "run-%06d".format(++number)
                val awaits = if (number % WAITS_EVERY == 0) listOf("run-%06d".format(number - 1)) else null
                if (submit(id, awaits) && number % CANCEL_EVERY == 0) cancel(id)
                java.util.concurrent.locks.LockSupport
                    .parkNanos(SUBMIT_EVERY.inWholeNanoseconds)
            }
        }

    private fun guarded(body: () -> Unit) {
        try {
            body()
        } catch (e: IllegalStateException) {
            failure.compareAndSet(null, e)
        }
    }

    /** As a user would: any controller, again after a refusal, for a while. */
    private fun submit(id: String, awaits: List<String>?): Boolean {
        val body =
            JobWire.encode(job(id, JobKind.ARRAY, 1, Resources(1.0, 1.0, 4.0), "a", estimatedDuration = 1.seconds, imageGb = 0.0)) +
                (if (awaits == null) emptyMap() else mapOf("awaits" to awaits))
        val begun = TimeSource.Monotonic.markNow()
        while (begun.elapsedNow() < PATIENCE) {
            val status = (http.post(anyNode(), "/api/jobs", body, 5.seconds) as? CallResult.Answer)?.status
            if (status == 200 || status == 201) {
                history.add { HistoryEvent.Accepted(it, id) }
                return true
            }
            // A job whose predecessor was cancelled or never accepted is refused for good.
            if (status == 422 || status == 400) return false
            if (status == 503) postponed++
            java.util.concurrent.locks.LockSupport
                .parkNanos(RETRY.inWholeNanoseconds)
        }
        return false
    }

    private fun cancel(id: String) {
        val begun = TimeSource.Monotonic.markNow()
        while (begun.elapsedNow() < PATIENCE) {
            val answer = http.post(anyNode(), "/api/jobs/$id/withdraw", emptyMap(), 5.seconds) as? CallResult.Answer
            if (answer?.status == 200) {
                if (answer.body["stage"] == "aborted") history.add { HistoryEvent.CancelConfirmed(it, id) }
                return
            }
            java.util.concurrent.locks.LockSupport
                .parkNanos(RETRY.inWholeNanoseconds)
        }
    }

    private fun pollAll() =
        guarded {
            while (loading || history.accepted.size > history.finished.size) {
                val open = history.accepted - history.finished
                for (id in open) {
                    val answer = http.get(anyNode(), "/api/jobs/$id", 2.seconds) as? CallResult.Answer ?: continue
                    check(answer.status != 404) { "$id was accepted and is unknown" }
                    val stage = answer.body["stage"]
                    if (answer.status == 200 &&
                        (stage == "done" || stage == "aborted")
                    ) {
                        history.add { HistoryEvent.Told(it, id, stage as String) }
                    }
                }
                java.util.concurrent.locks.LockSupport
                    .parkNanos(POLL.inWholeNanoseconds)
            }
        }

    private fun anyNode() = "127.0.0.1:${apiPorts.getValue(names[random.nextInt(names.size)])}"

    /** Stops the load and waits until each accepted job has its final state. */
    fun finish() {
        loading = false
        await("all accepted jobs are over", 60.seconds) { users.none { it.isAlive } }
        failure.get()?.let { throw it }
    }

    override fun close() {
        loading = false
        nodes.values.forEach { it.close() }
        fleet.close()
        stateListener.close()
    }

    private fun settings(name: String): String {
        val members =
            names.filter { it != name }.joinToString("\n") {
                "[[members]]\nhost_name = \"$it\"\nlocation = \"here\"\naddr = \"127.0.0.1:${internalPorts[it]}\""
            }
        return """
            host_name = "$name"
            location = "here"
            api_addr = "127.0.0.1:${apiPorts[name]}"
            internal_addr = "127.0.0.1:${internalPorts[name]}"
            @members
            [outside]
            cloud = "127.0.0.1:${fleet.cloudPort}"
            state = "127.0.0.1:${stateListener.port}"
            [settings]
            initial_size = 4
            zones = ["here"]
            skew_ms = 5.0
            [[settings.teams]]
            name = "a"
            cpus = 0.0
            cpus_max = 0.0
            gpus = 0.0
            gpus_max = 0.0
            [settings.workers]
            report_s = ${heartbeatInterval.inWholeMilliseconds / 1000.0}
            lease_s = ${lease.inWholeMilliseconds / 1000.0}
            gang_wait_s = 10.0
            gang_peer_s = 3.0
            cancel_s = ${(lease * 3).inWholeMilliseconds / 1000.0}
            [settings.state]
            rps = 600.0
            write_rps = 300.0
            value_kb = 16.0
            txn_ops = 24
            [settings.cloud]
            rps = 20.0
            list_lag_s = 1.0
            [settings.quota]
            cores = 1.0
            ram_mb = 300.0
            fd_limit = ${900 + workers * 4}
            """.trimIndent().replace("@members", members)
    }

    private companion object {
        const val WAITS_EVERY = 5
        const val CANCEL_EVERY = 7
        val SUBMIT_EVERY = 60.milliseconds
        val RETRY = 100.milliseconds
        val PATIENCE = 40.seconds
        val POLL = 50.milliseconds

        /**
         * Below the range from which the system gives ports to connections and to listeners that ask for any: nobody
         * takes it meanwhile.
         */
        private val fixedPorts = 20_000..30_000

        fun freePort(): Int = generateSequence { fixedPorts.random() }.first(::isFree)

        private fun isFree(port: Int): Boolean =
            try {
                ServerSocket(port).close()
                true
            } catch (e: BindException) {
                false
            }
    }
}
