package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.peer.PeerClient
import glenspool.peer.PeerLevels
import glenspool.peer.PeerStatus
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.rollout.BuildLevels
import glenspool.rollout.FeatureGate
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.Fence
import glenspool.rollout.FencedReaction
import glenspool.rollout.HealthCounts
import glenspool.rollout.MemberReport
import glenspool.rollout.OperatorOrders
import glenspool.rollout.OrderOutcome
import glenspool.rollout.OrderRule
import glenspool.rollout.RolloutAction
import glenspool.rollout.RolloutEngine
import glenspool.rollout.RolloutInput
import glenspool.rollout.RolloutOverview
import glenspool.rollout.RolloutPolicy
import glenspool.rollout.replaceableVersion
import glenspool.rollout.valueOrNull
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import glenspool.wire.Fields
import glenspool.wire.RolloutWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Who this process is among the controllers. */
data class ProcessIdentity(val node: String, val boot: String, val levels: BuildLevels)

/**
 * Connects the [RolloutEngine] with the state service and the other controllers. While this node leads, it asks the
 * others for their evidence and stores what the engine decides, conditioned on its leadership and on the record that
 * was judged.
 */
class RolloutManager(
    private val identity: ProcessIdentity,
    members: List<String>,
    private val registry: FeatureRegistry,
    private val policy: RolloutPolicy,
    private val store: KeyValueStoreClient,
    private val cache: StoreCache,
    private val leadership: Leadership,
    private val peers: PeerClient,
    private val health: HealthCounters,
    private val ready: () -> Boolean,
    private val uptime: () -> Duration,
    /** Ends the process. */
    private val exit: () -> Unit,
) {
    private val allMembers = (members + identity.node).toSet()
    private val records = RolloutRecords(cache) { cache.age() != null }
    private val orderRule = OrderRule(registry, allMembers)

    /** Which forms may be written by this process, and whether it may serve. */
    val gate = FeatureGate(identity.levels, records::level)

    private class TermEngine(val term: Term, val engine: RolloutEngine)

    /** Guarded by this object's lock, since operators ask from other threads. */
    private var current: TermEngine? = null
    private var reportedFence: Fence? = null

    /** What this process shows of itself to the others. */
    fun ownLevels(): PeerLevels {
        val counts = health.counts()
        return PeerLevels(
            identity.boot, identity.levels.build, identity.levels.lowest, identity.levels.highest,
            ready() && gate.fence() == null,
            counts.takeOvers, counts.leasesExpired, counts.refusals, counts.rejectedWrites,
        )
    }

    /** The duty. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            reactToFence()
            val pause = leadership.current()?.let(::lead) ?: endTerm()
            Thread.sleep(pause.inWholeMilliseconds)
        }
    }

    private fun endTerm(): Duration {
        synchronized(this) { current = null }
        return FOLLOWER_PAUSE
    }

    /** One round of evidence and decisions; returns the pause until the next. */
    private fun lead(term: Term): Duration {
        val askedAt = uptime()
        val statuses = peers.statuses()
        val (actions, settled) =
            synchronized(this) {
                val engine = engineOf(term)
                engine.memberReported(report(PeerStatus(identity.node, true, null, true, levels = ownLevels())), askedAt)
                statuses.forEach { engine.memberReported(report(it), askedAt) }
                val input = input(term)
                engine.step(input) to (engine.overview(input).hold == null)
            }
        actions.forEach { perform(it, term) }
        return if (settled &&
            actions.isEmpty()
        ) {
            minOf(SETTLED_PAUSE, policy.evidenceAge / 2)
        } else {
            minOf(
                ACTIVE_PAUSE,
                policy.evidenceAge / 4,
            )
        }
    }

    private fun engineOf(term: Term): RolloutEngine {
        current?.takeIf { it.term == term }?.let { return it.engine }
        // Evidence belongs to a term: what an earlier leader saw is history by now.
        return RolloutEngine(registry, policy, allMembers, uptime()).also { current = TermEngine(term, it) }
    }

    private fun input(term: Term) =
        RolloutInput(
            uptime(), wallClock(), term.token, identity.node, records.level(), records.orders(), records.state(),
        ) { level -> if (level == FeatureRegistry.SEALED_RECORDS) records.sealedRecords() else 0 }

    private fun report(status: PeerStatus): MemberReport {
        val levels =
            status.levels
                // A build that knows nothing of levels says which stored forms it reads, or nothing at all.
                ?: return MemberReport(status.node, null, BuildLevels(UNMANAGED_BUILD, FeatureRegistry.BASE, status.reads), status.fresh)
        return MemberReport(
            status.node,
            levels.boot,
            BuildLevels(levels.build, levels.lowest, levels.highest),
            levels.ready,
            HealthCounts(levels.takeOvers, levels.leasesExpired, levels.refusals, levels.rejectedWrites),
        )
    }

    private fun perform(action: RolloutAction, term: Term) {
        when (action) {
            is RolloutAction.StoreLevel -> {
                log
                    .info("storing level={} name={} stage={}", action.record.level, action.record.name, action.record.stage)
                store(term, Keys.LEVEL, action.version, RolloutWire.encode(action.record))
            }
            is RolloutAction.StoreState ->
                store(
                    term, Keys.ROLLOUT_STATE, action.version,
                    RolloutWire
                        .encode(action.state),
                )
            is RolloutAction.Notice ->
                if (action.isWarning) {
                    log.warn("rollout: {}", action.text)
                } else {
                    log
                        .info("rollout: {}", action.text)
                }
        }
    }

    /**
     * However the transaction ends, the replica is brought up to date: the next round judges from what is stored by
     * then.
     */
    private fun store(term: Term, key: String, version: Long, value: Fields) {
        if (leadership.current() != term) return
        val result = store.transact(mapOf(Keys.LEAD to term.recordVersion, key to version), listOf(Put(key, value)))
        if (result !is StoreResult.Ok) log.info("rollout record {} not stored: {}", key, result)
        if (result is StoreResult.Conflict &&
            Keys.LEAD in result.keys
        ) {
            leadership.stepDown("a rollout record was refused")
        }
        cache.sync(SYNC_TIMEOUT)
    }

    private fun reactToFence() {
        val fence = gate.fence()
        if (fence == reportedFence) return
        reportedFence = fence
        if (fence == null) {
            log.info("this process may serve again")
            return
        }
        log.error("this process must not serve: {}", fence)
        leadership.resign("fenced", FENCED_STAND_BACK)
        if (policy.fenced == FencedReaction.EXIT) exit()
    }

    /** An operator's question or order. */
    fun answer(request: RolloutRequest): RolloutReply {
        val order =
            try {
                RolloutReplies.orderOf(request) ?: return RolloutReply(true, status = status())
            } catch (e: RolloutReplies.IncompleteRequest) {
                return RolloutReply(false, e.message, status = status())
            }
        gate.fence()?.let { return RolloutReply(false, "this controller takes no orders: $it", status = status()) }
        repeat(ORDER_TRIES) {
            if (!cache.sync(SYNC_TIMEOUT)) return outOfReach()
            val stored = records.orders()
            val version =
                stored.replaceableVersion()
                    ?: return RolloutReply(false, "the stored orders can't be read by this build", status = status())
            val before = stored.valueOrNull() ?: OperatorOrders()
            val orders =
                when (val outcome = orderRule.apply(order, before, records.level(), wallClock())) {
                    is OrderOutcome.Refused -> return RolloutReply(false, outcome.reason, status = status())
                    is OrderOutcome.Accepted -> outcome.orders
                }
            if (orders == before) return RolloutReply(true, status = status())
            if (storeOrders(orders, version)) {
                log.info("rollout order taken: {} by={}", order, request.by)
                return RolloutReply(true, status = status())
            }
        }
        return outOfReach()
    }

    private fun storeOrders(orders: OperatorOrders, version: Long): Boolean {
        val result =
            store
                .transact(
                    mapOf(Keys.ROLLOUT_ORDERS to version),
                    listOf(
                        Put(
                            Keys.ROLLOUT_ORDERS,
                            RolloutWire
                                .encode(orders),
                        ),
                    ),
                )
        cache.sync(SYNC_TIMEOUT)
        // An answer that was lost: what is stored tells whether it was carried out.
        return result is StoreResult.Ok || records.orders().valueOrNull() == orders
    }

    private fun outOfReach() = RolloutReply(false, "the state service is out of reach", ORDER_RETRY_SECONDS, status())

    private fun status() =
        RolloutReplies
            .status(identity, leadership.recordedLeader(), registry, policy.mode, gate.fence(), records, overview())

    /** The leader's own view; another node has only what is stored. */
    private fun overview(): RolloutOverview? {
        val term = leadership.current() ?: return null
        return synchronized(this) { current?.takeIf { it.term == term }?.engine?.overview(input(term)) }
    }

    private companion object {
        val log = loggerOf(RolloutManager::class.java)
        const val UNMANAGED_BUILD = "without levels"
        const val ORDER_TRIES = 3
        const val ORDER_RETRY_SECONDS = 2
        val SYNC_TIMEOUT = 1500.milliseconds

        /** How often members are asked while something is to come. */
        val ACTIVE_PAUSE = 2.seconds

        /** And while nothing is. */
        val SETTLED_PAUSE = 10.seconds
        val FOLLOWER_PAUSE = 500.milliseconds
        val FENCED_STAND_BACK = 60.seconds
    }
}
