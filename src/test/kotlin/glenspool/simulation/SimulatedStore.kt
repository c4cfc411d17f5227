package glenspool.simulation

import glenspool.api.FinalStates
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreResult
import kotlin.time.Duration

/** The key-value store of a [ClusterSimulation], with its outages and the reads that its users need. */
internal class SimulatedStore(private val context: SimulationContext) {
    val state = InMemoryStore().also { it.maxChangesPerTransaction = context.config.txnOps }
    val records = JobRecordReader(state)
    val finalStates = FinalStates { key -> state.get(key)?.let { StoreResult.Ok(it) } ?: StoreResult.Missing }

    /** Until then the store answers nobody. */
    var downUntil = Duration.ZERO
    val isDown: Boolean get() = context.now < downUntil

    /** The stored final state of a job; null while it has none. */
    fun finalState(job: String): String? = state.entries[Keys.final(job)]?.value?.get("end") as String?

    fun hasRecord(job: String): Boolean = Keys.job(job) in state.entries

    fun hasCancellation(job: String): Boolean = Keys.cancel(job) in state.entries
}
