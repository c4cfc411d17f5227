package glenspool.controller

import glenspool.rollout.HealthCounts
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts what went wrong in this process since its start. Any thread may count. */
class HealthCounters {
    private val takeOvers = LongAdder()
    private val leasesExpired = LongAdder()
    private val refusals = LongAdder()
    private val rejectedWrites = LongAdder()
    private val incarnations = ConcurrentHashMap<String, Long>()

    fun tookOver() = takeOvers.increment()

    fun refused() = refusals.increment()

    fun writeRejected() = rejectedWrites.increment()

    /**
     * A worker begins a new session when its lease has run out. A machine that is heard for the first time tells
     * nothing.
     */
    fun incarnationSeen(machine: String, incarnation: Long) {
        if (incarnations.size >= MAX_MACHINES) incarnations.clear()
        val before = incarnations.put(machine, incarnation)
        if (before != null && incarnation > before) leasesExpired.increment()
    }

    fun counts() = HealthCounts(takeOvers.sum(), leasesExpired.sum(), refusals.sum(), rejectedWrites.sum())

    private companion object {
        const val MAX_MACHINES = 20_000
    }
}
