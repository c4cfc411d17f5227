package glenspool.controller

import glenspool.rollout.HealthCounts
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts the events in this process since its start that indicate problems. Thread-safe. */
class HealthCounters {
    private val failovers = LongAdder()
    private val expiredLeases = LongAdder()
    private val refusals = LongAdder()
    private val rejectedWrites = LongAdder()

    /** The last known incarnation of each machine. */
    private val incarnations = ConcurrentHashMap<String, Long>()

    /** Counts that this node was elected. */
    fun countFailover() = failovers.increment()

    /** Counts a refused request of a user. */
    fun countRefusal() = refusals.increment()

    /** Counts a transaction of the leader that the store rejected. */
    fun countRejectedWrite() = rejectedWrites.increment()

    /**
     * Counts an expired lease if the machine's incarnation has grown, since a worker begins a new incarnation when its
     * lease has expired. The first heartbeat of a machine is no evidence of an expired lease.
     */
    fun recordIncarnation(machine: String, incarnation: Long) {
        if (incarnations.size >= MAX_MACHINES) incarnations.clear()
        val previous = incarnations.put(machine, incarnation)
        if (previous != null && incarnation > previous) expiredLeases.increment()
    }

    /** All counts so far. */
    fun counts() = HealthCounts(failovers.sum(), expiredLeases.sum(), refusals.sum(), rejectedWrites.sum())

    private companion object {
        const val MAX_MACHINES = 20_000
    }
}
