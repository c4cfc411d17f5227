package glenspool.simulation

import glenspool.rollout.BuildLevels
import glenspool.rollout.Deactivation
import glenspool.rollout.FeatureGate
import glenspool.rollout.FeatureLevel
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.LevelRecord
import glenspool.rollout.MemberReport
import glenspool.rollout.OperatorOrders
import glenspool.rollout.OperatorRequest
import glenspool.rollout.OrderOutcome
import glenspool.rollout.OrderRule
import glenspool.rollout.RolloutAction
import glenspool.rollout.RolloutEngine
import glenspool.rollout.RolloutInput
import glenspool.rollout.RolloutPolicy
import glenspool.rollout.replaceableVersion
import glenspool.rollout.valueOrNull
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.wire.RolloutWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The levels of a future build that exists only in tests. In addition to the current level it has one level that can be
 * deactivated again, and one that can't.
 */
val FUTURE_LEVELS =
    listOf(
        checkNotNull(FeatureRegistry.CURRENT.find(FeatureRegistry.SEALED_RECORDS)),
        FeatureLevel(2, "next-form", "a form that only tests write", Deactivation.REWRITE),
        FeatureLevel(3, "last-form", "a form without a way down", Deactivation.UNSUPPORTED),
    )

/** Returns the registry of a build that knows levels up to [highest] of [FUTURE_LEVELS]. */
fun registryUpTo(highest: Int, lowest: Int = FeatureRegistry.BASE): FeatureRegistry {
    val levels = FUTURE_LEVELS.take(highest)
    return FeatureRegistry(levels, lowest)
}

/**
 * A rollout in simulated time, with the production engines, gates and stored forms on an [InMemoryStore]. Tests set the
 * build and the condition of each member at any time.
 */
class RolloutSimulation(val policy: RolloutPolicy = RolloutPolicy(), names: List<String> = listOf("a", "b", "c")) {
    /** A controller that takes part in the rollout. */
    inner class Member(val name: String) {
        var registry = registryUpTo(1)

        /** Whether the build has no levels. Such a build reports only which stored forms it reads. */
        var isUnmanaged = false
        var up = true
        var ready = true

        /** Whether no other member receives a response from this one. The member may still reach the store. */
        var isPartitionedFromPeers = false
        private var processes = 0
        val boot: String get() = "$name-$processes"

        val levels: BuildLevels
            get() =
                if (isUnmanaged) {
                    BuildLevels("unmanaged", FeatureRegistry.BASE, registry.highest)
                } else {
                    registry.levelsOf("build-${registry.highest}")
                }
        val gate: FeatureGate get() = FeatureGate(levels, records::level)

        /** Starts a new process of a build that knows levels up to [highest]. */
        fun restart(highest: Int, isUnmanaged: Boolean = false, lowest: Int = FeatureRegistry.BASE) {
            processes++
            registry = registryUpTo(highest, lowest)
            this.isUnmanaged = isUnmanaged
            up = true
        }

        fun report(): MemberReport {
            val isReady = ready && (isUnmanaged || gate.fence() == null)
            return MemberReport(name, if (isUnmanaged) null else boot, levels, isReady)
        }
    }

    val state = InMemoryStore()
    val records = RolloutRecords(state) { true }
    val members = names.map { Member(it) }
    var now = 100.seconds
    private var token = 0L
    private var recordVersion = 0L
    lateinit var leader: Member
        private set
    private lateinit var engine: RolloutEngine

    /** What happens to a transaction of the leader. A late one is executed by [executeLateTransactions]. */
    enum class TransactionOutcome { DONE, ANSWER_LOST, LATE, REFUSED }

    var transactionOutcome = TransactionOutcome.DONE
    private val lateTransactions = ArrayList<() -> Unit>()
    val notices = ArrayList<String>()

    /** Each level record that was stored, in order. */
    val levelHistory = ArrayList<LevelRecord>()

    /** The number of times that the rollout's state was stored. */
    var stateWrites = 0
        private set

    fun member(name: String) = members.first { it.name == name }

    /** Begins a term of the given member, regardless of which member leads at present. */
    fun elect(name: String) {
        leader = member(name)
        token++
        state.transact(emptyMap(), listOf(Put(Keys.LEADERSHIP, mapOf("node" to name, "token" to token))), emptyList())
        recordVersion = state.revision
        engine = RolloutEngine(leader.registry, policy, members.map { it.name }, now)
    }

    /** Collects the reports of all members that answer the leader, and performs the actions of the engine. */
    fun runRound() {
        collectReports()
        engine.step(input()).forEach(::perform)
    }

    private fun collectReports() {
        members.filter(::answersLeader).forEach { engine.memberReported(it.report(), now) }
    }

    private fun answersLeader(member: Member): Boolean {
        val isConnected = !member.isPartitionedFromPeers && !leader.isPartitionedFromPeers
        return member.up && (member === leader || isConnected)
    }

    fun input() =
        RolloutInput(
            now = now,
            wallClock = now,
            token = token,
            leader = leader.name,
            level = records.level(),
            orders = records.orders(),
            state = records.state(),
            recordCountInLevel = { records.countSealedRecordKeys() },
        )

    fun overview() = engine.overview(input())

    /** Runs a round every two seconds for [time]. */
    fun run(time: Duration) {
        val end = now + time
        while (now < end) {
            now += 2.seconds
            runRound()
        }
    }

    private fun perform(action: RolloutAction) {
        when (action) {
            is RolloutAction.Notice -> notices.add(action.text)
            is RolloutAction.StoreLevel ->
                store(Keys.LEVEL, action.version, RolloutWire.encode(action.record)) { levelHistory.add(action.record) }
            is RolloutAction.StoreState ->
                store(Keys.ROLLOUT_STATE, action.version, RolloutWire.encode(action.state)) { stateWrites++ }
        }
    }

    private fun store(key: String, version: Long, value: Map<String, Any?>, onStored: () -> Unit) {
        val conditions = mapOf(Keys.LEADERSHIP to recordVersion, key to version)
        val transaction = { if (state.transact(conditions, listOf(Put(key, value)), emptyList()) == null) onStored() }
        when (transactionOutcome) {
            TransactionOutcome.DONE, TransactionOutcome.ANSWER_LOST -> transaction()
            TransactionOutcome.LATE -> lateTransactions.add(transaction)
            TransactionOutcome.REFUSED -> Unit
        }
    }

    /** Executes the late transactions whose conditions still hold. */
    fun executeLateTransactions() {
        lateTransactions.forEach { it() }
        lateTransactions.clear()
    }

    /** Applies an order of an operator, as the leader does. */
    fun applyOrder(request: OperatorRequest): OrderOutcome {
        val stored = records.orders()
        val rule = OrderRule(leader.registry, members.map { it.name }.toSet())
        val outcome = rule.apply(request, stored.valueOrNull() ?: OperatorOrders(), records.level(), now)
        if (outcome is OrderOutcome.Accepted) {
            val condition = mapOf(Keys.ROLLOUT_ORDERS to checkNotNull(stored.replaceableVersion()))
            val put = Put(Keys.ROLLOUT_ORDERS, RolloutWire.encode(outcome.orders))
            check(state.transact(condition, listOf(put), emptyList()) == null) { "the orders were changed meanwhile" }
        }
        return outcome
    }

    /** The level that is active according to the store. */
    val activeLevel: Int get() = records.level().valueOrNull()?.level ?: FeatureRegistry.BASE

    /** Returns the time that a record states in [milliseconds]. The records' time of day is the simulated time. */
    fun recordTime(milliseconds: Long) = milliseconds.milliseconds
}
