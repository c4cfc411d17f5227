package glenspool.simulation

import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.RecordWire
import java.util.BitSet
import kotlin.time.Duration

/**
 * The requests of the users of a [ClusterSimulation] and the actual outcome of their jobs, against which the rules are
 * checked. [onStored] is called a network delay after each transaction of a user.
 */
internal class SimulatedJobs(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val onStored: () -> Unit,
) {
    /** All jobs that workers may know, including those that were never submitted. */
    val specs = HashMap<String, JobSpec>()
    val dependenciesOf = HashMap<String, List<String>>()

    /** Tasks that completed on a machine, by job. */
    val completedTasks = HashMap<String, BitSet>()

    /** The time at which the cancellation was confirmed to the user, by job. */
    val cancelledAt = HashMap<String, Duration>()
    private val submittedAt = HashMap<String, Duration>()

    /** Jobs of which workers have tasks although the store has no record of them. */
    private val unrecorded = HashSet<String>()

    fun isUnrecorded(job: String): Boolean = job in unrecorded

    fun submit(spec: JobSpec, dependencies: List<String>) {
        specs[spec.id] = spec
        unrecorded.remove(spec.id)
        submittedAt[spec.id] = context.now
        if (dependencies.isNotEmpty()) dependenciesOf[spec.id] = dependencies
        completedTasks[spec.id] = BitSet()
        val record = RecordWire.encode(JobRecord(spec, context.now, 0, BitSet(), emptyList(), dependencies))
        transact(mapOf(Keys.job(spec.id) to 0L, Keys.final(spec.id) to 0L), Put(Keys.job(spec.id), record))
    }

    /** Adds a job for use by workers without storing it, unless it exists already. */
    fun addUnrecorded(spec: JobSpec) {
        if (spec.id !in specs) unrecorded.add(spec.id)
        specs.putIfAbsent(spec.id, spec)
        completedTasks.putIfAbsent(spec.id, BitSet())
    }

    /** Cancels a job as a node does for a user. Returns whether the cancellation was confirmed. */
    fun cancel(job: String): Boolean {
        if (store.isDown) return false
        val request = Put(Keys.cancel(job), mapOf("at" to context.now.inWholeMilliseconds))
        val isConfirmed = transact(mapOf(Keys.cancel(job) to 0L, Keys.final(job) to 0L), request)
        if (isConfirmed) cancelledAt[job] = context.now
        return isConfirmed
    }

    private fun transact(conditions: Map<String, Long>, put: Put): Boolean {
        val isStored = store.state.transact(conditions, listOf(put), emptyList()) == null
        context.after(context.networkDelay()) { onStored() }
        return isStored
    }

    /**
     * Returns since when the job is aborted, or null if it is not. This is a slow reference model: a job is aborted if
     * the cancellation of the job or of any direct or transitive dependency was confirmed to the user.
     */
    fun abortedSince(job: String): Duration? {
        val own = listOfNotNull(cancelledAt[job])
        val ofDependencies = dependenciesOf[job].orEmpty().mapNotNull { abortedSince(it) }
        return (own + ofDependencies.map { maxOf(it, submittedAt.getValue(job)) }).minOrNull()
    }

    fun areDependenciesDone(job: String): Boolean = dependenciesOf[job].orEmpty().all { store.finalState(it) == "done" }

    fun markTaskCompleted(job: String, task: Int) = completedTasks.getValue(job).set(task)
}
