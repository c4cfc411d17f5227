package glenspool.core.lifecycle

import glenspool.core.ReadFinalStates
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.model.FinalState
import glenspool.core.model.Priority
import glenspool.core.placement.DeadlinePolicy
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Jobs that wait for their dependencies. They are kept separate from the jobs that placement rounds consider, and join
 * them only when every dependency is known to be *stored* as done: either this leader's change was confirmed, or the
 * final state was read. Neither a worker's result nor a missing live record is sufficient, because a missing record may
 * mean that the job is done, cancelled or not yet read. A stored cancellation is final, so it aborts all direct and
 * indirect dependents immediately.
 *
 * A job inherits the highest priority of the jobs that depend on it, directly or indirectly, and the time by which it
 * has to be done so that they can meet their deadlines. [onReady] is called for each job whose dependencies are done.
 */
class JobDependencies(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val onReady: (Job) -> Unit,
) {
    private class WaitingJob(val job: Job, val dependencies: List<String>) {
        /** Dependencies that are not known to be done. */
        val unfinished = LinkedHashSet(dependencies)
    }

    private val waitingJobs = LinkedHashMap<String, WaitingJob>()

    /** The jobs that depend on a job. A job without dependents has no entry. */
    private val dependents = HashMap<String, LinkedHashSet<String>>()

    /** Known final states of jobs that have dependents. */
    private val finalStates = HashMap<String, FinalState>()

    /** Jobs whose final state is unknown and has to be read. */
    private val unknownFinalStates = LinkedHashSet<String>()
    private var isReading = false
    private var nextReadAt = context.startedAt

    /** The number of jobs that wait for their dependencies. */
    val size: Int get() = waitingJobs.size

    /** Returns the job if it waits for its dependencies. */
    operator fun get(id: String): Job? = waitingJobs[id]?.job

    /** Returns a job without a final state, whether or not it waits for its dependencies. */
    fun findJob(id: String): Job? = cluster.jobs[id] ?: get(id)

    /** Adds a stored job that waits for [dependencies]. */
    fun add(job: Job, dependencies: List<String>) {
        val id = job.spec.id
        val waiting = WaitingJob(job, dependencies)
        waitingJobs[id] = waiting
        // Jobs may be read in any order. Dependents that were read before this job are already registered for it.
        for (dependency in dependencies) dependents.getOrPut(dependency) { LinkedHashSet() }.add(id)
        for (dependency in dependencies) checkDependency(waiting, dependency)
        if (waiting.unfinished.isEmpty()) release(waiting) else updateInheritance(dependencies)
    }

    private fun checkDependency(waiting: WaitingJob, dependency: String) {
        val live = findJob(dependency)
        val abortedBy = live?.abortedBy
        val finalState = finalStates[dependency]
        when {
            finalState == FinalState.DONE -> waiting.unfinished.remove(dependency)
            finalState == FinalState.CANCELLED -> abort(listOf(waiting.job.spec.id), dependency)
            live == null -> unknownFinalStates.add(dependency)
            live.isCancelled -> abort(listOf(waiting.job.spec.id), dependency)
            abortedBy != null -> abort(listOf(waiting.job.spec.id), abortedBy)
        }
    }

    /** A live job was added, so its final state need not be read for dependents that were read before it. */
    fun jobAdded(id: String) {
        unknownFinalStates.remove(id)
        if (id in dependents) updateInheritance(listOf(id))
    }

    /** The job's final state was stored. */
    fun jobEnded(id: String, state: FinalState) {
        unknownFinalStates.remove(id)
        val waiting = dependents[id] ?: return
        finalStates[id] = state
        if (state == FinalState.CANCELLED) {
            abortDependents(id)
            return
        }
        for (dependent in waiting.toList()) {
            val waitingJob = waitingJobs[dependent] ?: continue
            waitingJob.unfinished.remove(id)
            if (waitingJob.unfinished.isEmpty() && waitingJob.job.abortedBy == null) release(waitingJob)
        }
    }

    /** The job's cancellation was stored, so it will never be done, and its dependencies no longer inherit from it. */
    fun jobCancelled(id: String) {
        abortDependents(id)
        waitingJobs[id]?.let { updateInheritance(it.dependencies) }
    }

    /** The job's live record was removed. If it has dependents and its final state is unknown, that has to be read. */
    fun jobRemoved(id: String) {
        waitingJobs.remove(id)?.let { waiting ->
            waiting.job.markFinished()
            removeFromDependents(waiting)
        }
        if (!dependents[id].isNullOrEmpty() && finalStates[id] == null) unknownFinalStates.add(id)
    }

    /** Requests unknown final states, a few at a time because the key-value store accepts few requests. */
    fun requestFinalStates() {
        if (isReading || unknownFinalStates.isEmpty() || context.now < nextReadAt) return
        isReading = true
        context.addAction(ReadFinalStates(unknownFinalStates.take(MAX_STATES_PER_READ)))
    }

    /** Final states of the [requested] jobs were read. Those that are not in [found] are read again after a delay. */
    fun finalStatesRead(requested: List<String>, found: Map<String, FinalState>) {
        isReading = false
        if (found.size < requested.size) nextReadAt = context.now + READ_RETRY_DELAY
        for (id in requested) {
            val state = found[id]
            if (state != null) {
                jobEnded(id, state)
            } else if (unknownFinalStates.remove(id)) {
                unknownFinalStates.add(id)
            }
        }
    }

    private fun release(waiting: WaitingJob) {
        waitingJobs.remove(waiting.job.spec.id)
        removeFromDependents(waiting)
        onReady(waiting.job)
    }

    /** Removes a job that no longer waits from the dependents, so its dependencies no longer inherit from it. */
    private fun removeFromDependents(waiting: WaitingJob) {
        for (dependency in waiting.dependencies) {
            val remaining = dependents[dependency] ?: continue
            remaining.remove(waiting.job.spec.id)
            if (remaining.isEmpty()) forget(dependency)
        }
        updateInheritance(waiting.dependencies)
    }

    private fun forget(dependency: String) {
        dependents.remove(dependency)
        finalStates.remove(dependency)
        unknownFinalStates.remove(dependency)
    }

    private fun abortDependents(id: String) = abort(dependents[id].orEmpty(), id)

    /** Aborts these jobs and all their dependents, without recursion because a chain may be hundreds of jobs deep. */
    private fun abort(ids: Collection<String>, cancelled: String) {
        val next = ArrayDeque(ids)
        val affected = LinkedHashSet<String>()
        while (next.isNotEmpty()) {
            val id = next.removeFirst()
            val waiting = waitingJobs[id] ?: continue
            if (waiting.job.abortedBy != null) continue
            waiting.job.abort(cancelled)
            context.log { "abort job=$id class=${waiting.job.spec.jobClass} by=$cancelled" }
            affected.addAll(waiting.dependencies)
            next.addAll(dependents[id].orEmpty())
        }
        updateInheritance(affected)
    }

    /** Recomputes what [ids] inherit from their dependents. A change is propagated to their own dependencies. */
    private fun updateInheritance(ids: Collection<String>) {
        val next = ArrayDeque(ids)
        while (next.isNotEmpty()) {
            val id = next.removeFirst()
            val job = findJob(id) ?: continue
            if (!inherit(job)) continue
            context.requestRound()
            waitingJobs[id]?.let { next.addAll(it.dependencies) }
        }
    }

    private fun inherit(job: Job): Boolean {
        var priority: Priority? = null
        var deadline: Duration? = null
        for (id in dependents[job.spec.id].orEmpty()) {
            val dependent = waitingJobs[id]?.job ?: continue
            if (dependent.abortedBy != null || dependent.isCancelled) continue
            priority = maxOf(priority ?: dependent.effectivePriority, dependent.effectivePriority)
            val startBy = dependent.dueBy?.let { startBy(dependent, it) } ?: continue
            deadline = minOf(deadline ?: startBy, startBy)
        }
        return job.inherit(priority, deadline)
    }

    /** When the dependencies of the job should be done. The job still has to be placed and to fetch its image then. */
    private fun startBy(job: Job, dueBy: Duration): Duration =
        deadlines.latestStart(job, dueBy) - DEPENDENT_START_DELAY - deadlines.fetchTime(job)

    private companion object {
        const val MAX_STATES_PER_READ = 8
        val READ_RETRY_DELAY = 1.seconds

        /** The time from the last result of a job to the start of its dependent, without the image fetch. */
        val DEPENDENT_START_DELAY = 2.seconds
    }
}
