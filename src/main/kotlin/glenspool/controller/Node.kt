package glenspool.controller

import glenspool.api.UserApi
import glenspool.api.WorkerApi
import glenspool.api.fenceFilter
import glenspool.api.refusalFilter
import glenspool.cloud.CloudClient
import glenspool.config.Settings
import glenspool.core.StoreOutcome
import glenspool.core.Tuning
import glenspool.core.cluster.Cancellations
import glenspool.http.AsyncHandler
import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.http.hostPort
import glenspool.logging.loggerOf
import glenspool.peer.OperatorServer
import glenspool.peer.PeerClient
import glenspool.peer.PeerPaths
import glenspool.peer.PeerServer
import glenspool.peer.PeerStatus
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import glenspool.peer.RelayAnswer
import glenspool.peer.RelayRequest
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.reconcile.RecoveryPolicy
import glenspool.reconcile.RecoverySetting
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.RolloutPolicy
import glenspool.rollout.UnmanagedFeatures
import glenspool.state.KeyValueStoreClient
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.worker.WorkerClient
import org.http4k.core.HttpHandler
import org.http4k.core.Request
import org.http4k.core.Status
import org.http4k.core.then
import java.util.concurrent.ThreadLocalRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** One controller: all adapters and duties, wired together. */
class Node(
    private val settings: Settings,
    tuning: Tuning,
    /** Null: levels of stored forms are not managed. */
    rolloutPolicy: RolloutPolicy? = null,
    registry: FeatureRegistry = FeatureRegistry.CURRENT,
    build: String = "development",
    /** Null: a cold start is recovered from as at any take-over. */
    recoveryPolicy: RecoveryPolicy? = null,
    private val fatal: () -> Unit,
) : AutoCloseable {
    private val http = HttpCaller(800.milliseconds)
    private val store = KeyValueStoreClient(settings.state.hostPort(), http)
    private val cloud = CloudClient(settings.cloud.hostPort(), http, settings.cloudLimits.rps)

    /**
     * A machine gets a command now and then: a connection kept for each would take half of the sockets of a large
     * fleet.
     */
    private val workers = WorkerClient(HttpCaller(800.milliseconds, keepOpen = false))
    private val peers = PeerClient(settings.members)

    /**
     * Differs from that of any earlier process on this host, however soon it is back: the start's time is part of it.
     * It is no secret; a secure generator would cost a tenth of the start-up.
     */
    private val boot = "${wallClock().inWholeMilliseconds}-${java.lang.Long.toHexString(
        ThreadLocalRandom
            .current()
            .nextLong(),
    )}"
    private val clock = TimeSource.Monotonic.markNow()
    val cancellations =
        Cancellations(boot, settings.members.map { it.name }, settings.workers.cancellationDeadline * 4, ::uptime, ::wallClock)
    private val exchange =
        CancellationExchange(settings.node, cancellations, peers, ::uptime, ::stale) { loop.post(Event.CancellationsLearned(it)) }
    val cache =
        StoreCache(store, settings.storeLimits.safe.rps, ::stateRead) { changes, _ ->
            exchange.stored(changes)
            loop.post(Event.StoreChanged(changes))
        }
    private val health = HealthCounters()
    val leadership: Leadership =
        Leadership(settings.node, boot, store, cache, ::elected, {
            loop.post(Event.LeadershipLost)
        }, ::storedWithElection) { !fenced() }
    private val rollout =
        rolloutPolicy?.let { policy ->
            val identity = ProcessIdentity(settings.node, boot, registry.of(build))
            RolloutManager(
                identity,
                settings.members.map {
                    it.name
                },
                registry, policy, store, cache, leadership, peers, health, ::serving, ::uptime, fatal,
            )
        }
    private val recovery: RecoveryManager? =
        recoveryPolicy?.let { policy ->
            val setting = RecoverySetting(settings.workers.lease, settings.workers.heartbeatInterval, settings.cloudLimits.listLag)
            RecoveryManager(settings.node, settings.members.size, policy, setting, store, cache, leadership, peers, ::uptime) {
                loop
                    .post(it)
            }
        }
    private val features: FeaturePermits = rollout?.gate ?: UnmanagedFeatures { allMembersReadSplitRecords }
    private val writer = StoreWriter(settings.storeLimits.safe, store, cache, leadership, features, ::stored)
    private val cloudWatch =
        CloudWatch(settings.cloudLimits.listLag, cloud, store, cache, leadership) { loop.post(it) }
    private val loop: CoreLoop =
        CoreLoop(settings, tuning, cache, leadership, store, cloud, workers, writer, cloudWatch::knownTypes, features, ::intakeLag) {
            recovery
        }

    @Volatile
    private var peerStatuses: List<PeerStatus> = emptyList()

    /** When the other controllers were last asked in vain, all of them. */
    @Volatile
    private var peersLost = false
    private val threads = ServiceThreads(fatal)

    /**
     * Every other controller was found to be of a version that reads sealed records. It stays so: nothing goes back
     * without an operator.
     */
    @Volatile
    private var allMembersReadSplitRecords = settings.members.isEmpty()
    private var membersAskedAt = TimeSource.Monotonic.markNow() - MEMBERS_LOOK
    private val userApi =
        UserApi(settings, store, cache, peers, ::isolated, features, exchange::confirm, cloudWatch::knownTypes)

    /** As users meet it: behind the fence, and with refusals counted, where levels are managed. */
    private val userHandler: HttpHandler =
        if (rollout ==
            null
        ) {
            userApi
        } else {
            refusalFilter(health::refused).then(fenceFilter(rollout.gate::fence)).then(userApi)
        }
    private val workerApi = WorkerApi(settings, this, loop)
    private val overdue =
        CancelledWorkEnforcement(settings.workers.cancellationDeadline, cancellations, cache, cloud, workers, {
            leadership.current() !=
                null ||
                leaderToName() != null
        }, ::wallClock)
    private val readiness = AsyncHandler { request, respond -> respond(userHandler(request)) }

    @Volatile
    private var api: HttpListener? = null
    private var internal: HttpListener? = null

    fun start() {
        // Requests are taken as soon as the port is open; until the state is read they are told to come back.
        api =
            HttpListener(settings.apiAddr, "api", minOf(MAX_API_THREADS, settings.maxSockets / 3), ::withoutWaiting, fatal, userHandler)
        internal = HttpListener(settings.internalAddr, "peer", PEER_THREADS, { null }, fatal, peerHandler())
        threads.start("state-watch") { cache.follow() }
        threads.start("state-sync") { cache.serveSyncs() }
        threads.start("leadership") { leadership.run() }
        threads.start("core") { loop.run() }
        threads.start("cloud") { cloudWatch.run() }
        threads.start("writer") { writer.run() }
        threads.start("peers") { watchPeers() }
        threads.start("sweep") { sweepWhileLeading() }
        settings.members.forEach { m -> threads.start("cancel-${m.name}") { exchange.run(m) } }
        threads.start("late-reports") { loop.expireHeartbeats() }
        threads.start("overdue") { overdue.run() }
        threads.startOnce("warm-up") {
            WarmUp(loop.config, settings.internalAddr.hostPort(), served = workerApi::heartbeatsReceived) {
                leadership.current() !=
                    null
            }.run()
        }
        recovery?.let { manager -> threads.start("recovery") { manager.run() } }
        rollout?.let { manager ->
            workerApi.incarnationSeen = health::incarnationSeen
            threads.start("rollout") { manager.run() }
        }
        log.info("started node={} zone={} api={}", settings.node, settings.zone, settings.apiAddr.hostPort())
    }

    private fun peerHandler(): HttpHandler {
        val peerServer = PeerServer({ status() }, exchange::answer, ::servePeer)
        val rolloutServer = rollout?.let { OperatorServer.forRollout(it::answer) }
        val recoveryServer = OperatorServer.forRecovery(::recoveryAnswer)
        return { request ->
            when {
                request.uri.path == WarmUp.PATH -> WarmUp.answer(request)
                request.uri.path == PeerPaths.RECOVERY -> recoveryServer(request)
                rolloutServer != null && request.uri.path == PeerPaths.ROLLOUT -> rolloutServer(request)
                else -> peerServer(request)
            }
        }
    }

    /** A user's request that another node passed on; a fenced process is as good as one without the state service. */
    private fun servePeer(request: RelayRequest): RelayAnswer = if (fenced()) RelayAnswer(Status.SERVICE_UNAVAILABLE.code, ByteArray(0), null) else userApi.local(request)

    private fun elected(term: Term) {
        health.tookOver()
        loop.post(Event.LeaderElected(term))
    }

    private fun stored(outcome: StoreOutcome, term: Term) {
        if (outcome is StoreOutcome.Refused) health.writeRejected()
        loop.post(Event.StoreEnded(outcome, term))
    }

    /** What an operator is answered who asks this node. */
    fun rolloutAnswer(request: RolloutRequest): RolloutReply = checkNotNull(rollout) { "levels are not managed" }.answer(request)

    /** What an operator is answered who asks this node about its orders and its recovery. */
    fun recoveryAnswer(request: RecoveryRequest): RecoveryReply {
        val isOrder = request.verb != RecoveryVerb.STATUS && request.verb != RecoveryVerb.DIFFERENCES
        if (recovery == null &&
            request.verb != RecoveryVerb.STATUS
        ) {
            return RecoveryReply(false, "recovery is not managed; the controller is started without --recovery")
        }
        if (isOrder) recovery?.order(request)?.let { return it }
        if (request.verb == RecoveryVerb.DIFFERENCES) return recoveryDifferences()
        return RecoveryReply(true, status = recoveryStatus())
    }

    private fun recoveryDifferences(): RecoveryReply {
        if (leadership.current() == null) return RecoveryReply(false, recovery?.notLeading())
        val snapshot =
            recovery?.snapshot() ?: return RecoveryReply(false, "this term began as usual: nothing was compared")
        return RecoveryReply(true, differences = RecoveryReplies.differences(snapshot))
    }

    private fun recoveryStatus() =
        RecoveryStatus(
            settings.node,
            leadership.recordedLeader(),
            recovery != null,
            loop.orderCounts?.snapshot()?.entries?.associate { (cause, number) ->
                "${cause.qualifiedLabel}" to
                    number
            },
            recovery?.let { manager -> manager.snapshot()?.let(manager::describe) },
        )

    /**
     * Whether this build can't read the active level, so that the process must neither lead, accept nor confirm
     * anything.
     */
    fun fenced(): Boolean = rollout?.gate?.fence() != null

    private fun serving(): Boolean = fresh() && !isolated()

    private fun intakeLag(): Duration = api?.lag() ?: Duration.ZERO

    /**
     * What is answered by the listener's own thread, or by the core's: reports and probes, which must not wait behind
     * users.
     */
    private fun withoutWaiting(request: Request): AsyncHandler? =
        when (request.uri.path) {
            "/checkin" -> workerApi
            "/ready" -> readiness
            else -> null
        }

    private fun sweepWhileLeading() {
        val sweep = GarbageCollector(cache, settings.storeLimits.safe.txnOps, store::transact)
        while (true) {
            Thread.sleep(SWEEP_EVERY.inWholeMilliseconds)
            leadership.current()?.let { sweep.look(it.recordVersion) }
        }
    }

    fun join() = threads.join()

    override fun close() {
        api?.close()
        internal?.close()
        threads.close()
        overdue.close()
        loop.close()
    }

    /** Since the start of this process, by the steady clock. */
    fun uptime(): Duration = clock.elapsedNow()

    /** Whether this node's copy of the state is recent enough to say who leads. */
    fun fresh(): Boolean = cache.age().let { it != null && it < FRESH }

    private fun status() =
        PeerStatus(
            settings.node, leadership.current() != null, leadership.recordedLeader(), fresh(), PeerStatus.SEALED,
            rollout
                ?.ownLevels(),
            recovery?.ownWitness(),
        )

    /**
     * Whether this node has lost the state service and every other controller, though users and workers may still
     * reach it. Somebody else may lead then, and nothing that comes here can be decided here.
     */
    fun isolated(): Boolean = peersLost && stale()

    private fun storedWithElection(token: Long): List<Put> = recovery?.recordAtElection(token).orEmpty()

    private fun stateRead(sentAgo: Duration) {
        cancellations.storeRead(uptime() - sentAgo)
        recovery?.stateRead(sentAgo)
    }

    private fun stale(): Boolean = cache.age().let { it == null || it > STALE }

    private fun watchPeers() {
        while (true) {
            if (stale()) {
                peerStatuses = peers.statuses()
                peersLost = peerStatuses.isEmpty() && settings.members.isNotEmpty()
            } else {
                peerStatuses = emptyList()
                peersLost = false
                if (rollout == null && !allMembersReadSplitRecords && membersAskedAt.elapsedNow() >= MEMBERS_LOOK) askMembers()
            }
            Thread.sleep(PEER_LOOK.inWholeMilliseconds)
        }
    }

    private fun askMembers() {
        membersAskedAt = TimeSource.Monotonic.markNow()
        val all = peers.statuses()
        if (all.size < settings.members.size || all.any { it.reads < PeerStatus.SEALED }) return
        log.info("all controllers read sealed records")
        allMembersReadSplitRecords = true
    }

    /** The node that workers should report to; null if nobody is known to lead. */
    fun leaderToName(): String? {
        if (!stale()) return leadership.recordedLeader().takeIf { it != settings.node }
        val named = peerStatuses.firstOrNull { it.leading }?.node ?: peerStatuses.firstOrNull { it.fresh }?.leader
        if (named != null) return named.takeIf { it != settings.node }
        return if (fresh()) leadership.recordedLeader().takeIf { it != settings.node } else null
    }

    companion object {
        private val log = loggerOf(Node::class.java)
        private val FRESH: Duration = 6500.milliseconds

        /** The copy is looked after every second: when it is older, the state service is slow or out of reach. */
        private val STALE: Duration = 2500.milliseconds
        private val PEER_LOOK: Duration = 500.milliseconds
        private val SWEEP_EVERY: Duration = 20.seconds
        private val MEMBERS_LOOK: Duration = 4.seconds

        /** A peer that stalls in the middle of a request holds one until the server's time limit: there are many. */
        private const val MAX_API_THREADS = 256
        private const val PEER_THREADS = 24
    }
}
