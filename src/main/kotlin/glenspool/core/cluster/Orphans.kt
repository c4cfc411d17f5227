package glenspool.core.cluster

import glenspool.core.Scheduler
import glenspool.core.lifecycle.Job
import glenspool.core.model.TaskKey

/**
 * Tasks on machines without a place of ours: remains of earlier leaders. They block their task, hold room and count for
 * their team's limit until they are proved gone.
 */
class Orphans(private val core: Scheduler) {
    /** Machines with tasks of jobs that nobody knows, by job. */
    private val unrecorded = HashMap<String, MutableSet<String>>()

    /** An orphan that was not known before. */
    fun found(m: Machine, k: TaskKey) {
        val job = core.jobs[k.job]
        if (job != null) count(job, m, k) else unrecorded.getOrPut(k.job) { HashSet() }.add(m.id)
    }

    /**
     * Tasks of the job were on machines before the job was known: it was accepted once, the state service lost it, and
     * its user submits it again. Without this the same task would be started once more elsewhere.
     */
    fun adopt(job: Job) {
        for (id in unrecorded.remove(job.spec.id).orEmpty()) {
            val m = core.machines[id] ?: continue
            m.orphans.keys.filter { it.job == job.spec.id }.forEach { k ->
                m.addOrphan(k, job.resourceRequest, core.now)
                count(job, m, k)
            }
        }
    }

    /** The task is proved to be off the machine. */
    fun drop(m: Machine, k: TaskKey) {
        m.removeOrphan(k)
        forgetUnrecorded(m, k.job)
        val job = core.jobs[k.job] ?: return
        val on = job.orphans[k] ?: return
        if (on.remove(m.id)) core.chargeUsage(job, -1)
        if (on.isEmpty()) job.orphans.remove(k)
        job.markDirty()
        core.wantRound()
    }

    private fun forgetUnrecorded(m: Machine, job: String) {
        if (m.orphans.keys.any { it.job == job }) return
        val on = unrecorded[job] ?: return
        on.remove(m.id)
        if (on.isEmpty()) unrecorded.remove(job)
    }

    private fun count(job: Job, m: Machine, k: TaskKey) {
        if (job.orphans.getOrPut(k) { HashSet() }.add(m.id)) core.chargeUsage(job, +1)
    }
}
