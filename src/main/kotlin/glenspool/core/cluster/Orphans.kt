package glenspool.core.cluster

import glenspool.core.SchedulingContext
import glenspool.core.lifecycle.Job
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey

/**
 * Tasks on machines without a stored placement: remains of earlier leaders. They block their task, take resources and
 * count for their team's quota until they are proved gone.
 */
class Orphans(private val context: SchedulingContext, private val cluster: ClusterState) {
    /** Machines with tasks of jobs that nobody knows, by job. */
    private val unrecorded = HashMap<String, MutableSet<String>>()

    /** A heartbeat shows exactly these tasks without a placement on the machine, each with what it takes. */
    fun reconcile(machine: Machine, shown: Map<TaskKey, Resources>) {
        if (machine.orphans.isEmpty() && shown.isEmpty()) return
        machine.orphans.keys
            .filter { it !in shown }
            .forEach { remove(machine, it) }
        for ((key, resources) in shown) {
            if (machine.workload.addOrphan(key, resources, context.now)) found(machine, key)
        }
    }

    private fun found(machine: Machine, key: TaskKey) {
        val job = cluster.jobs[key.job]
        if (job != null) charge(job, machine, key) else unrecorded.getOrPut(key.job) { HashSet() }.add(machine.id)
    }

    /**
     * Tasks of the job were on machines before the job was known: it was accepted once, the key-value store lost it,
     * and its user submits it again. Without this the same task would be started once more elsewhere.
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

    /** The machine is gone, with its orphans. */
    fun removeAll(machine: Machine) {
        machine.orphans.keys
            .toList()
            .forEach { remove(machine, it) }
    }

    /** The task is proved to be off the machine. */
    private fun remove(machine: Machine, key: TaskKey) {
        machine.workload.removeOrphan(key)
        forgetUnrecorded(machine, key.job)
        val job = cluster.jobs[key.job] ?: return
        val machines = job.orphans[key] ?: return
        if (machines.remove(machine.id)) cluster.quotas.charge(job, -1)
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
        if (job.orphans.getOrPut(key) { HashSet() }.add(machine.id)) cluster.quotas.charge(job, +1)
    }
}
