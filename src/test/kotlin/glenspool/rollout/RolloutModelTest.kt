package glenspool.rollout

import glenspool.simulation.InMemoryStore
import glenspool.simulation.LaggingView
import glenspool.simulation.registryUpTo
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.state.conditions
import glenspool.wire.Fields
import glenspool.wire.RolloutWire
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.ShrinkingMode
import net.jqwik.api.constraints.LongRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Random interleavings of ends, upgrades, downgrades, cuts, outages, orders, late transactions and replicas that are
 * behind. A slow plain model remembers every process that ever was and judges each activation and each write by that
 * alone.
 */
class RolloutModelTest {
    private class Process(
        val member: String,
        val boot: String,
        val registry: FeatureRegistry,
        val start: Duration,
        state: InMemoryStore,
    ) {
        var end: Duration? = null
        val view = LaggingView(state)
        val records = RolloutRecords(view) { view.loaded }
        val levels = registry.of("build-${registry.highest}")
        val gate = FeatureGate(levels, records::level)
    }

    private class Leader(val process: Process, val token: Long, val recordVersion: Long, val engine: RolloutEngine)

    private class Transaction(val conditions: Map<String, Long>, val put: Put)

    private inner class Run(seed: Long) {
        val random = Random(seed)
        val state = InMemoryStore()
        val policy = RolloutPolicy(settle = 8.seconds, evidenceAge = 5.seconds)
        val names = listOf("a", "b", "c")
        val live = HashMap<String, Process>()
        val processes = ArrayList<Process>()
        val cut = HashSet<String>()
        val late = ArrayList<Transaction>()
        var now = 100.seconds
        var leader: Leader? = null
        var token = 0L
        var records = 0
        var outUntil = Duration.ZERO
        val faults = ArrayList<String>()
        val activated = HashMap<Int, Int>()
        var formWrites = 0

        init {
            names.forEach { begin(it, 1) }
        }

        fun begin(name: String, highest: Int) {
            live.remove(name)?.let { it.end = now }
            if (leader?.process?.member == name) leader = null
            val process =
                Process(name, "$name-${processes.size}", registryUpTo(highest, if (chance(10)) minOf(1, highest) else 0), now, state)
            processes.add(process)
            live[name] = process
            process.view.beginLoad()
        }

        fun chance(percent: Int) = random.nextInt(100) < percent

        fun anyLive(): Process? = live.values.sortedBy { it.member }.randomOrNull(random)

        var steps = 0

        /** Without times in which everybody is well nothing would ever become active. */
        fun calm() = steps / PHASE % 2 == 1

        fun step() {
            now += random.nextLong(200, 2500).milliseconds
            if (++steps % (2 * PHASE) == PHASE) mend()
            val kind = random.nextInt(18)
            when (if (calm() && kind < TROUBLES) TROUBLES else kind) {
                0 -> begin(names.random(random), random.nextInt(1, 4))
                1 ->
                    names.random(random).let { name ->
                        live.remove(name)?.let { it.end = now }
                        if (leader?.process?.member == name) leader = null
                    }
                2 -> names.random(random).let { if (!cut.remove(it)) cut.add(it) }
                3 -> outUntil = now + random.nextLong(1, 8).seconds
                4 -> if (late.isNotEmpty()) late.removeAt(random.nextInt(late.size)).let(::carryOut)
                5 -> order()
                6 -> if (chance(30)) elect()
                7, 8, 9, 10 -> writeForm()
                11, 12 -> rewriteForms()
                else -> round()
            }
            if (leader == null && chance(30)) elect()
            live.values.forEach(::follow)
            live.values.forEach(::judgeReader)
        }

        /** All are there, mostly with one build, and reach each other. */
        fun mend() {
            cut.clear()
            outUntil = now
            val highest = random.nextInt(1, 4)
            names.forEach { if (it !in live || chance(60)) begin(it, highest) }
        }

        fun follow(process: Process) {
            if (now < outUntil || process.member in cut && chance(50)) return
            if (process.view.loadPage(1 + random.nextInt(4))) return
            process.view.advance(process.view.revision + random.nextLong(0, state.revision - process.view.revision + 1))
        }

        fun catchUp(process: Process) {
            while (process.view.loadPage(PAGE)) Unit
            process.view.advance(state.revision)
        }

        /**
         * The gate decides what a process makes of the records that it holds: none may be in a form beyond its build
         * unless it is fenced.
         */
        fun judgeReader(process: Process) {
            if (!process.view.loaded) return
            val forms = process.view.withPrefix(FORMS).map { it.value["form"] as Long }
            val highest = forms.maxOrNull() ?: return
            if (highest > process.levels.highest &&
                process.gate.fence() == null
            ) {
                faults.add("$now ${process.boot} meets form $highest with build ${process.levels} unfenced")
            }
        }

        fun elect() {
            if (now < outUntil) return
            val process = anyLive() ?: return
            catchUp(process)
            if (process.gate.fence() != null) return
            token++
            state
                .transact(emptyMap(), listOf(Put(Keys.LEAD, mapOf("node" to process.member, "token" to token))), emptyList())
            val recordVersion = state.revision
            catchUp(process)
            leader = Leader(process, token, recordVersion, RolloutEngine(process.registry, policy, names, now))
        }

        fun round() {
            val current = leader ?: return
            val process = current.process
            live.values.filter { it === process || it.member !in cut && process.member !in cut }.forEach {
                // The answer of a process that has ended since is never newer than its question.
                current.engine
                    .heard(MemberReport(it.member, it.boot, it.levels, it.gate.fence() == null && chance(95)), now)
            }
            val input =
                RolloutInput(
                    now, now, current.token, process.member, process.records.level(), process.records.orders(),
                    process.records
                        .state(),
                ) { level ->
                    process.view.withPrefix(FORMS).count { it.value["form"] == level.toLong() }
                }
            for (action in current.engine.step(input)) {
                when (action) {
                    is RolloutAction.StoreLevel ->
                        sendAsLeader(
                            current, Keys.LEVEL, action.version,
                            RolloutWire
                                .encode(action.record),
                        )
                    is RolloutAction.StoreState ->
                        sendAsLeader(
                            current, Keys.ROLLOUT_STATE, action.version,
                            RolloutWire
                                .encode(action.state),
                        )
                    is RolloutAction.Notice -> Unit
                }
            }
        }

        fun sendAsLeader(leader: Leader, key: String, version: Long, value: Fields) =
            send(
                mapOf(
                    Keys.LEAD to leader.recordVersion, key to version,
                ),
                key, value,
            )

        fun order() {
            val process = anyLive() ?: return
            if (process.gate.fence() != null) return
            val stored = process.records.orders()
            val level = ActivationRule.currentLevel(process.records.level()) ?: 0
            val request =
                listOf(
                    OperatorRequest.Resume, OperatorRequest.Resume, OperatorRequest.Hold,
                    OperatorRequest
                        .Activate(level + 1),
                    OperatorRequest.Deactivate(maxOf(1, level)),
                ).random(random)
            val outcome =
                OrderRule(process.registry, names.toSet()).apply(
                    request,
                    stored.valueOrNull() ?: OperatorOrders(), process.records.level(), now,
                )
            val version = stored.replaceableVersion() ?: return
            if (outcome is OrderOutcome.Accepted) {
                send(
                    mapOf(Keys.ROLLOUT_ORDERS to version), Keys.ROLLOUT_ORDERS,
                    RolloutWire
                        .encode(outcome.orders),
                )
            }
        }

        /** Any process may store a new record in the highest form that it holds a permit for. */
        fun writeForm() {
            val process = anyLive() ?: return
            val form = (3 downTo 1).firstOrNull { process.gate.permit(it) != null } ?: return
            val key = "$FORMS${records++}"
            val permit = checkNotNull(process.gate.permit(form))
            send(permit.conditions() + (key to 0L), key, mapOf("form" to form.toLong()))
        }

        /** What the leader rewrites, record by record, once the level is being left. */
        fun rewriteForms() {
            val process = leader?.process ?: return
            val record = process.records.level().valueOrNull() ?: return
            if (record.stage != LevelStage.LEAVING) return
            val item = process.view.withPrefix(FORMS).firstOrNull { it.value["form"] == record.level.toLong() } ?: return
            send(
                mapOf(Keys.LEAD to checkNotNull(leader).recordVersion, item.key to item.version), item.key,
                mapOf(
                    "form" to (record.level - 1).toLong(),
                ),
            )
        }

        fun send(conditions: Map<String, Long>, key: String, value: Fields) {
            val transaction = Transaction(conditions, Put(key, value))
            when {
                now < outUntil || chance(5) -> Unit
                chance(15) -> late.add(transaction)
                else -> carryOut(transaction)
            }
        }

        fun carryOut(transaction: Transaction) {
            val before = state.entries[Keys.LEVEL]?.let { RolloutWire.level(it.value) }
            if (state.transact(transaction.conditions, listOf(transaction.put), emptyList()) != null) return
            when {
                transaction.put.key == Keys.LEVEL -> judgeLevel(before, RolloutWire.level(transaction.put.value))
                transaction.put.key.startsWith(FORMS) -> judgeForm(before, transaction)
            }
        }

        fun judgeForm(level: LevelRecord?, transaction: Transaction) {
            val form = transaction.put.value["form"] as Long
            formWrites++
            val isNew = transaction.conditions.values.any { it == 0L }
            if (isNew && form > (level?.written ?: 0)) faults.add("$now form $form is written anew at $level")
            if (form > (level?.level ?: 0)) faults.add("$now form $form is stored at $level")
        }

        fun judgeLevel(before: LevelRecord?, after: LevelRecord) {
            if (state.entries.getValue(Keys.LEAD).value["token"] !=
                after.token
            ) {
                faults.add("$now $after is not of the leader")
            }
            val from = before?.level ?: 0
            when {
                after.level == from + 1 -> judgeActivation(after)
                after.level == from -> Unit
                after.level == from - 1 -> {
                    val left =
                        state.entries.filter { (key, entry) ->
                            key.startsWith(FORMS) &&
                                entry.value["form"] == from.toLong()
                        }
                    if (before?.stage != LevelStage.LEAVING ||
                        left.isNotEmpty()
                    ) {
                        faults.add("$now $before was lowered with ${left.keys}")
                    }
                }
                else -> faults.add("$now $before became $after")
            }
        }

        /**
         * Plainly: every member had one process that read the level, lived through the settling time, and was there
         * lately.
         */
        fun judgeActivation(after: LevelRecord) {
            activated.merge(after.level, 1, Int::plus)
            // A transaction may be carried out later than it was decided; the guards on it hold that nothing else was
            // decided since.
            val decided = after.changedAt
            for (name in names) {
                val proof =
                    processes.any {
                        it.member == name &&
                            it.levels.reads(after.level) &&
                            it.start <= decided - policy.settle &&
                            it.end.let { end -> end == null || end >= decided - policy.evidenceAge }
                    }
                if (!proof) faults.add("$now $after without $name")
            }
        }
    }

    private fun play(seed: Long, steps: Int) =
        Run(seed).also { run ->
            repeat(steps) {
                if (run.faults.isEmpty()) {
                    run
                        .step()
                }
            }
        }

    @Property(seed = "20261202", shrinking = ShrinkingMode.OFF)
    fun `no reader meets a form it can't read, and no level changes without evidence`(
        @ForAll @LongRange(min = 0) seed: Long,
    ) {
        val run = play(seed, 700)
        assertEquals(emptyList<String>(), run.faults, "seed $seed")
    }

    /** The property would hold of a rollout that never moves: over some runs each kind of change has to occur. */
    @org.junit.jupiter.api.Test
    fun `levels do become active and are left in these runs`() {
        val runs = (1L..12L).map { play(it, 700) }
        assertTrue(runs.count { 2 in it.activated } >= 3, "${runs.map { it.activated }}")
        assertTrue(runs.any { run -> run.activated.values.any { it > 1 } }, "no level was left and activated again")
        assertTrue(runs.sumOf { it.formWrites } > 200)
    }

    private companion object {
        const val FORMS = "g/j/form-"
        const val PAGE = 50
        const val PHASE = 40

        /** The first kinds of steps are troubles. */
        const val TROUBLES = 4
    }
}
