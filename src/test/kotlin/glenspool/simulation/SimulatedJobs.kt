package glenspool.simulation

import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.wire.RecordWire
import java.util.BitSet
import kotlin.time.Duration

/**
 * What users did in a [ClusterSimulation] and what truly became of their jobs: the knowledge against which the rules
 * are checked. [onStored] is called a moment after each transaction of a user.
 */
internal class SimulatedJobs(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val onStored: () -> Unit,
) {
    /** All jobs that workers may know, also those that nobody submitted. */
    val specs = HashMap<String, JobSpec>()
    val dependenciesOf = HashMap<String, List<String>>()

    /** Tasks of each job that ran to their end. */
    val completedTasks = HashMap<String, BitSet>()

    /** When the cancellation of a job was confirmed to its user. */
    val cancelledAt = HashMap<String, Duration>()
    private val submittedAt = HashMap<String, Duration>()

    /** Jobs of which workers have tasks, though the store knows nothing of them. */
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

    /** Makes a job known to workers without storing it, unless it is known already. */
    fun addUnrecorded(spec: JobSpec) {
        if (spec.id !in specs) unrecorded.add(spec.id)
        specs.putIfAbsent(spec.id, spec)
        completedTasks.putIfAbsent(spec.id, BitSet())
    }

    /** Cancels a job as a node does for a user; true if the cancellation was confirmed. */
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
     * The slow reference model: since when the job is aborted, because it or any of its direct or transitive
     * dependencies was cancelled and the user told so; null if it is not.
     */
    fun abortedSince(job: String): Duration? {
        val own = listOfNotNull(cancelledAt[job])
        val ofDependencies = dependenciesOf[job].orEmpty().mapNotNull { abortedSince(it) }
        return (own + ofDependencies.map { maxOf(it, submittedAt.getValue(job)) }).minOrNull()
    }

    fun areDependenciesDone(job: String): Boolean = dependenciesOf[job].orEmpty().all { store.finalState(it) == "done" }

    fun markTaskCompleted(job: String, task: Int) = completedTasks.getValue(job).set(task)
}
