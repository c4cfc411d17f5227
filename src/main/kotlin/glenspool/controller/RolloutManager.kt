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
import glenspool.rollout.RolloutAction
import glenspool.rollout.RolloutEngine
import glenspool.rollout.RolloutInput
import glenspool.rollout.RolloutOverview
import glenspool.rollout.RolloutPolicy
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.state.StoreCache
import glenspool.state.wallClock
import glenspool.wire.RolloutWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Identifies this process among the controllers.
 *
 * @property boot differs between any two processes
 * @property levels the levels that this process reads
 */
data class ProcessIdentity(val node: String, val boot: String, val levels: BuildLevels)

/**
 * Connects the [RolloutEngine] with the key-value store and the other controllers. While this node leads, it queries
 * the other controllers for evidence and stores what the engine decides, on condition that the node still leads and
 * that the record on which the decision was based has not changed.
 */
class RolloutManager(
    private val identity: ProcessIdentity,
    members: List<String>,
    private val registry: FeatureRegistry,
    private val policy: RolloutPolicy,
    store: KeyValueStoreClient,
    cache: StoreCache,
    private val leadership: Leadership,
    private val peers: PeerClient,
    private val health: HealthCounters,
    private val isReady: () -> Boolean,
    private val uptime: () -> Duration,
    /** Ends the process. */
    private val exit: () -> Unit,
) {
    private class TermEngine(val term: Term, val engine: RolloutEngine)

    /** What the engine decided in one round. [isSettled]: no hold is in force. */
    private class Decision(val actions: List<RolloutAction>, val isSettled: Boolean)

    private val allMembers = (members + identity.node).toSet()
    private val records = RolloutRecords(cache) { cache.age() != null }
    private val recordStore = RecordStore(store, cache)

    /** Decides which forms this process may write, and whether it may serve. */
    val gate = FeatureGate(identity.levels, records::level)

    private val operations =
        RolloutOperations(
            identity, registry, policy.mode, allMembers, records, recordStore, gate, leadership, ::overview,
        )

    /** Guarded by this object's lock, since operators' queries are answered on other threads. */
    private var current: TermEngine? = null
    private var reportedFence: Fence? = null

    /** The levels and the health that this process reports to the other controllers. */
    fun ownLevels(): PeerLevels {
        val counts = health.counts()
        return PeerLevels(
            identity.boot, identity.levels.build, identity.levels.lowest, identity.levels.highest,
            isReady() && gate.fence() == null,
            counts.failovers, counts.expiredLeases, counts.refusals, counts.rejectedWrites,
        )
    }

    /** Answers an operator's query or order. */
    fun answer(request: RolloutRequest): RolloutReply = operations.answer(request)

    /** The body of the service thread. */
    fun run() {
        while (!Thread.currentThread().isInterrupted) {
            reactToFence()
            val interval = leadership.current()?.let(::lead) ?: endTerm()
            Thread.sleep(interval.inWholeMilliseconds)
        }
    }

    private fun endTerm(): Duration {
        synchronized(this) { current = null }
        return FOLLOWER_INTERVAL
    }

    /** Runs one round: collects evidence, decides and acts. Returns the time until the next round. */
    private fun lead(term: Term): Duration {
        val requestSentAt = uptime()
        val statuses = peers.statuses()
        val decision = synchronized(this) { decide(term, statuses, requestSentAt) }
        decision.actions.forEach { perform(it, term) }
        return if (decision.isSettled && decision.actions.isEmpty()) {
            minOf(SETTLED_INTERVAL, policy.evidenceAge / 2)
        } else {
            minOf(ACTIVE_INTERVAL, policy.evidenceAge / 4)
        }
    }

    private fun decide(term: Term, statuses: List<PeerStatus>, requestSentAt: Duration): Decision {
        val engine = engineOf(term)
        engine.memberReported(report(PeerStatus(identity.node, true, null, true, levels = ownLevels())), requestSentAt)
        statuses.forEach { engine.memberReported(report(it), requestSentAt) }
        val input = input(term)
        val actions = engine.step(input)
        return Decision(actions, isSettled = engine.overview(input).hold == null)
    }

    private fun engineOf(term: Term): RolloutEngine {
        current?.takeIf { it.term == term }?.let { return it.engine }
        // Each term gets a new engine, since evidence that an earlier leader collected is out of date.
        return RolloutEngine(registry, policy, allMembers, uptime()).also { current = TermEngine(term, it) }
    }

    private fun input(term: Term) =
        RolloutInput(
            uptime(), wallClock(), term.token, identity.node, records.level(), records.orders(), records.state(),
        ) { level -> if (level == FeatureRegistry.SEALED_RECORDS) records.countSealedRecordKeys() else 0 }

    private fun report(status: PeerStatus): MemberReport {
        val levels = status.levels
        if (levels == null) {
            // A build without levels reports which stored forms it reads, or not even that.
            val assumed = BuildLevels(UNMANAGED_BUILD, FeatureRegistry.BASE, status.readableLevel)
            return MemberReport(status.node, null, assumed, status.isCacheFresh)
        }
        return MemberReport(
            status.node,
            levels.boot,
            BuildLevels(levels.build, levels.lowest, levels.highest),
            levels.ready,
            HealthCounts(levels.failovers, levels.expiredLeases, levels.refusals, levels.rejectedWrites),
        )
    }

    private fun perform(action: RolloutAction, term: Term) {
        when (action) {
            is RolloutAction.StoreLevel -> {
                val record = action.record
                log.info("storing level={} name={} stage={}", record.level, record.name, record.stage)
                store(term, Put(Keys.LEVEL, RolloutWire.encode(record)), action.version)
            }
            is RolloutAction.StoreState ->
                store(term, Put(Keys.ROLLOUT_STATE, RolloutWire.encode(action.state)), action.version)
            is RolloutAction.Notice ->
                if (action.isWarning) log.warn("rollout: {}", action.text) else log.info("rollout: {}", action.text)
        }
    }

    private fun store(term: Term, put: Put, version: Long) {
        if (leadership.current() != term) return
        recordStore.replaceInTerm(term, put, version) { leadership.stepDown("a rollout record was refused") }
    }

    private fun reactToFence() {
        val fence = gate.fence()
        if (fence == reportedFence) return
        reportedFence = fence
        if (fence == null) {
            log.info("this process is no longer fenced and may lead and serve again")
            return
        }
        log.error("this process is fenced and must neither lead nor serve: {}", fence)
        leadership.resign("fenced", FENCED_BACKOFF)
        if (policy.fencedReaction == FencedReaction.EXIT) exit()
    }

    /** The rollout as the leader sees it; null if this node does not lead and so has only the stored records. */
    private fun overview(): RolloutOverview? {
        val term = leadership.current() ?: return null
        return synchronized(this) { current?.takeIf { it.term == term }?.engine?.overview(input(term)) }
    }

    private companion object {
        val log = loggerOf(RolloutManager::class.java)
        const val UNMANAGED_BUILD = "without levels"

        /** How often members are queried while the rollout still has steps to take. */
        val ACTIVE_INTERVAL = 2.seconds

        /** How often members are queried while the rollout has no steps to take. */
        val SETTLED_INTERVAL = 10.seconds
        val FOLLOWER_INTERVAL = 500.milliseconds
        val FENCED_BACKOFF = 60.seconds
    }
}
