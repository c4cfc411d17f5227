package glenspool.simulation

import glenspool.api.FinalStates
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.StoreResult
import kotlin.time.Duration

/** The key-value store of a [ClusterSimulation] with its outages, and functions to read it. */
internal class SimulatedStore(private val context: SimulationContext) {
    val state = InMemoryStore().also { it.maxChangesPerTransaction = context.config.txnOps }
    val records = JobRecordReader(state)
    val finalStates = FinalStates { key -> state.get(key)?.let { StoreResult.Ok(it) } ?: StoreResult.Missing }

    /** The time until which the store answers no requests. */
    var downUntil = Duration.ZERO
    val isDown: Boolean get() = context.now < downUntil

    /** Returns the stored final state of a job, or null if it has none. */
    fun finalState(job: String): String? = state.entries[Keys.final(job)]?.value?.get("end") as String?

    fun hasRecord(job: String): Boolean = Keys.job(job) in state.entries

    fun hasCancellation(job: String): Boolean = Keys.cancel(job) in state.entries
}
