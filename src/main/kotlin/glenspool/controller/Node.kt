package glenspool.controller

import glenspool.api.NodeState
import glenspool.api.UserApi
import glenspool.api.WorkerApi
import glenspool.config.Settings
import glenspool.core.StoreOutcome
import glenspool.core.Tuning
import glenspool.core.cluster.Cancellations
import glenspool.http.hostPort
import glenspool.logging.loggerOf
import glenspool.peer.OperatorServer
import glenspool.peer.PeerServer
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.reconcile.RecoveryPolicy
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.RolloutPolicy
import glenspool.rollout.UnmanagedFeatures
import glenspool.state.StoreCache
import glenspool.state.wallClock
import kotlin.time.Duration
import kotlin.time.TimeSource

/** One controller: wires its parts together and starts its service threads. */
class Node(
    private val settings: Settings,
    tuning: Tuning,
    /** Null if levels of stored forms are not managed. */
    rolloutPolicy: RolloutPolicy? = null,
    registry: FeatureRegistry = FeatureRegistry.CURRENT,
    build: String = "development",
    /** Null if a cold start is handled like any failover. */
    recoveryPolicy: RecoveryPolicy? = null,
    /** Ends the process immediately. */
    private val onFatalError: () -> Unit,
) : NodeState,
    AutoCloseable {
    private val clock = TimeSource.Monotonic.markNow()
    private val boot = newBootId()
    private val members = settings.members.map { it.name }
    private val storeLimits = settings.storeLimits.effective
    private val config = schedulerConfig(settings, tuning, logsDetails = log.isDebugEnabled)
    private val health = HealthCounters()

    private val clients = Clients(settings)
    private val store = clients.store
    private val cloud = clients.cloud
    private val workers = clients.workers
    private val peers = clients.peers

    /** Cancellations are kept for a multiple of the time within which they have to take effect. */
    override val cancellations =
        Cancellations(boot, members, settings.workers.cancellationDeadline * 4, ::uptime)
    private val cache: StoreCache =
        StoreCache(store, storeLimits.rps, ::storeRead) { changes, _ ->
            exchange.storeChanged(changes)
            loop.post(Event.StoreChanged(changes))
        }
    private val freshness = CacheFreshness(cache)
    private val exchange: CancellationExchange =
        CancellationExchange(settings.node, cancellations, peers, ::uptime, freshness::isRefreshOverdue) {
            loop.post(Event.CancellationsReceived(it))
        }
    private val leadership: Leadership =
        Leadership(
            settings.node, boot, store, cache, ::elected,
            onDeposed = { loop.post(Event.LeadershipLost) },
            electionPuts = { token -> recovery?.electionPuts(token).orEmpty() },
            mayLead = { !fenced() },
        )
    private val monitor =
        PeerMonitor(peers, members.size, freshness, checksSealedRecords = rolloutPolicy == null)
    private val leaders = LeaderDirectory(settings.node, leadership, freshness, monitor)

    private val rollout: RolloutManager? =
        rolloutPolicy?.let { policy ->
            val identity = ProcessIdentity(settings.node, boot, registry.levelsOf(build))
            RolloutManager(
                identity, members, registry, policy, store, cache, leadership, peers, health,
                ::isServing, ::uptime, onFatalError,
            )
        }
    private val recovery: RecoveryManager? =
        recoveryPolicy?.let { policy ->
            val timings = recoveryTimings(settings)
            RecoveryManager(settings.node, members.size, policy, timings, store, cache, leadership, peers, ::uptime) {
                loop.post(it)
            }
        }
    private val features: FeaturePermits = rollout?.gate ?: UnmanagedFeatures { monitor.mayUseSealedRecords }

    private val writer = StoreWriter(storeLimits, store, cache, leadership, features, ::storeEnded)
    private val cloudPoller =
        CloudPoller(settings.cloudLimits.listLag, cloud, store, cache, leadership) { loop.post(it) }
    private val actions =
        ActionExecutor(
            leadership, store, cloud, workers, writer, settings.workers.lease, cancellations::contains,
        ) { loop.post(it) }
    private val loop: CoreLoop =
        CoreLoop(
            config, cache, leadership, actions, features, cloudPoller::knownTypes,
            onOverdueWork = { cancelledWork.report(it) },
            intakeLag = { ports.intakeLag() },
            recoveryManager = recovery,
        )
    private val recoveryOperations = RecoveryOperations(settings.node, leadership, recovery) { loop.orderCounts }
    private val cancelledWork: CancelledWorkEnforcement =
        CancelledWorkEnforcement(
            settings.workers.cancellationDeadline, cancellations, cache, clients.sharedCloud, workers,
            leaders::hasLeader, ::wallClock, CancelledWorkMetrics(::uptime),
        ) { loop.post(Event.DeletionEnded(it, true)) }

    private val users =
        UserRouter(
            UserApi(
                settings, store, cache, peers, ::isolated, features, exchange::awaitConfirmable,
                cloudPoller::knownTypes,
            ),
            rollout?.gate,
            health,
        )
    private val workerApi = WorkerApi(settings, this, loop::acceptHeartbeat)
    private val ownStatus = OwnPeerStatus(settings.node, leadership, freshness, rollout, recovery)
    private val internalRouter =
        InternalRouter(
            PeerServer(ownStatus::read, exchange::answer, users::handleRelayed),
            OperatorServer.forRecovery(recoveryOperations::answer),
            rollout?.let { OperatorServer.forRollout(it::answer) },
        )
    private val ports: NodePorts = NodePorts(settings, users, workerApi, internalRouter, onFatalError)
    private val threads = ServiceThreads(onFatalError)

    /** Opens the ports and starts all service threads. */
    fun start() {
        ports.open()
        startThreads()
        log.info("started node={} zone={} api={}", settings.node, settings.zone, settings.apiAddr.hostPort())
    }

    private fun startThreads() {
        threads.start("store-watch") { cache.watchChanges() }
        threads.start("store-sync") { cache.serveSyncs() }
        threads.start("leadership") { leadership.run() }
        threads.start("core") { loop.run() }
        threads.start("cloud") { cloudPoller.run() }
        threads.start("store-writer") { writer.run() }
        threads.start("peer-monitor") { monitor.run() }
        threads.start("garbage-collector") {
            GarbageCollector(cache, storeLimits.txnOps, store::transact).run(leadership::current)
        }
        settings.members.forEach { member -> threads.start("cancel-${member.name}") { exchange.run(member) } }
        threads.start("heartbeat-expiry") { loop.expireHeartbeats() }
        threads.start("deferred-heartbeats") { workerApi.answerDeferredHeartbeats() }
        threads.start("cancelled-work") { cancelledWork.run() }
        threads.startOnce("warm-up") {
            WarmUp(config, settings.internalAddr.hostPort(), answeredHeartbeats = workerApi::heartbeatsReceived) {
                leadership.current() != null
            }.run()
        }
        recovery?.let { manager -> threads.start("recovery") { manager.run() } }
        rollout?.let { manager ->
            workerApi.incarnationListener = health::recordIncarnation
            threads.start("rollout") { manager.run() }
        }
    }

    private fun elected(term: Term) {
        health.countFailover()
        loop.post(Event.LeaderElected(term))
    }

    private fun storeEnded(outcome: StoreOutcome, term: Term) {
        if (outcome is StoreOutcome.Refused) health.countRejectedWrite()
        loop.post(Event.StoreEnded(outcome, term))
    }

    private fun storeRead(sentAgo: Duration) {
        cancellations.recordStoreRead(uptime() - sentAgo)
        recovery?.storeRead(sentAgo)
    }

    private fun isServing(): Boolean = freshness.isFresh() && !isolated()

    /** Returns this node's answer to an operator about the rollout. Levels must be managed. */
    fun rolloutAnswer(request: RolloutRequest): RolloutReply {
        val manager = checkNotNull(rollout) { "levels are not managed" }
        return manager.answer(request)
    }

    /** Returns this node's answer to an operator about its orders and its recovery. */
    fun recoveryAnswer(request: RecoveryRequest): RecoveryReply = recoveryOperations.answer(request)

    override fun fenced(): Boolean = rollout?.gate?.fence() != null

    /** See [PeerMonitor.isIsolated]. */
    override fun isolated(): Boolean = monitor.isIsolated()

    /** See [LeaderDirectory.otherLeader]. */
    override fun otherLeader(): String? = leaders.otherLeader()

    override fun uptime(): Duration = clock.elapsedNow()

    /** Waits until all service threads have ended. */
    fun join() = threads.join()

    override fun close() {
        ports.close()
        threads.close()
        cancelledWork.close()
        actions.close()
    }

    private companion object {
        val log = loggerOf(Node::class.java)
    }
}
