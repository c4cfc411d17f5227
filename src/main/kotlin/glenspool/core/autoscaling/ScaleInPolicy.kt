package glenspool.core.autoscaling

import glenspool.core.DeletionCause
import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.Machine
import glenspool.core.cluster.MachineDeleter
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Returns machines that nothing is expected to need: surplus ones are cordoned, empty ones are given back. */
class ScaleInPolicy(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deleter: MachineDeleter,
) {
    private val now: Duration get() = context.now

    /** Since when the fleet has had more than a cushion of free capacity. */
    private var surplusSince: Duration? = null

    /** [waiting]: jobs with tasks to be placed. */
    fun apply(waiting: List<Job>, headroom: ServiceHeadroom.Slots) {
        cordonSurplus(waiting, headroom)
        returnIdle(headroom)
    }

    /**
     * Machines are kept busy a little each, so none would ever become empty by itself: when the fleet has had more than
     * a cushion of free capacity for a while, the dearest machine with only short work gets no more of it.
     */
    private fun cordonSurplus(waiting: List<Job>, headroom: ServiceHeadroom.Slots) {
        val active = cluster.machines.values.filter { isUsable(it) && !it.isCordoned }
        // What waits is load too. In a large fleet something always waits, and most of it for a moment only.
        val load = active.sumOf { loadOf(it) } + waiting.sumOf { loadOf(it) }
        // Waiting work takes machines back that were about to be returned.
        if (load > active.size) cluster.machines.values.forEach { it.isCordoned = false }
        if (active.size - load <= 1.0 + active.size * CUSHION) {
            surplusSince = null
            return
        }
        val since = surplusSince ?: now.also { surplusSince = now }
        if (now - since >= SURPLUS_WAIT) cordon(active, headroom)
    }

    private fun isUsable(machine: Machine): Boolean =
        machine.isTrusted && !machine.isLeaving && machine.type in cluster.types

    /** As many at a time as the fleet is large, so that a large one shrinks as fast as a small one. */
    private fun cordon(active: List<Machine>, headroom: ServiceHeadroom.Slots) {
        var left = maxOf(1, active.size / ACTIVE_PER_CORDONED)
        val candidates =
            active
                .filter { hasOnlyShortWork(it) }
                .sortedWith(compareByDescending<Machine> { priceOf(it) }.thenBy { loadOf(it) })
        for (machine in candidates) {
            if (left == 0) return
            if (!headroom.tryRelease(machine)) continue
            machine.isCordoned = true
            surplusSince = now - SURPLUS_WAIT + CORDON_INTERVAL
            left--
        }
    }

    private fun hasOnlyShortWork(machine: Machine): Boolean =
        machine.placements.values.all { it.job.spec.kind == JobKind.ARRAY } && machine.orphans.isEmpty()

    /** How much of the machine is in use, by its fullest resource. */
    private fun loadOf(machine: Machine): Double =
        cluster.typeOf(machine)?.let { machine.workload.usedResources().dominantShareOf(it.capacity) } ?: 0.0

    /** How many machines of the commonest type the waiting tasks would fill. */
    private fun loadOf(job: Job): Double {
        val type = cluster.commonType ?: return 0.0
        val tasks = minOf(job.waitingCount(), cluster.quotas.remaining(job))
        return tasks * job.resourceRequest.dominantShareOf(type.capacity)
    }

    private fun returnIdle(headroom: ServiceHeadroom.Slots) {
        val idle = idleMachines()
        if (idle.isEmpty()) return
        val imageGb = meanImageGb()
        var left = maxOf(1, idle.size / IDLE_PER_RETURNED)
        for (machine in idle.sortedByDescending { priceOf(it) }) {
            if (left == 0) return
            if (!mayBeReturned(machine, imageGb, headroom)) continue
            deleter.delete(machine, DeletionCause.NOT_NEEDED)
            left--
        }
    }

    private fun idleMachines(): List<Machine> {
        val idle = ArrayList<Machine>()
        for (machine in cluster.machines.values) {
            if (!machine.isTrusted || machine.isDeleting) continue
            if (machine.workload.taskCount > 0) machine.idleSince = null else idle.add(machine)
        }
        return idle
    }

    private fun meanImageGb(): Double {
        val jobs = cluster.jobs.values
        return if (jobs.isEmpty()) 0.0 else jobs.sumOf { it.spec.imageGb } / jobs.size
    }

    private fun mayBeReturned(machine: Machine, imageGb: Double, headroom: ServiceHeadroom.Slots): Boolean {
        val since = machine.idleSince ?: now.also { machine.idleSince = now }
        if (machine.isCordoned) return true
        return now - since >= maxIdleTime(machine, imageGb) && headroom.tryRelease(machine)
    }

    /** Keeping an empty machine is worth as long as getting another one ready would take. */
    private fun maxIdleTime(machine: Machine, imageGb: Double): Duration {
        val idleReturn = context.config.tuning.idleReturn
        val type = cluster.typeOf(machine) ?: return idleReturn
        return idleReturn + (type.boot + type.fetchTime(imageGb)) * READY_TIME_SHARE
    }

    private fun priceOf(machine: Machine): Double {
        val type = cluster.typeOf(machine) ?: return 0.0
        return if (machine.spot) type.spotPrice else type.price
    }

    private companion object {
        /** The share of the fleet that may be free before it counts as surplus, and for how long. */
        const val CUSHION = 0.08
        val SURPLUS_WAIT = 10.seconds

        /** The time between machines that are cordoned one after another. */
        val CORDON_INTERVAL = 2.seconds

        /** One machine in so many is cordoned, or returned, at a time. */
        const val ACTIVE_PER_CORDONED = 40
        const val IDLE_PER_RETURNED = 4
        const val READY_TIME_SHARE = 0.5
    }
}
