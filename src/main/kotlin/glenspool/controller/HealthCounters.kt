package glenspool.controller

import glenspool.rollout.HealthCounts
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Counts the symptoms of trouble in this process since its start. Any thread may count. */
class HealthCounters {
    private val failovers = LongAdder()
    private val expiredLeases = LongAdder()
    private val refusals = LongAdder()
    private val rejectedWrites = LongAdder()

    /** The last incarnation seen of each machine. */
    private val incarnations = ConcurrentHashMap<String, Long>()

    /** This node was elected. */
    fun countFailover() = failovers.increment()

    /** A user's request was refused. */
    fun countRefusal() = refusals.increment()

    /** A leader's transaction was refused by the store. */
    fun countRejectedWrite() = rejectedWrites.increment()

    /**
     * A worker begins a new incarnation when its lease has expired. The first heartbeat of a machine shows nothing.
     */
    fun recordIncarnation(machine: String, incarnation: Long) {
        if (incarnations.size >= MAX_MACHINES) incarnations.clear()
        val before = incarnations.put(machine, incarnation)
        if (before != null && incarnation > before) expiredLeases.increment()
    }

    /** All counts so far. */
    fun counts() = HealthCounts(failovers.sum(), expiredLeases.sum(), refusals.sum(), rejectedWrites.sum())

    private companion object {
        const val MAX_MACHINES = 20_000
    }
}
