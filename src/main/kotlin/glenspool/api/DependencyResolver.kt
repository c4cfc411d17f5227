package glenspool.api

import glenspool.core.model.FinalState
import glenspool.core.model.JobKind
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.LiveKeyReader
import glenspool.wire.RecordWire

/**
 * Derives the state of jobs that depend on others from the stored records at the time of the call. It does not require
 * that the dependent job is already stored as aborted, so the result is valid at every node, leader or not, as soon as
 * the cancellation of the dependency is stored. It is never revoked: a cancelled job is never done, so the jobs that
 * depend on it are never released.
 */
class DependencyResolver(
    private val liveKeys: LiveKeyReader,
    private val records: JobRecordReader,
    private val finalStates: FinalStates,
) {
    /** The state of a job that depends on others. */
    sealed interface Resolution

    /** @property unfinishedDependencies the named jobs that are not done */
    data class Waiting(val unfinishedDependencies: List<String>) : Resolution

    /** @property cancelledJob the cancelled job among the direct and indirect dependencies */
    data class Aborted(val cancelledJob: String) : Resolution

    /** The key-value store could not be read. */
    data object Undetermined : Resolution

    /**
     * Resolves the state of a job with these [dependencies]. Dependencies of dependencies are followed to any depth.
     * The caller must have brought the store cache up to date.
     */
    fun resolve(dependencies: List<String>): Resolution {
        val traversal = Traversal(dependencies)
        val cancelledJob = liveKeys.atomically { traversal.findCancelled() }
        if (cancelledJob != null) return Aborted(cancelledJob)
        for (jobId in traversal.endedJobs) {
            // The dependency was accepted before the job that names it and is not live, so its final state is stored.
            val lookup = finalStates.read(jobId) as? FinalStates.Ended ?: return Undetermined
            if (lookup.outcome.state == FinalState.CANCELLED) return Aborted(jobId)
        }
        return Waiting(traversal.liveDependencies)
    }

    /** A breadth-first search over all live jobs among the direct and indirect [dependencies]. */
    private inner class Traversal(private val dependencies: List<String>) {
        /** Jobs that are no longer live, found before the first cancelled job. */
        val endedJobs = ArrayList<String>()

        /** Live jobs among [dependencies]. */
        val liveDependencies = ArrayList<String>()

        /** Returns the first job found whose cancellation is stored, or null if there is none. */
        fun findCancelled(): String? {
            val direct = dependencies.toHashSet()
            val seen = HashSet(dependencies)
            val queue = ArrayDeque(dependencies)
            while (queue.isNotEmpty()) {
                val jobId = queue.removeFirst()
                if (liveKeys.get(Keys.cancel(jobId)) != null) return jobId
                val record = liveKeys.get(Keys.job(jobId))
                if (record == null) {
                    endedJobs.add(jobId)
                    continue
                }
                if (jobId in direct) liveDependencies.add(jobId)
                if (RecordWire.waitsForDependencies(record.value)) {
                    records.readWithoutChunks(jobId, record.value).dependencies.filterTo(queue) { seen.add(it) }
                }
            }
            return null
        }
    }

    /** Whether a new job may depend on the jobs that it names. */
    sealed interface Validation

    /**
     * All named jobs were accepted.
     *
     * @property abortedBy a cancelled job among them or among the jobs that they depend on; null if there is none
     */
    data class Valid(val abortedBy: String?) : Validation

    /** The new job may not depend on the named jobs, for the given [reason]. */
    data class Invalid(val reason: String) : Validation

    /** The key-value store could not be read. */
    data object Undecided : Validation

    /**
     * Checks whether a new job may name these [dependencies]. The caller must have brought the store cache up to date
     * after the request arrived.
     */
    fun validate(jobId: String, dependencies: List<String>): Validation {
        if (jobId in dependencies) return Invalid("awaits: a job can't wait for itself")
        for (dependency in dependencies) {
            val problem = validateDependency(dependency)
            if (problem != null) return problem
        }
        return when (val resolution = resolve(dependencies)) {
            is Waiting -> Valid(abortedBy = null)
            is Aborted -> Valid(resolution.cancelledJob)
            Undetermined -> Undecided
        }
    }

    /** Returns null if a new job may name [jobId] as a dependency. */
    private fun validateDependency(jobId: String): Validation? {
        val record =
            liveKeys.atomically {
                liveKeys.get(Keys.job(jobId))?.let { records.readWithoutChunks(jobId, it.value) }
            }
        if (record != null) {
            val isService = record.spec.kind == JobKind.SERVICE
            return if (isService) Invalid("awaits: $jobId is a service, which is never done") else null
        }
        return when (finalStates.read(jobId)) {
            is FinalStates.Ended -> null
            FinalStates.Missing -> Invalid("awaits: $jobId was never accepted")
            FinalStates.Unreachable -> Undecided
        }
    }
}
