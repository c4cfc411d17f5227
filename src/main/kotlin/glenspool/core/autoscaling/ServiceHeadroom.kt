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

/** Spare capacity for critical services that are likely to arrive in the time it takes to get another machine ready. */
class ServiceHeadroom(private val context: SchedulingContext, private val cluster: ClusterState) {
    private val now: Duration get() = context.now

    private class Arrival(val at: Duration, val tasks: Int)

    /** The recent arrivals of a job class. [spec] describes the first job of the class, which arrived at [since]. */
    class ArrivalRate(val spec: JobSpec, val since: Duration) {
        private val recent = ArrayDeque<Arrival>()

        /** Records the arrival of a job with [tasks] tasks. */
        fun add(at: Duration, tasks: Int) {
            recent.addLast(Arrival(at, tasks))
            while (recent.size > MAX_RECENT_ARRIVALS) recent.removeFirst()
        }

        /**
         * Returns the number of tasks that arrive per second. Tasks that arrived shortly after the first job are left
         * out: after a failover all known jobs arrive together, which says nothing about the rate.
         */
        fun tasksPerSecond(now: Duration): Double {
            val window = maxOf(now - since, MIN_RATE_WINDOW)
            val tasks =
                recent
                    .filter { now - it.at < window && now - it.at < MAX_RATE_WINDOW && it.at > since + IGNORED_PERIOD }
                    .sumOf { it.tasks }
            return tasks / (minOf(window, MAX_RATE_WINDOW) / 1.seconds)
        }
    }

    private val arrivalRates = HashMap<String, ArrivalRate>()

    /** Records a critical service whose tasks may be placed from now on; other jobs are ignored. */
    fun jobArrived(job: Job) {
        if (job.spec.kind != JobKind.SERVICE || job.effectivePriority != Priority.CRITICAL) return
        arrivalRates.getOrPut(job.spec.jobClass) { ArrivalRate(job.spec, now) }.add(now, job.spec.tasks)
    }

    /** Counts the needed and the available slots, once for each plan. */
    fun measure(): Slots = Slots(arrivalRates.values.toList())

    /** The spare slots of each job class on the machines, updated as machines are cordoned or returned. */
    inner class Slots(val rates: List<ArrivalRate>) {
        private val needed = rates.associateWith { neededSlots(it) }
        private val available = HashMap<ArrivalRate, Int>()

        init {
            for (rate in rates) available[rate] = cluster.machines.values.sumOf { slotsOn(it, rate.spec) }
        }

        /** How many more slots the class needs than are available. */
        fun missingSlots(rate: ArrivalRate): Int = needed.getValue(rate) - available.getValue(rate)

        /** Removes the machine's slots from the count if enough remain, and returns whether they were removed. */
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

    /** How many tasks of the class are likely to arrive in the time it takes to get another machine ready. */
    private fun neededSlots(rate: ArrivalRate): Int {
        val perSecond = rate.tasksPerSecond(now)
        val type = cluster.firstTypeFor(rate.spec) ?: return 0
        val leadTime = type.bootTime * BOOT_TIME_FACTOR + type.fetchTime(rate.spec.imageGb) + LEAD_TIME_MARGIN
        val mean = perSecond * (leadTime / 1.seconds) * context.config.tuning.headroom
        return ceil(mean + sqrt(mean)).toInt().coerceAtLeast(1)
    }

    private fun slotsOn(machine: Machine, spec: JobSpec): Int {
        if (!isAvailable(machine) || !isAllowed(spec, machine)) return 0
        val type = cluster.typeOf(machine) ?: return 0
        // Resources used by lower-priority work can be freed immediately, so they count as available.
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
        const val MAX_RECENT_ARRIVALS = 200
        val MIN_RATE_WINDOW = 60.seconds
        val MAX_RATE_WINDOW = 300.seconds
        val IGNORED_PERIOD = 5.seconds
        const val BOOT_TIME_FACTOR = 1.2
        val LEAD_TIME_MARGIN = 5.seconds
    }
}
