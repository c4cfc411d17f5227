package glenspool.simulation

import glenspool.config.SettingsReader
import glenspool.controller.Node
import glenspool.core.Tuning
import glenspool.core.model.JobSpec
import glenspool.http.CallResult
import glenspool.http.HttpClient
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
import java.io.File
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Three controllers with their production wiring on loopback, an [InMemoryStore], a [LoopbackFleet], and users that
 * submit one-task jobs at a steady rate.
 */
class LoopbackService(
    private val dir: File,
    private val policy: RolloutPolicy?,
    seed: Int,
    private val recovery: RecoveryPolicy? = null,
    private val workers: Int = 4,
    private val heartbeatInterval: Duration = LoopbackFleet.HEARTBEAT_INTERVAL,
    private val lease: Duration = LoopbackFleet.LEASE_DURATION,
    runTime: Duration = LoopbackFleet.TASK_RUN_TIME,
    /** Whether users continuously submit jobs of one task each. */
    steadyLoad: Boolean = true,
) : AutoCloseable {
    private val random = Random(seed)
    private val clock = TimeSource.Monotonic.markNow()
    val history = JobHistory(clock::elapsedNow)

    /** Time since the start of the service. */
    val now: Duration get() = clock.elapsedNow()
    val state = InMemoryStore()
    private val stateListener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 16, state::serve)
    private val names = listOf("bobbin-0", "bobbin-1", "bobbin-2")
    private val ports = LoopbackPorts.free(names.size * 2)
    private val apiAddresses = names.zip(ports).associate { (name, port) -> name to "127.0.0.1:$port" }
    private val internalAddresses =
        names.zip(ports.drop(names.size)).associate { (name, port) -> name to "127.0.0.1:$port" }
    val fleet =
        LoopbackFleet(workers, { apiAddresses }, history, heartbeatInterval, lease, runTime, clock::elapsedNow)
    private val nodes = HashMap<String, Node>()
    private val http = HttpClient(300.milliseconds)

    private val failure = FirstFailure()
    private val users = LoopbackUsers(history, http, ::anyNode, steadyLoad, failure::record)

    /** The number of submissions that were answered with a request to retry later. */
    val postponed: Int get() = users.postponed

    val leader: String? get() = state.get(Keys.LEADERSHIP)?.value?.get("node") as String?
    val fleetSize: Int get() = fleet.size

    private fun anyNode() = apiAddresses.getValue(names[random.nextInt(names.size)])

    private fun node(name: String): Node = checkNotNull(nodes[name]) { "$name is not running" }

    fun start(name: String, registry: FeatureRegistry = FeatureRegistry.CURRENT) {
        val file = File(dir, "$name.toml").also { it.writeText(settings(name)) }
        val settings = SettingsReader().read(file)
        val node =
            Node(settings, Tuning(), policy, registry, "build-${registry.highest}", recovery) {
                failure.record(IllegalStateException("controller $name requested the exit of its process"))
            }
        node.start()
        nodes[name] = node
    }

    /**
     * Stops a controller as a crash would, except that the store ends its leadership lease immediately instead of after
     * the lease duration.
     */
    fun kill(name: String) {
        val leaderLease = state.entries[Keys.LEADERSHIP]?.takeIf { it.value["node"] == name }?.lease
        nodes.remove(name)?.close()
        leaderLease?.let(state::endLease)
    }

    /**
     * Stops a controller, starts a build with the given levels in its place, and waits until the new process has read
     * the state and tasks start again.
     */
    fun replace(name: String, registry: FeatureRegistry) {
        kill(name)
        start(name, registry)
        await("$name has read the state") { hasReadState(name) }
        val replaced = now
        await("tasks start again") { history.lastStartAt > replaced }
    }

    /**
     * Returns whether the controller has read the state. A node is ready as soon as it listens, but it answers that a
     * job is unknown only after it has read the state.
     */
    private fun hasReadState(name: String): Boolean {
        val answer = http.get(apiAddresses.getValue(name), "/api/jobs/run-999999", 1.seconds)
        return (answer as? CallResult.Response)?.status == 404
    }

    /** Stops a random controller and immediately starts a build in its place. */
    fun replaceRandomNode(registryOf: (String) -> FeatureRegistry) {
        val name = names[random.nextInt(names.size)]
        replace(name, registryOf(name))
    }

    /** Makes the store unavailable for [time], and returns when tasks start again afterwards. */
    fun storeOutage(time: Duration) {
        val startedAt = now
        state.isDown = true
        await("the outage is over") { now - startedAt > time }
        state.isDown = false
        val ended = now
        await("tasks start again after the outage") { history.lastStartAt > ended }
    }

    /** Returns the controller's reply to an operator's request about the rollout. */
    fun rolloutReply(name: String, request: RolloutRequest = RolloutRequest(RolloutVerb.STATUS)): RolloutReply =
        node(name).rolloutAnswer(request)

    /** Returns the controller's reply to an operator's request about its recovery. */
    fun recoveryReply(name: String, verb: RecoveryVerb): RecoveryReply =
        node(name).recoveryAnswer(RecoveryRequest(verb))

    /** Returns the controller's response to a readiness probe. */
    fun readiness(name: String): CallResult = http.get(apiAddresses.getValue(name), "/ready", 1.seconds)

    /** Waits for a condition. Throws if it does not hold within [limit], or if any thread has failed meanwhile. */
    fun await(what: String, limit: Duration = 30.seconds, condition: () -> Boolean) {
        val startedAt = TimeSource.Monotonic.markNow()
        while (!condition()) {
            failure.rethrow()
            check(startedAt.elapsedNow() < limit) { "condition not met within $limit: $what" }
            Thread.onSpinWait()
            LoopbackUsers.pause(LoopbackUsers.POLL_INTERVAL)
        }
    }

    /** Submits a job with any number of tasks as a user does, and retries until it is accepted. */
    fun submitJob(spec: JobSpec) = await("${spec.id} is accepted") { users.submitOnce(spec) }

    /** Stops the submissions and waits until every accepted job has its final state. */
    fun finish() {
        users.stopSubmitting()
        await("all accepted jobs have their final states", 60.seconds) { !users.areActive }
        failure.rethrow()
    }

    override fun close() {
        users.stopSubmitting()
        nodes.values.forEach { it.close() }
        fleet.close()
        stateListener.close()
    }

    private fun settings(name: String): String =
        LoopbackSettings(
            node = name,
            apiAddress = apiAddresses.getValue(name),
            internalAddress = internalAddresses.getValue(name),
            members = internalAddresses - name,
            cloudAddress = "127.0.0.1:${fleet.cloudPort}",
            storeAddress = "127.0.0.1:${stateListener.port}",
            machines = 4,
            heartbeatInterval = heartbeatInterval,
            lease = lease,
            cancellationDeadline = lease * 3,
            cloudRps = 20.0,
            sockets = 900 + workers * 4,
        ).toToml()
}
