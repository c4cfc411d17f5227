package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration

/**
 * How many machines are heard and reached. It is taken once for each look at the whole fleet, so that judging one
 * machine does not look at all others.
 */
class FleetContactCounts(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val partitions: ZonePartitionDetector,
) {
    /** Machines that should be heard. */
    private var expectedCount = 0

    /** Those of them that were heard of late. */
    private var inContactCount = 0

    /** Machines that answered a request of late. */
    var reachableCount = 0
        private set

    /** Machines whose requests go without an answer. */
    var unreachableCount = 0
        private set

    /** Counts all machines anew. [maxSilence]: how long a machine may be silent before it is given up. */
    fun update(maxSilence: Duration) {
        expectedCount = 0
        inContactCount = 0
        reachableCount = 0
        unreachableCount = 0
        partitions.beginCount()
        // Clearly shorter than the silence bound: machines that all fell silent together must not vouch for each other.
        val recent = maxOf(maxSilence * SILENCE_SHARE, context.config.heartbeatInterval * MIN_INTERVALS)
        for (machine in cluster.machines.values) if (!machine.isDeleting) count(machine, recent)
        partitions.update()
    }

    private fun count(machine: Machine, recent: Duration) {
        val reachability = machine.reachability
        if (reachability.isUnreachable) unreachableCount++
        if (reachability.wasReachableWithin(recent, context.now)) reachableCount++
        if (machine.isBooting && !reachability.hadContact) return
        expectedCount++
        if (reachability.hadContactWithin(recent, context.now)) inContactCount++
        partitions.count(machine)
    }

    /**
     * Whether most machines other than a silent one are heard. A partition or a stall on our own side makes every
     * machine look silent.
     */
    fun isMajorityInContact(): Boolean {
        val others = expectedCount - 1
        if (others <= 0) return context.now - context.startedAt > context.config.lease * LEASES_ALONE
        return inContactCount * 2 > others
    }

    private companion object {
        const val SILENCE_SHARE = 0.6
        const val MIN_INTERVALS = 1.4

        /** With no other machine to compare with, silence counts only after so many leases of the term. */
        const val LEASES_ALONE = 2
    }
}
