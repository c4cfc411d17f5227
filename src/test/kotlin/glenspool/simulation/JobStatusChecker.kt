package glenspool.simulation

import glenspool.api.DependencyResolver
import glenspool.controller.Transaction
import glenspool.state.Keys
import glenspool.state.Put

/** The rules for what users are told and what is stored of the end of a job. */
internal class JobStatusChecker(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
) {
    private val dependencyResolver = DependencyResolver(store.state, store.records, store.finalStates)
    private val lastAnswers = HashMap<String, String>()

    /**
     * Checks what a node would answer a user about the job now: no accepted job is unknown, no job that nobody
     * submitted is known, and a final state that was told is never taken back.
     */
    fun checkAnswer(job: String) {
        if (jobs.isUnrecorded(job)) return
        val answer = answer(job)
        if (job !in jobs.specs) {
            if (answer != UNKNOWN) context.recordViolation("invented $job")
            return
        }
        if (answer == UNKNOWN) context.recordViolation("forgotten $job")
        val previous = lastAnswers.put(job, answer)
        if (previous != null && previous != LIVE && previous != answer) {
            context.recordViolation("went_back $job from $previous to $answer")
        }
        val isAborted = jobs.abortedSince(job) != null
        if (answer == CANCELLED && !isAborted) context.recordViolation("went_back $job was not cancelled")
        // An answer is worked out from the records, so it need not wait for anybody to store it.
        if (answer == LIVE && isAborted) context.recordViolation("orphaned $job")
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
            context.violations += "not_done $job"
        }
        if (end == CANCELLED && jobs.abortedSince(job) == null) {
            context.violations += "went_back $job was not cancelled"
        }
    }

    private companion object {
        const val UNKNOWN = "unknown"
        const val LIVE = "live"
        const val DONE = "done"
        const val CANCELLED = "cancelled"
    }
}
