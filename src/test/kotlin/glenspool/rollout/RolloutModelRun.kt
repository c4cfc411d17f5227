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
    private val runningProcesses = HashMap<String, ModelProcess>()
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
        if (++steps % (2 * PERIOD_STEPS) == PERIOD_STEPS) repairAll()
        // Without periods in which every member is healthy, no level would become active.
        val isCalm = steps / PERIOD_STEPS % 2 == 1
        val event = random.nextInt(18)
        when (if (isCalm && event < FAULT_EVENT_COUNT) FAULT_EVENT_COUNT else event) {
            0 -> start(members.random(random), random.nextInt(1, 4))
            1 -> end(members.random(random))
            2 -> members.random(random).let { if (!partitioned.remove(it)) partitioned.add(it) }
            3 -> unavailableUntil = now + random.nextLong(1, 8).seconds
            4 -> commitLateTransaction()
            5 -> requestOrder()
            6 -> if (chance(30)) elect()
            7, 8, 9, 10 -> writeForm()
            11, 12 -> rewriteForm()
            else -> leaderRound()
        }
        if (leader == null && chance(30)) elect()
        runningProcesses.values.forEach(::updateStoreCache)
        runningProcesses.values.forEach { model.checkReader(it, now) }
    }

    private fun chance(percent: Int) = random.nextInt(100) < percent

    private fun anyRunningProcess(): ModelProcess? = runningProcesses.values.sortedBy { it.member }.randomOrNull(random)

    private fun start(member: String, highest: Int) {
        end(member)
        val lowest = if (chance(10)) minOf(1, highest) else 0
        val boot = "$member-${model.processes.size}"
        val process = ModelProcess(member, boot, registryUpTo(highest, lowest), now, store)
        model.processes.add(process)
        runningProcesses[member] = process
        process.storeCache.startLoad()
    }

    private fun end(member: String) {
        runningProcesses.remove(member)?.let { it.endedAt = now }
        if (leader?.process?.member == member) leader = null
    }

    /** Makes all members run, mostly with the same build, and reach each other and the store. */
    private fun repairAll() {
        partitioned.clear()
        unavailableUntil = now
        val highest = random.nextInt(1, 4)
        members.forEach { if (it !in runningProcesses || chance(60)) start(it, highest) }
    }

    private fun updateStoreCache(process: ModelProcess) {
        if (now < unavailableUntil || process.member in partitioned && chance(50)) return
        if (process.storeCache.loadPage(1 + random.nextInt(4))) return
        process.storeCache.advance(
            process.storeCache.revision + random.nextLong(0, store.revision - process.storeCache.revision + 1),
        )
    }

    private fun catchUp(process: ModelProcess) {
        while (process.storeCache.loadPage(PAGE_SIZE)) Unit
        process.storeCache.advance(store.revision)
    }

    private fun elect() {
        if (now < unavailableUntil) return
        val process = anyRunningProcess() ?: return
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
        for (other in runningProcesses.values.filter(::isReachable)) {
            // The answer of a process that has since ended is never newer than its request.
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
        val process = anyRunningProcess() ?: return
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
        val process = anyRunningProcess() ?: return
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
            else -> commit(transaction)
        }
    }

    private fun commitLateTransaction() {
        if (lateTransactions.isEmpty()) return
        commit(lateTransactions.removeAt(random.nextInt(lateTransactions.size)))
    }

    private fun commit(transaction: ModelTransaction) {
        val before = model.storedLevel()
        val failed = store.transact(transaction.conditions, listOf(transaction.put), emptyList())
        if (failed == null) model.checkTransaction(before, transaction, now)
    }

    private companion object {
        const val PAGE_SIZE = 50

        /** Periods with faults and calm periods alternate; each lasts this number of steps. */
        const val PERIOD_STEPS = 40

        /** The events with lower numbers are faults. */
        const val FAULT_EVENT_COUNT = 4
    }
}
