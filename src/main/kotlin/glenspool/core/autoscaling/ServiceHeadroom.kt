package glenspool.core.autoscaling

import glenspool.core.SchedulingContext
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import kotlin.math.ceil
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Spare capacity for critical services that are likely to come while another machine could be got ready. */
class ServiceHeadroom(private val context: SchedulingContext, private val cluster: ClusterState) {
    private val now: Duration get() = context.now

    private class Arrival(val at: Duration, val tasks: Int)

    /** The recent arrivals of a job class; [spec]: the first job of it. */
    class ArrivalRate(val spec: JobSpec, val since: Duration) {
        private val recent = ArrayDeque<Arrival>()

        /** Jobs with [tasks] tasks arrived. */
        fun add(at: Duration, tasks: Int) {
            recent.addLast(Arrival(at, tasks))
            while (recent.size > MAX_ARRIVALS) recent.removeFirst()
        }

        /** Tasks a second. What came with the first job of all, as at a failover, says nothing of the rate. */
        fun tasksPerSecond(now: Duration): Double {
            val window = maxOf(now - since, MIN_WINDOW)
            val tasks =
                recent
                    .filter { now - it.at < window && now - it.at < MAX_WINDOW && it.at > since + FIRST_MOMENTS }
                    .sumOf { it.tasks }
            return tasks / (minOf(window, MAX_WINDOW) / 1.seconds)
        }
    }

    private val arrivalRates = HashMap<String, ArrivalRate>()

    /** A job's tasks may be placed from now on. */
    fun jobArrived(job: Job) {
        if (job.spec.kind != JobKind.SERVICE || job.effectivePriority != Priority.CRITICAL) return
        arrivalRates.getOrPut(job.spec.jobClass) { ArrivalRate(job.spec, now) }.add(now, job.spec.tasks)
    }

    /** What is needed and what there is, counted once for a plan. */
    fun measure(): Slots = Slots(arrivalRates.values.toList())

    /** The spare slots of each class on the machines, kept up as machines are given up. */
    inner class Slots(val rates: List<ArrivalRate>) {
        private val needed = rates.associateWith { neededFor(it) }
        private val available = HashMap<ArrivalRate, Int>()

        init {
            for (rate in rates) available[rate] = cluster.machines.values.sumOf { slotsOn(it, rate.spec) }
        }

        /** How many slots more the class needs than there are. */
        fun missingSlots(rate: ArrivalRate): Int = needed.getValue(rate) - available.getValue(rate)

        /** Takes the machine's slots out of the count if enough remain. */
        fun tryRelease(machine: Machine): Boolean {
            val lost = rates.associateWith { slotsOn(machine, it.spec) }
            val isNeeded =
                lost.any { (rate, slots) ->
                    slots > 0 &&
                        available.getValue(rate) - slots < needed.getValue(rate)
                }
            if (isNeeded) return false
            for ((rate, slots) in lost) available.merge(rate, -slots, Int::plus)
            return true
        }
    }

    /** How many tasks of the class are likely to arrive while another machine could be got ready. */
    private fun neededFor(rate: ArrivalRate): Int {
        val perSecond = rate.tasksPerSecond(now)
        val type = cluster.firstTypeFor(rate.spec) ?: return 0
        val leadTime = type.boot * BOOT_MARGIN + type.fetchTime(rate.spec.imageGb) + LEAD_TIME_MARGIN
        val mean = perSecond * (leadTime / 1.seconds) * context.config.tuning.headroom
        return ceil(mean + sqrt(mean)).toInt().coerceAtLeast(1)
    }

    private fun slotsOn(machine: Machine, spec: JobSpec): Int {
        if (!isAvailable(machine) || !isAllowed(spec, machine)) return 0
        val type = cluster.typeOf(machine) ?: return 0
        // What lower work takes can be freed at once, so it counts as spare.
        var available = machine.available(type)
        for (placement in machine.placements.values) {
            if (mayBePreempted(placement.job)) available += placement.job.resourceRequest
        }
        return spec.resourceRequest.countIn(available)
    }

    private fun isAvailable(machine: Machine): Boolean {
        if (machine.isCordoned || machine.isLeaving) return false
        return machine.isTrusted && !machine.reachability.isUnreachable && !machine.isSilent(context)
    }

    private fun mayBePreempted(job: Job) = job.effectivePriority < Priority.URGENT && job.spec.kind == JobKind.ARRAY

    private companion object {
        const val MAX_ARRIVALS = 200
        val MIN_WINDOW = 60.seconds
        val MAX_WINDOW = 300.seconds
        val FIRST_MOMENTS = 5.seconds
        const val BOOT_MARGIN = 1.2
        val LEAD_TIME_MARGIN = 5.seconds
    }
}
