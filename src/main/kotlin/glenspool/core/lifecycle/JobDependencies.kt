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
 * Jobs that wait for others. They are kept apart from the jobs that placement rounds look at, and join them only when
 * every dependency is known to be *stored* as done: by this leader's own confirmed change, or by reading the final
 * state. Nothing else counts, neither a worker's result nor a live record that is gone, which may mean done, cancelled
 * or not yet seen. A cancellation is for ever once it is stored, so that aborts all dependents at once.
 *
 * A job counts as much as any that depends on it: priority and deadline go up the chain from where users set them.
 * [onReady] is told of each job whose dependencies are done.
 */
class JobDependencies(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deadlines: DeadlinePolicy,
    private val onReady: (Job) -> Unit,
) {
    private class WaitingJob(val job: Job, val dependencies: List<String>) {
        /** Dependencies that are not known to be done. */
        val open = LinkedHashSet(dependencies)
    }

    private val waitingJobs = LinkedHashMap<String, WaitingJob>()

    /** The jobs that depend on a job; kept as long as there are any. */
    private val dependents = HashMap<String, LinkedHashSet<String>>()

    /** Final states of jobs that others depend on. */
    private val finalStates = HashMap<String, FinalState>()

    /** Jobs whose final state has to be read. */
    private val unknown = LinkedHashSet<String>()
    private var isReading = false
    private var readAfter = context.startedAt

    /** The number of jobs that wait. */
    val size: Int get() = waitingJobs.size

    /** The job if it waits for others. */
    operator fun get(id: String): Job? = waitingJobs[id]?.job

    /** A job that is not over, whether it waits for others or not. */
    fun findJob(id: String): Job? = cluster.jobs[id] ?: get(id)

    /** A job that waits for [dependencies] was stored. */
    fun add(job: Job, dependencies: List<String>) {
        val id = job.spec.id
        val waiting = WaitingJob(job, dependencies)
        waitingJobs[id] = waiting
        // It may have been stored, and seen, before this one: then it has its dependents already.
        for (dependency in dependencies) dependents.getOrPut(dependency) { LinkedHashSet() }.add(id)
        for (dependency in dependencies) checkDependency(waiting, dependency)
        if (waiting.open.isEmpty()) release(waiting) else updateInheritance(dependencies)
    }

    private fun checkDependency(waiting: WaitingJob, dependency: String) {
        val live = findJob(dependency)
        val abortedBy = live?.abortedBy
        val finalState = finalStates[dependency]
        when {
            finalState == FinalState.DONE -> waiting.open.remove(dependency)
            finalState == FinalState.CANCELLED -> abort(listOf(waiting.job.spec.id), dependency)
            live == null -> unknown.add(dependency)
            live.isCancelled -> abort(listOf(waiting.job.spec.id), dependency)
            abortedBy != null -> abort(listOf(waiting.job.spec.id), abortedBy)
        }
    }

    /** The job is live: its final state need not be read for those that were seen before it. */
    fun jobAdded(id: String) {
        unknown.remove(id)
        if (id in dependents) updateInheritance(listOf(id))
    }

    /** The job's final state is stored. */
    fun jobEnded(id: String, state: FinalState) {
        unknown.remove(id)
        val waiting = dependents[id] ?: return
        finalStates[id] = state
        if (state == FinalState.CANCELLED) {
            abortDependents(id)
            return
        }
        for (dependent in waiting.toList()) {
            val waitingJob = waitingJobs[dependent] ?: continue
            waitingJob.open.remove(id)
            if (waitingJob.open.isEmpty() && waitingJob.job.abortedBy == null) release(waitingJob)
        }
    }

    /** The job's cancellation is stored: it will never be done, and what it waited for counts for itself again. */
    fun jobCancelled(id: String) {
        abortDependents(id)
        waitingJobs[id]?.let { updateInheritance(it.dependencies) }
    }

    /** The job is not live any more; unless its final state is known, it has to be read. */
    fun jobRemoved(id: String) {
        waitingJobs.remove(id)?.let { waiting ->
            waiting.job.markFinished()
            leave(waiting)
        }
        if (!dependents[id].isNullOrEmpty() && finalStates[id] == null) unknown.add(id)
    }

    /** Reads final states that are not known, a few at a time: the key-value store takes few requests. */
    fun requestFinalStates() {
        if (isReading || unknown.isEmpty() || context.now < readAfter) return
        isReading = true
        context.addAction(ReadFinalStates(unknown.take(MAX_READS)))
    }

    /** The final states that were found of those [asked] for; the others are asked for again after a while. */
    fun finalStatesRead(asked: List<String>, found: Map<String, FinalState>) {
        isReading = false
        if (found.size < asked.size) readAfter = context.now + READ_PAUSE
        for (id in asked) {
            val state = found[id]
            if (state != null) {
                jobEnded(id, state)
            } else if (unknown.remove(id)) {
                unknown.add(id)
            }
        }
    }

    private fun release(waiting: WaitingJob) {
        waitingJobs.remove(waiting.job.spec.id)
        leave(waiting)
        onReady(waiting.job)
    }

    /** It waits no more, so what it waited for counts for itself again. */
    private fun leave(waiting: WaitingJob) {
        for (dependency in waiting.dependencies) {
            val others = dependents[dependency] ?: continue
            others.remove(waiting.job.spec.id)
            if (others.isEmpty()) forget(dependency)
        }
        updateInheritance(waiting.dependencies)
    }

    private fun forget(dependency: String) {
        dependents.remove(dependency)
        finalStates.remove(dependency)
        unknown.remove(dependency)
    }

    private fun abortDependents(id: String) = abort(dependents[id].orEmpty(), id)

    /** Aborts these jobs, and all that depend on them. A chain may be hundreds of jobs deep: no recursion. */
    private fun abort(ids: Collection<String>, cancelled: String) {
        val next = ArrayDeque(ids)
        val freed = LinkedHashSet<String>()
        while (next.isNotEmpty()) {
            val id = next.removeFirst()
            val waiting = waitingJobs[id] ?: continue
            if (waiting.job.abortedBy != null) continue
            waiting.job.abort(cancelled)
            context.log { "abort job=$id class=${waiting.job.spec.jobClass} by=$cancelled" }
            freed.addAll(waiting.dependencies)
            next.addAll(dependents[id].orEmpty())
        }
        updateInheritance(freed)
    }

    /** Works out anew what [ids] inherit from their dependents, and so on up the chain where something changed. */
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

    /** When what the job waits for should be done: it has to be placed and fetch its image before it can begin. */
    private fun startBy(job: Job, dueBy: Duration): Duration =
        deadlines.latestStart(job, dueBy) - HANDOVER - deadlines.fetchTime(job)

    private companion object {
        const val MAX_READS = 8
        val READ_PAUSE = 1.seconds

        /** From one job's last result to the next one's start, without the fetch. */
        val HANDOVER = 2.seconds
    }
}
