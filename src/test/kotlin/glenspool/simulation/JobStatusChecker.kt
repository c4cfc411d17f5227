package glenspool.simulation

import glenspool.api.DependencyResolver
import glenspool.controller.Transaction
import glenspool.state.Keys
import glenspool.state.Put

/** Checks the states of jobs that users receive, and the final states that are stored. */
internal class JobStatusChecker(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
) {
    private val dependencyResolver = DependencyResolver(store.state, store.records, store.finalStates)
    private val lastAnswers = HashMap<String, String>()

    /**
     * Checks the answer that a user would receive from a node about the job now. Each accepted job must be known, a job
     * that was never submitted must be unknown, and a final state that was reported must not change.
     */
    fun checkAnswer(job: String) {
        if (jobs.isUnrecorded(job)) return
        val answer = answer(job)
        if (job !in jobs.specs) {
            if (answer != UNKNOWN) context.recordViolation("invented $job: it was never submitted")
            return
        }
        if (answer == UNKNOWN) context.recordViolation("forgotten $job: it was accepted, but is unknown")
        val previous = lastAnswers.put(job, answer)
        if (previous != null && previous != LIVE && previous != answer) {
            context.recordViolation("went_back $job: the final state changed from $previous to $answer")
        }
        val isAborted = jobs.abortedSince(job) != null
        if (answer == CANCELLED && !isAborted) context.recordViolation("went_back $job: it was not cancelled")
        // The answer is derived from the records, so it must not depend on whether a leader has stored the final state.
        if (answer == LIVE && isAborted) context.recordViolation("orphaned $job: reported as live, but aborted")
    }

    private fun answer(job: String): String {
        val end = store.finalState(job)
        return end ?: if (store.hasCancellation(job)) CANCELLED else answerForLiveJob(job)
    }

    private fun answerForLiveJob(job: String): String {
        val record = store.state.get(Keys.job(job)) ?: return UNKNOWN
        val dependencies = store.records.read(job, record.value).dependencies
        val isAborted =
            dependencies.isNotEmpty() && dependencyResolver.resolve(dependencies) is DependencyResolver.Aborted
        return if (isAborted) CANCELLED else LIVE
    }

    /** Checks the final states that a transaction has stored. */
    fun checkStored(transaction: Transaction) {
        transaction.puts.filter { it.key.startsWith(Keys.FINAL) }.forEach(::checkFinalState)
    }

    private fun checkFinalState(put: Put) {
        val job = put.key.removePrefix(Keys.FINAL)
        val end = put.value["end"]
        if (end == DONE && jobs.completedTasks.getValue(job).cardinality() < jobs.specs.getValue(job).tasks) {
            context.violations += "not_done $job: stored as done before all of its tasks had completed"
        }
        if (end == CANCELLED && jobs.abortedSince(job) == null) {
            context.violations += "went_back $job: stored as cancelled without a cancellation"
        }
    }

    private companion object {
        const val UNKNOWN = "unknown"
        const val LIVE = "live"
        const val DONE = "done"
        const val CANCELLED = "cancelled"
    }
}
