package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration

/**
 * The numbers of machines that are in contact and reachable. They are counted once for each check of all machines, so
 * that the check of one machine does not scan all others.
 */
class FleetContactCounts(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val partitions: ZonePartitionDetector,
) {
    /** Machines that should be in contact. */
    private var expectedCount = 0

    /** Machines that should be in contact and recently were. */
    private var inContactCount = 0

    /** Machines that recently answered a request. */
    var reachableCount = 0
        private set

    /** Machines whose requests are unanswered. */
    var unreachableCount = 0
        private set

    /** Counts all machines again. [maxSilence] is how long a machine may be silent before it is declared lost. */
    fun update(maxSilence: Duration) {
        expectedCount = 0
        inContactCount = 0
        reachableCount = 0
        unreachableCount = 0
        partitions.resetCounts()
        // Clearly shorter than [maxSilence], so that machines that became silent together do not count as contact for
        // each other.
        val recent = maxOf(maxSilence * RECENT_SILENCE_SHARE, context.config.heartbeatInterval * MIN_RECENT_INTERVALS)
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
     * Whether most machines other than a silent one are in contact. A network partition or a stall on this node's side
     * makes every machine look silent.
     */
    fun isMajorityInContact(): Boolean {
        val others = expectedCount - 1
        if (others <= 0) return context.now - context.startedAt > context.config.lease * MIN_LEASES_WITHOUT_COMPARISON
        return inContactCount * 2 > others
    }

    private companion object {
        const val RECENT_SILENCE_SHARE = 0.6
        const val MIN_RECENT_INTERVALS = 1.4

        /** With no other machine to compare with, silence counts only after this many leases of the term. */
        const val MIN_LEASES_WITHOUT_COMPARISON = 2
    }
}
