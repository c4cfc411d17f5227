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

/** Levels of a build that does not exist yet: one that can be left again, and one that can't. */
val FUTURE_LEVELS =
    listOf(
        checkNotNull(FeatureRegistry.CURRENT.find(FeatureRegistry.SEALED_RECORDS)),
        FeatureLevel(2, "next-form", "a form that only tests write", Deactivation.REWRITE),
        FeatureLevel(3, "last-form", "a form without a way down", Deactivation.UNSUPPORTED),
    )

/** A build that knows levels up to [highest] of [FUTURE_LEVELS]. */
fun registryUpTo(highest: Int, lowest: Int = FeatureRegistry.BASE) = FeatureRegistry(FUTURE_LEVELS.take(highest), lowest)

/**
 * A rollout in simulated time: real engines, gates and stored forms against a stand-in for the state service. Members
 * are what the tests say they are.
 */
class RolloutSimulation(val policy: RolloutPolicy = RolloutPolicy(), names: List<String> = listOf("a", "b", "c")) {
    inner class Member(val name: String) {
        var registry = registryUpTo(1)

        /** Builds before levels say nothing of them but which stored forms they read. */
        var unmanaged = false
        var up = true
        var ready = true

        /** Nobody gets an answer from it, though it may reach the state service. */
        var cutFromPeers = false
        private var processes = 0
        val boot get() = "$name-$processes"

        val levels: BuildLevels get() =
            if (unmanaged) {
                BuildLevels("unmanaged", FeatureRegistry.BASE, registry.highest)
            } else {
                registry
                    .of("build-${registry.highest}")
            }
        val gate: FeatureGate get() = FeatureGate(levels, records::level)

        fun restart(highest: Int, unmanaged: Boolean = false, lowest: Int = FeatureRegistry.BASE) {
            processes++
            registry = registryUpTo(highest, lowest)
            this.unmanaged = unmanaged
            up = true
        }

        fun report() =
            MemberReport(
                name, if (unmanaged) null else boot, levels,
                ready && (unmanaged || gate.fence() == null),
            )
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

    /** How transactions of the leader end; what is returned as late is carried out by [deliverLate]. */
    enum class Fate { DONE, ANSWER_LOST, LATE, REFUSED }

    var fate = Fate.DONE
    private val late = ArrayList<() -> Unit>()
    val notices = ArrayList<String>()

    /** Each level record that was stored, in order. */
    val levelHistory = ArrayList<LevelRecord>()
    var stateWrites = 0
        private set
    var recordsIn: (Int) -> Int = { records.sealedRecords() }

    fun member(name: String) = members.first { it.name == name }

    fun elect(name: String) {
        leader = member(name)
        token++
        state.transact(emptyMap(), listOf(Put(Keys.LEAD, mapOf("node" to name, "token" to token))), emptyList())
        recordVersion = state.revision
        engine = RolloutEngine(leader.registry, policy, members.map { it.name }, now)
    }

    /** The leader asks everybody and acts on what the engine decides. */
    fun round() {
        hear()
        engine.step(input()).forEach(::perform)
    }

    fun hear() {
        members.filter { it.up && (it === leader || !it.cutFromPeers && !leader.cutFromPeers) }.forEach {
            engine
                .memberReported(it.report(), now)
        }
    }

    fun input() = RolloutInput(now, now, token, leader.name, records.level(), records.orders(), records.state(), recordsIn)

    fun overview() = engine.overview(input())

    /** Rounds every two seconds for so long. */
    fun run(time: Duration) {
        val end = now + time
        while (now < end) {
            now += 2.seconds
            round()
        }
    }

    private fun perform(action: RolloutAction) {
        when (action) {
            is RolloutAction.Notice -> notices.add(action.text)
            is RolloutAction.StoreLevel ->
                store(Keys.LEVEL, action.version, RolloutWire.encode(action.record)) {
                    levelHistory
                        .add(action.record)
                }
            is RolloutAction.StoreState ->
                store(Keys.ROLLOUT_STATE, action.version, RolloutWire.encode(action.state)) {
                    stateWrites++
                }
        }
    }

    private fun store(key: String, version: Long, value: Map<String, Any?>, done: () -> Unit) {
        val conditions = mapOf(Keys.LEAD to recordVersion, key to version)
        val carryOut = { if (state.transact(conditions, listOf(Put(key, value)), emptyList()) == null) done() }
        when (fate) {
            Fate.DONE, Fate.ANSWER_LOST -> carryOut()
            Fate.LATE -> late.add(carryOut)
            Fate.REFUSED -> Unit
        }
    }

    fun deliverLate() {
        late.forEach { it() }
        late.clear()
    }

    fun order(request: OperatorRequest): OrderOutcome {
        val stored = records.orders()
        val outcome =
            OrderRule(leader.registry, members.map { it.name }.toSet()).apply(
                request,
                stored.valueOrNull() ?: OperatorOrders(), records.level(), now,
            )
        if (outcome is OrderOutcome.Accepted) {
            val condition = mapOf(Keys.ROLLOUT_ORDERS to checkNotNull(stored.replaceableVersion()))
            check(
                state.transact(condition, listOf(Put(Keys.ROLLOUT_ORDERS, RolloutWire.encode(outcome.orders))), emptyList()) ==
                    null,
            )
        }
        return outcome
    }

    val active: Int get() = records.level().valueOrNull()?.level ?: FeatureRegistry.BASE

    /** The time of day is the simulated time here; a moment of it in the records. */
    fun moment(milliseconds: Long) = milliseconds.milliseconds
}
