package glenspool.core.cluster

import glenspool.core.SchedulingContext
import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey

/**
 * Tracks orphans: tasks that run on machines without a stored placement, left by earlier leaders. An orphan blocks the
 * placement of its task, uses resources and counts towards its team's quota until it is proved gone.
 */
class Orphans(private val context: SchedulingContext, private val cluster: ClusterState) {
    /** Machines with tasks of unrecorded jobs, by job. */
    private val unrecorded = HashMap<String, MutableSet<String>>()

    /** An orphan on a machine. */
    private data class Orphan(val machine: String, val key: TaskKey)

    /** The job to whose team each orphan is charged. The job may have ended since. */
    private val charged = HashMap<Orphan, Job>()

    /**
     * Updates the machine's orphans to [shown], the tasks without a placement in its newest heartbeat, each with the
     * resources that it uses.
     */
    fun reconcile(machine: Machine, shown: Map<TaskKey, Resources>) {
        if (machine.orphans.isEmpty() && shown.isEmpty()) return
        machine.orphans.keys
            .filter { it !in shown }
            .forEach { remove(machine, it) }
        for ((key, resources) in shown) {
            if (machine.workload.addOrphan(key, resources, context.now)) recordOrphan(machine, key)
        }
    }

    private fun recordOrphan(machine: Machine, key: TaskKey) {
        val job = cluster.jobs[key.job]
        context.log(isImportant = true) {
            "orphan-found task=${key.job}/${key.task} machine=${machine.id} token=${machine.token} " +
                "trusted=${machine.isTrusted} placed-on=${job?.placementOf(key.task)?.machine}"
        }
        if (job != null) charge(job, machine, key) else unrecorded.getOrPut(key.job) { HashSet() }.add(machine.id)
    }

    /**
     * Assigns to the job those of its tasks that were found on machines before the job was known. This occurs if the
     * key-value store lost a job that was accepted, and the user submits it again. Otherwise the same task would be
     * started a second time elsewhere.
     */
    fun adopt(job: Job) {
        for (id in unrecorded.remove(job.spec.id).orEmpty()) {
            val machine = cluster.machines[id] ?: continue
            machine.orphans.keys.filter { it.job == job.spec.id }.forEach { key ->
                machine.workload.addOrphan(key, job.resourceRequest, context.now)
                charge(job, machine, key)
            }
        }
    }

    /** Removes the orphans of a machine that is gone. */
    fun removeAll(machine: Machine) {
        machine.orphans.keys
            .toList()
            .forEach { remove(machine, it) }
    }

    /** Removes an orphan that is proved to be off the machine. */
    private fun remove(machine: Machine, key: TaskKey) {
        context.log(isImportant = true) { "orphan-gone task=${key.job}/${key.task} machine=${machine.id}" }
        machine.workload.removeOrphan(key)
        forgetUnrecorded(machine, key.job)
        val job = charged.remove(Orphan(machine.id, key)) ?: return
        cluster.quotas.charge(job, -1)
        val machines = job.orphans[key] ?: return
        machines.remove(machine.id)
        if (machines.isEmpty()) job.orphans.remove(key)
        job.markDirty()
        context.requestRound()
    }

    private fun forgetUnrecorded(machine: Machine, job: String) {
        if (machine.orphans.keys.any { it.job == job }) return
        val machines = unrecorded[job] ?: return
        machines.remove(machine.id)
        if (machines.isEmpty()) unrecorded.remove(job)
    }

    private fun charge(job: Job, machine: Machine, key: TaskKey) {
        if (charged.putIfAbsent(Orphan(machine.id, key), job) != null) return
        job.orphans.getOrPut(key) { HashSet() }.add(machine.id)
        cluster.quotas.charge(job, +1)
    }
}
