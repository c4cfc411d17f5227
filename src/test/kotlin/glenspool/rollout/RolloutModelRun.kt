package glenspool.rollout

import glenspool.simulation.InMemoryStore
import glenspool.simulation.registryUpTo
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.conditions
import glenspool.wire.Fields
import glenspool.wire.RolloutWire
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A random interleaving of process ends, upgrades, downgrades, partitions, outages, orders, late transactions and
 * lagging store caches, checked by a [RolloutModel].
 */
internal class RolloutModelRun(seed: Long) {
    private class Leader(
        val process: ModelProcess,
        val token: Long,
        val recordVersion: Long,
        val engine: RolloutEngine,
    )

    private val random = Random(seed)
    private val store = InMemoryStore()
    private val policy = RolloutPolicy(settlingTime = 8.seconds, evidenceAge = 5.seconds)
    private val members = listOf("a", "b", "c")
    private val live = HashMap<String, ModelProcess>()
    private val partitioned = HashSet<String>()
    private val lateTransactions = ArrayList<ModelTransaction>()
    private var now = 100.seconds
    private var unavailableUntil = Duration.ZERO
    private var leader: Leader? = null
    private var lastToken = 0L
    private var formRecords = 0
    private var steps = 0
    val model = RolloutModel(store, members, policy)

    init {
        members.forEach { start(it, highest = 1) }
    }

    fun step() {
        now += random.nextLong(200, 2500).milliseconds
        if (++steps % (2 * PERIOD) == PERIOD) repairAll()
        // Without periods in which every member is well, no level would ever become active.
        val isCalm = steps / PERIOD % 2 == 1
        val event = random.nextInt(18)
        when (if (isCalm && event < FAULT_EVENTS) FAULT_EVENTS else event) {
            0 -> start(members.random(random), random.nextInt(1, 4))
            1 -> end(members.random(random))
            2 -> members.random(random).let { if (!partitioned.remove(it)) partitioned.add(it) }
            3 -> unavailableUntil = now + random.nextLong(1, 8).seconds
            4 -> carryOutLateTransaction()
            5 -> requestOrder()
            6 -> if (chance(30)) elect()
            7, 8, 9, 10 -> writeForm()
            11, 12 -> rewriteForm()
            else -> leaderRound()
        }
        if (leader == null && chance(30)) elect()
        live.values.forEach(::followStore)
        live.values.forEach { model.checkReader(it, now) }
    }

    private fun chance(percent: Int) = random.nextInt(100) < percent

    private fun anyLive(): ModelProcess? = live.values.sortedBy { it.member }.randomOrNull(random)

    private fun start(member: String, highest: Int) {
        end(member)
        val lowest = if (chance(10)) minOf(1, highest) else 0
        val boot = "$member-${model.processes.size}"
        val process = ModelProcess(member, boot, registryUpTo(highest, lowest), now, store)
        model.processes.add(process)
        live[member] = process
        process.view.beginLoad()
    }

    private fun end(member: String) {
        live.remove(member)?.let { it.endedAt = now }
        if (leader?.process?.member == member) leader = null
    }

    /** All members run, mostly with the same build, and reach each other and the store. */
    private fun repairAll() {
        partitioned.clear()
        unavailableUntil = now
        val highest = random.nextInt(1, 4)
        members.forEach { if (it !in live || chance(60)) start(it, highest) }
    }

    private fun followStore(process: ModelProcess) {
        if (now < unavailableUntil || process.member in partitioned && chance(50)) return
        if (process.view.loadPage(1 + random.nextInt(4))) return
        process.view.advance(process.view.revision + random.nextLong(0, store.revision - process.view.revision + 1))
    }

    private fun catchUp(process: ModelProcess) {
        while (process.view.loadPage(PAGE)) Unit
        process.view.advance(store.revision)
    }

    private fun elect() {
        if (now < unavailableUntil) return
        val process = anyLive() ?: return
        catchUp(process)
        if (process.gate.fence() != null) return
        lastToken++
        val put = Put(Keys.LEADERSHIP, mapOf("node" to process.member, "token" to lastToken))
        store.transact(emptyMap(), listOf(put), emptyList())
        val recordVersion = store.revision
        catchUp(process)
        leader = Leader(process, lastToken, recordVersion, RolloutEngine(process.registry, policy, members, now))
    }

    private fun leaderRound() {
        val current = leader ?: return
        val process = current.process

        fun isReachable(other: ModelProcess) =
            other === process || other.member !in partitioned && process.member !in partitioned
        for (other in live.values.filter(::isReachable)) {
            // The answer of a process that has ended since is never newer than its request.
            val isReady = other.gate.fence() == null && chance(95)
            current.engine.memberReported(MemberReport(other.member, other.boot, other.levels, isReady), now)
        }
        current.engine.step(inputOf(current)).forEach { perform(it, current) }
    }

    private fun inputOf(leader: Leader): RolloutInput {
        val process = leader.process
        val records = process.records
        return RolloutInput(
            now,
            wallClock = now,
            leader.token,
            process.member,
            records.level(),
            records.orders(),
            records.state(),
            recordCountInLevel = { level -> process.formsOf(level).size },
        )
    }

    private fun perform(action: RolloutAction, leader: Leader) {
        when (action) {
            is RolloutAction.StoreLevel ->
                sendAsLeader(leader, Keys.LEVEL, action.version, RolloutWire.encode(action.record))
            is RolloutAction.StoreState ->
                sendAsLeader(leader, Keys.ROLLOUT_STATE, action.version, RolloutWire.encode(action.state))
            is RolloutAction.Notice -> Unit
        }
    }

    private fun requestOrder() {
        val process = anyLive() ?: return
        if (process.gate.fence() != null) return
        val stored = process.records.orders()
        val level = process.records.level()
        val active = ActivationRule.activeLevel(level) ?: 0
        val requests =
            listOf(
                OperatorRequest.Resume,
                OperatorRequest.Resume,
                OperatorRequest.Hold,
                OperatorRequest.Activate(active + 1),
                OperatorRequest.Deactivate(maxOf(1, active)),
            )
        val request = requests.random(random)
        val before = stored.valueOrNull() ?: OperatorOrders()
        val outcome = OrderRule(process.registry, members.toSet()).apply(request, before, level, now)
        val version = stored.replaceableVersion() ?: return
        if (outcome !is OrderOutcome.Accepted) return
        send(mapOf(Keys.ROLLOUT_ORDERS to version), Keys.ROLLOUT_ORDERS, RolloutWire.encode(outcome.orders))
    }

    /** Any process may store a new record in the highest form that it has a permit for. */
    private fun writeForm() {
        val process = anyLive() ?: return
        val form = (3 downTo 1).firstOrNull { process.gate.permit(it) != null } ?: return
        val key = "$FORM_PREFIX${formRecords++}"
        val permit = checkNotNull(process.gate.permit(form))
        send(permit.conditions() + (key to 0L), key, formValue(form))
    }

    /** While the level is being deactivated, the leader rewrites its records one by one. */
    private fun rewriteForm() {
        val current = leader ?: return
        val level =
            current.process.records
                .level()
                .valueOrNull() ?: return
        if (level.stage != LevelStage.LEAVING) return
        val item = current.process.formsOf(level.level).firstOrNull() ?: return
        sendAsLeader(current, item.key, item.version, formValue(level.level - 1))
    }

    private fun sendAsLeader(leader: Leader, key: String, version: Long, value: Fields) =
        send(mapOf(Keys.LEADERSHIP to leader.recordVersion, key to version), key, value)

    private fun send(conditions: Map<String, Long>, key: String, value: Fields) {
        val transaction = ModelTransaction(conditions, Put(key, value))
        when {
            now < unavailableUntil || chance(5) -> Unit
            chance(15) -> lateTransactions.add(transaction)
            else -> carryOut(transaction)
        }
    }

    private fun carryOutLateTransaction() {
        if (lateTransactions.isEmpty()) return
        carryOut(lateTransactions.removeAt(random.nextInt(lateTransactions.size)))
    }

    private fun carryOut(transaction: ModelTransaction) {
        val before = model.storedLevel()
        val failed = store.transact(transaction.conditions, listOf(transaction.put), emptyList())
        if (failed == null) model.checkTransaction(before, transaction, now)
    }

    private companion object {
        const val PAGE = 50

        /** Periods with faults and calm periods alternate; each lasts this number of steps. */
        const val PERIOD = 40

        /** The events with lower numbers are faults. */
        const val FAULT_EVENTS = 4
    }
}
