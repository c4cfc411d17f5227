package glenspool.api

import glenspool.core.model.FinalState
import glenspool.core.model.JobKind
import glenspool.state.JobRecordReader
import glenspool.state.Keys
import glenspool.state.LiveKeyReader
import glenspool.wire.RecordWire

/**
 * The state of jobs that depend on others, derived from the records when it is asked for. That a job was aborted by a
 * cancelled dependency need not be stored yet, so the answer holds at every node as soon as the cancellation does,
 * leader or not. It is never revoked: a cancelled job is never done, so what depends on it is never released.
 */
class DependencyResolver(
    private val live: LiveKeyReader,
    private val records: JobRecordReader,
    private val finalStates: FinalStates,
) {
    /** How a job stands that depends on others. */
    sealed interface Resolution

    /** [unfinishedDependencies]: those of the jobs named that are not done. */
    data class Waiting(val unfinishedDependencies: List<String>) : Resolution

    /** [cancelledJob]: the one that was cancelled, among the dependencies or theirs. */
    data class Aborted(val cancelledJob: String) : Resolution

    /** The key-value store could not be read. */
    data object Undetermined : Resolution

    /** The caller has brought the cache up to date. Dependencies of dependencies are followed to any depth. */
    fun resolve(dependencies: List<String>): Resolution {
        val traversal = Traversal(dependencies)
        val cancelledJob = live.atomically { traversal.findCancelled() }
        if (cancelledJob != null) return Aborted(cancelledJob)
        for (jobId in traversal.ended) {
            // It was accepted before the job that names it and is not live, so its final state is stored.
            val lookup = finalStates.read(jobId) as? FinalStates.Ended ?: return Undetermined
            if (lookup.outcome.state == FinalState.CANCELLED) return Aborted(jobId)
        }
        return Waiting(traversal.open)
    }

    /** A breadth-first walk over all live jobs that [dependencies] depend on, themselves included. */
    private inner class Traversal(private val dependencies: List<String>) {
        /** Jobs that are not live any more, on the way up to the first cancelled one. */
        val ended = ArrayList<String>()

        /** Live jobs among [dependencies]. */
        val open = ArrayList<String>()

        /** The first job found whose cancellation is stored; null if there is none. */
        fun findCancelled(): String? {
            val direct = dependencies.toHashSet()
            val seen = HashSet(dependencies)
            val queue = ArrayDeque(dependencies)
            while (queue.isNotEmpty()) {
                val jobId = queue.removeFirst()
                if (live.get(Keys.cancel(jobId)) != null) return jobId
                val record = live.get(Keys.job(jobId))
                if (record == null) {
                    ended.add(jobId)
                    continue
                }
                if (jobId in direct) open.add(jobId)
                if (RecordWire.waitsForDependencies(record.value)) {
                    records.read(jobId, record.value).dependencies.filterTo(queue) { seen.add(it) }
                }
            }
            return null
        }
    }

    /** Whether a new job may depend on the jobs that it names. */
    sealed interface Validation

    /** All named jobs were accepted. [abortedBy]: a cancelled one among them, or among those that they depend on. */
    data class Valid(val abortedBy: String?) : Validation

    /** It may not, for [reason]. */
    data class Invalid(val reason: String) : Validation

    /** The key-value store could not be read. */
    data object Undecided : Validation

    /** Whether a new job may name these. The caller has brought the cache up to date after the request came. */
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

    /** Null: the job may be named. */
    private fun validateDependency(jobId: String): Validation? {
        val record = live.atomically { live.get(Keys.job(jobId))?.let { records.read(jobId, it.value) } }
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
