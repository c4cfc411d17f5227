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

/** Returns machines that no work is expected to need: cordons surplus machines, and returns empty ones to the cloud. */
class ScaleInPolicy(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val deleter: MachineDeleter,
) {
    private val now: Duration get() = context.now

    /** Since when the fleet has had more free capacity than the reserve; null if it has not. */
    private var surplusSince: Duration? = null

    /** Cordons surplus machines and returns idle ones. [waiting] are the jobs with tasks to be placed. */
    fun apply(waiting: List<Job>, headroom: ServiceHeadroom.Slots) {
        cordonSurplus(waiting, headroom)
        returnIdleMachines(headroom)
    }

    /**
     * Cordons the most expensive machines that run only short work, so that they get no more of it, when the fleet has
     * had more free capacity than the reserve for some time. Otherwise no machine would ever become empty, because the
     * work is spread so that each machine is a little busy.
     */
    private fun cordonSurplus(waiting: List<Job>, headroom: ServiceHeadroom.Slots) {
        val active = cluster.machines.values.filter { isUsable(it) && !it.isCordoned }
        // Waiting work counts as load instead of preventing a surplus altogether, because in a large fleet some work is
        // always waiting, most of it only for a moment.
        val load = active.sumOf { loadOf(it) } + waiting.sumOf { loadOf(it) }
        // If waiting work needs more than the active machines, cordoned machines are used again and not returned.
        if (load > active.size) cluster.machines.values.forEach { it.isCordoned = false }
        if (active.size - load <= 1.0 + active.size * FREE_RESERVE_SHARE) {
            surplusSince = null
            return
        }
        val since = surplusSince ?: now.also { surplusSince = now }
        if (now - since >= MIN_SURPLUS_DURATION) cordon(active, headroom)
    }

    private fun isUsable(machine: Machine): Boolean =
        machine.isTrusted && !machine.isLeaving && machine.type in cluster.types

    /**
     * Cordons a number of machines in proportion to the fleet, so that a large fleet shrinks as fast as a small one.
     */
    private fun cordon(active: List<Machine>, headroom: ServiceHeadroom.Slots) {
        var remaining = maxOf(1, active.size / ACTIVE_PER_CORDONED)
        val candidates =
            active
                .filter { hasOnlyShortWork(it) }
                .sortedWith(compareByDescending<Machine> { priceOf(it) }.thenBy { loadOf(it) })
        for (machine in candidates) {
            if (remaining == 0) return
            if (!headroom.tryRelease(machine)) continue
            machine.isCordoned = true
            surplusSince = now - MIN_SURPLUS_DURATION + CORDON_INTERVAL
            remaining--
        }
    }

    private fun hasOnlyShortWork(machine: Machine): Boolean =
        machine.placements.values.all { it.job.spec.kind == JobKind.ARRAY } && machine.orphans.isEmpty()

    /** The share of the machine that is in use, by its most used resource. */
    private fun loadOf(machine: Machine): Double =
        cluster.typeOf(machine)?.let { machine.workload.usedResources().dominantShareOf(it.capacity) } ?: 0.0

    /** How many machines of the most common type the job's waiting tasks would fill. */
    private fun loadOf(job: Job): Double {
        val type = cluster.mostCommonType ?: return 0.0
        val tasks = minOf(job.waitingTaskCount(), cluster.quotas.remaining(job))
        return tasks * job.resourceRequest.dominantShareOf(type.capacity)
    }

    private fun returnIdleMachines(headroom: ServiceHeadroom.Slots) {
        val idle = idleMachines()
        if (idle.isEmpty()) return
        val imageGb = meanImageGb()
        var remaining = maxOf(1, idle.size / IDLE_PER_RETURNED)
        for (machine in idle.sortedByDescending { priceOf(it) }) {
            if (remaining == 0) return
            if (!mayBeReturned(machine, imageGb, headroom)) continue
            deleter.delete(machine, DeletionCause.NOT_NEEDED)
            remaining--
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

    /** How long keeping an empty machine is worthwhile, given the time it would take to get another one ready. */
    private fun maxIdleTime(machine: Machine, imageGb: Double): Duration {
        val idleReturn = context.config.tuning.idleReturnDelay
        val type = cluster.typeOf(machine) ?: return idleReturn
        return idleReturn + (type.bootTime + type.fetchTime(imageGb)) * READY_TIME_SHARE
    }

    private fun priceOf(machine: Machine): Double {
        val type = cluster.typeOf(machine) ?: return 0.0
        return if (machine.spot) type.spotPrice else type.price
    }

    private companion object {
        /** The share of the fleet that may be free before the free capacity counts as a surplus. */
        const val FREE_RESERVE_SHARE = 0.08

        /** How long a surplus must have lasted before machines are cordoned. */
        val MIN_SURPLUS_DURATION = 10.seconds

        /** The time between one cordoning of machines and the next. */
        val CORDON_INTERVAL = 2.seconds

        /** At a time, one in this many active machines is cordoned, and one in this many idle machines is returned. */
        const val ACTIVE_PER_CORDONED = 40
        const val IDLE_PER_RETURNED = 4

        /** The share of the time for getting a machine ready by which an empty machine is kept longer. */
        const val READY_TIME_SHARE = 0.5
    }
}
