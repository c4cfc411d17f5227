package glenspool.core.lifecycle

import glenspool.core.ReadFinalStates
import glenspool.core.Scheduler
import glenspool.core.model.FinalState
import glenspool.core.model.Priority
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Jobs that wait for others. They are kept apart from the jobs that rounds look at, and come to them only when every
 * job they need is known to be *stored* as done: by this leader's own confirmed change, or by reading the final state.
 * Nothing else counts, neither a worker's result nor a live record that is gone, which may mean done, cancelled or
 * not yet seen. A cancellation is for ever once it is stored, so that cuts off all who need the job at once.
 *
 * A job may count as much as any that needs it: priority and deadline go up the chain from where users set them.
 */
class JobDependencies(private val core: Scheduler) {
    private class WaitingJob(val job: Job, val dependencies: List<String>) {
        val open = LinkedHashSet(dependencies)
    }

    private val waitingJobs = LinkedHashMap<String, WaitingJob>()

    /** Who waits for a job; kept as long as anybody does. */
    private val dependents = HashMap<String, LinkedHashSet<String>>()

    /** How jobs ended that somebody waits for. */
    private val ends = HashMap<String, FinalState>()

    /** Jobs that ended in a way that is not known here. */
    private val unknown = LinkedHashSet<String>()
    private var asking = false
    private var askAfter = core.startedAt

    val size: Int get() = waitingJobs.size

    operator fun get(id: String): Job? = waitingJobs[id]?.job

    /** A job that waits for [dependencies] was stored. */
    fun add(job: Job, dependencies: List<String>) {
        val h = WaitingJob(job, dependencies)
        waitingJobs[job.spec.id] = h
        // It may have been stored, and seen, before this one: then it has its dependents already.
        for (n in dependencies) dependents.getOrPut(n) { LinkedHashSet() }.add(job.spec.id)
        for (n in dependencies) {
            val live = core.job(n)
            when {
                ends[n] == FinalState.DONE -> h.open.remove(n)
                ends[n] == FinalState.CANCELLED -> cut(listOf(job.spec.id), n)
                live == null -> unknown.add(n)
                live.cancelled -> cut(listOf(job.spec.id), n)
                else -> live.abortedBy?.let { cut(listOf(job.spec.id), it) }
            }
        }
        if (h.open.isEmpty()) release(h) else raise(dependencies)
    }

    /** The job is live: those that were seen before it need not ask for its end. */
    fun appeared(id: String) {
        unknown.remove(id)
        if (id in dependents) raise(listOf(id))
    }

    /** The job's final state is stored. */
    fun ended(id: String, end: FinalState) {
        unknown.remove(id)
        val waiting = dependents[id] ?: return
        ends[id] = end
        if (end == FinalState.CANCELLED) {
            cutAfter(id, id)
            return
        }
        for (d in waiting.toList()) {
            val h = waitingJobs[d] ?: continue
            h.open.remove(id)
            if (h.open.isEmpty() && h.job.abortedBy == null) release(h)
        }
    }

    /** The job's cancellation is stored: it will never be done, and what it needed counts for itself again. */
    fun cancelled(id: String) {
        cutAfter(id, id)
        waitingJobs[id]?.let { raise(it.dependencies) }
    }

    /** The job is not live any more; unless its end is known, it has to be read. */
    fun gone(id: String) {
        val h = waitingJobs.remove(id)
        if (h != null) {
            h.job.finished = true
            leave(h)
        }
        if (dependents[id].isNullOrEmpty()) return
        if (ends[id] == null) unknown.add(id)
    }

    /**
     * Asks for what is not known, a few at a time: a take-over may find many, and the state service takes few requests.
     */
    fun ask(now: Duration) {
        if (asking || unknown.isEmpty() || now < askAfter) return
        asking = true
        core.act(ReadFinalStates(unknown.take(ASK_AT_ONCE)))
    }

    /** The answers; what has none is asked again after a while. */
    fun answered(asked: List<String>, found: Map<String, FinalState>) {
        asking = false
        if (found.size < asked.size) askAfter = core.now + ASK_PAUSE
        for (id in asked) {
            val end = found[id]
            if (end != null) {
                ended(id, end)
            } else if (unknown.remove(id)) {
                unknown.add(id)
            }
        }
    }

    private fun release(h: WaitingJob) {
        waitingJobs.remove(h.job.spec.id)
        leave(h)
        core.released(h.job)
    }

    /** It waits no more, so what it needed counts for itself again. */
    private fun leave(h: WaitingJob) {
        for (n in h.dependencies) {
            val waiting = dependents[n] ?: continue
            waiting.remove(h.job.spec.id)
            if (waiting.isEmpty()) {
                dependents.remove(n)
                ends.remove(n)
                unknown.remove(n)
            }
        }
        raise(h.dependencies)
    }

    private fun cutAfter(id: String, by: String) = cut(dependents[id].orEmpty(), by)

    /** Cuts these jobs off, and all that need them. A chain may be hundreds of jobs deep: no recursion. */
    private fun cut(ids: Collection<String>, by: String) {
        val next = ArrayDeque(ids)
        val freed = LinkedHashSet<String>()
        while (next.isNotEmpty()) {
            val id = next.removeFirst()
            val h = waitingJobs[id] ?: continue
            if (h.job.abortedBy != null) continue
            h.job.abortedBy = by
            h.job.markDirty()
            core.note { "cut task=$id class=${h.job.spec.jobClass} by=$by" }
            freed.addAll(h.dependencies)
            next.addAll(dependents[id].orEmpty())
        }
        raise(freed)
    }

    /** Works out anew what [jobs] count, from those that need them, and so on up the chain where something changed. */
    private fun raise(jobs: Collection<String>) {
        val next = ArrayDeque(jobs)
        while (next.isNotEmpty()) {
            val id = next.removeFirst()
            val job = core.job(id) ?: continue
            var inheritedPriority: Priority? = null
            var wanted: Duration? = null
            for (d in dependents[id].orEmpty()) {
                val other = waitingJobs[d]?.job ?: continue
                if (other.abortedBy != null || other.cancelled) continue
                inheritedPriority = maxOf(inheritedPriority ?: other.effectivePriority, other.effectivePriority)
                other.dueBy?.let { due -> startBy(other, due).let { s -> wanted = minOf(wanted ?: s, s) } }
            }
            if (inheritedPriority == job.inheritedPriority && wanted == job.inheritedDeadline) continue
            job.inheritedPriority = inheritedPriority
            job.inheritedDeadline = wanted
            core.wantRound()
            waitingJobs[id]?.let { next.addAll(it.dependencies) }
        }
    }

    /** When what the job needs should be done: it has to be placed and fetch its image before it can begin. */
    private fun startBy(job: Job, due: Duration): Duration = core.latestStart(job, due) - HANDOVER - core.fetchTime(job)

    private companion object {
        const val ASK_AT_ONCE = 8
        val ASK_PAUSE = 1.seconds

        /** From one job's last result to the next one's start, without the fetch. */
        val HANDOVER = 2.seconds
    }
}
