package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration

/**
 * How many machines are heard and reached. It is taken once for each look at the whole fleet, so that judging one
 * machine does not look at all others.
 */
class FleetCensus(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val partitions: ZonePartitionDetector,
) {
    /** Machines that should be heard. */
    private var expected = 0

    /** Those of them that were heard of late. */
    private var inContact = 0

    /** Machines that answered a request of late. */
    var reached = 0
        private set

    /** Machines whose requests go without an answer. */
    var unreachable = 0
        private set

    /** Counts all machines anew. [silence]: how long a machine may be silent before it is given up. */
    fun take(silence: Duration) {
        expected = 0
        inContact = 0
        reached = 0
        unreachable = 0
        partitions.beginCount()
        // Clearly shorter than the silence bound: machines that all fell silent together must not vouch for each other.
        val recent = maxOf(silence * SILENCE_SHARE, context.config.heartbeatInterval * MIN_INTERVALS)
        for (machine in cluster.machines.values) if (!machine.isDeleting) count(machine, recent)
        partitions.update()
    }

    private fun count(machine: Machine, recent: Duration) {
        val reachability = machine.reachability
        if (reachability.isUnreachable) unreachable++
        if (reachability.wasReachedWithin(recent, context.now)) reached++
        if (machine.isBooting && !reachability.hadContact) return
        expected++
        if (reachability.hadContactWithin(recent, context.now)) inContact++
        partitions.count(machine)
    }

    /**
     * Whether most machines other than a silent one are heard. A partition or a stall on our own side makes every
     * machine look silent.
     */
    fun areMostOthersInContact(): Boolean {
        val others = expected - 1
        if (others <= 0) return context.now - context.startedAt > context.config.lease * LEASES_ALONE
        return inContact * 2 > others
    }

    private companion object {
        const val SILENCE_SHARE = 0.6
        const val MIN_INTERVALS = 1.4

        /** With no other machine to compare with, silence counts only after so many leases of the term. */
        const val LEASES_ALONE = 2
    }
}
