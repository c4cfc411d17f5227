package glenspool.rollout

import glenspool.simulation.InMemoryStore
import glenspool.simulation.LaggingStoreReplica
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.wire.RolloutWire
import kotlin.time.Duration

/** Records whose key has this prefix stand for records in a form of the level that their value names. */
internal const val FORM_PREFIX = "g/j/form-"

internal fun formValue(level: Int) = mapOf("form" to level.toLong())

/** Returns the level of a form record. */
internal fun Map<String, Any?>.formLevel(): Int = (getValue("form") as Long).toInt()

/** A controller process of a [RolloutModelRun]. Its store cache lags behind the store. */
internal class ModelProcess(
    val member: String,
    val boot: String,
    val registry: FeatureRegistry,
    val startedAt: Duration,
    store: InMemoryStore,
) {
    var endedAt: Duration? = null
    val storeCache = LaggingStoreReplica(store)
    val records = RolloutRecords(storeCache) { storeCache.isLoaded }
    val levels = registry.levelsOf("build-${registry.highest}")
    val gate = FeatureGate(levels, records::level)

    fun forms() = storeCache.withPrefix(FORM_PREFIX)

    fun formsOf(level: Int) = forms().filter { it.value.formLevel() == level }
}

internal class ModelTransaction(val conditions: Map<String, Long>, val put: Put)

/**
 * The reference model. It records every process and checks each level change, each write of a form and each reader only
 * by these records and the store.
 */
internal class RolloutModel(
    private val store: InMemoryStore,
    private val members: List<String>,
    private val policy: RolloutPolicy,
) {
    val processes = ArrayList<ModelProcess>()
    val violations = ArrayList<String>()

    /** How often each level became active. */
    val activations = HashMap<Int, Int>()

    /** How many form records were written. */
    var formWrites = 0
        private set

    /** The stored level record; null if there is none. */
    fun storedLevel(): LevelRecord? = store.entries[Keys.LEVEL]?.let { RolloutWire.decodeLevel(it.value) }

    /** Checks that the process reads no form above its build's levels unless it is fenced. */
    fun checkReader(process: ModelProcess, now: Duration) {
        if (!process.storeCache.isLoaded) return
        val highest = process.forms().maxOfOrNull { it.value.formLevel() } ?: return
        if (highest > process.levels.highest && process.gate.fence() == null) {
            violations.add("$now ${process.boot} is not fenced and reads form $highest with build ${process.levels}")
        }
    }

    /** Checks a committed transaction. [before]: the level record before it. */
    fun checkTransaction(before: LevelRecord?, transaction: ModelTransaction, now: Duration) {
        val put = transaction.put
        when {
            put.key == Keys.LEVEL -> checkLevel(before, RolloutWire.decodeLevel(put.value), now)
            put.key.startsWith(FORM_PREFIX) -> checkForm(before, transaction, now)
        }
    }

    private fun checkForm(level: LevelRecord?, transaction: ModelTransaction, now: Duration) {
        val form = transaction.put.value.formLevel()
        formWrites++
        val isNew = transaction.conditions.values.any { it == 0L }
        if (isNew && form > (level?.highestWritable ?: 0)) violations.add("$now form $form was newly written at $level")
        if (form > (level?.level ?: 0)) violations.add("$now form $form was stored at $level")
    }

    private fun checkLevel(before: LevelRecord?, after: LevelRecord, now: Duration) {
        val leaderToken = store.entries.getValue(Keys.LEADERSHIP).value["token"]
        if (leaderToken != after.token) violations.add("$now $after was not stored by the leader")
        val from = before?.level ?: 0
        when (after.level) {
            from + 1 -> checkActivation(after, now)
            from -> Unit
            from - 1 -> checkDeactivation(before, now)
            else -> violations.add("$now $before became $after")
        }
    }

    private fun checkDeactivation(before: LevelRecord?, now: Duration) {
        val forms = store.entries.filterKeys { it.startsWith(FORM_PREFIX) }
        val remaining = forms.filterValues { it.value.formLevel() == before?.level }
        if (before?.stage != LevelStage.LEAVING || remaining.isNotEmpty()) {
            violations.add("$now $before was lowered with ${remaining.keys}")
        }
    }

    /** Checks that every member had one process that reads the level, ran recently and for the settling time. */
    private fun checkActivation(after: LevelRecord, now: Duration) {
        activations.merge(after.level, 1, Int::plus)
        // A transaction may be committed later than the decision; its conditions ensure that there was no other
        // decision in between.
        val decidedAt = after.changedAt
        for (member in members) {
            val hasEvidence =
                processes.any {
                    it.member == member &&
                        it.levels.reads(after.level) &&
                        it.startedAt <= decidedAt - policy.settlingTime &&
                        it.endedAt.let { end -> end == null || end >= decidedAt - policy.evidenceAge }
                }
            if (!hasEvidence) violations.add("$now $after was activated without evidence about $member")
        }
    }
}
