package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration

/**
 * Distinguishes a partitioned zone from lost machines. In a zone that has a controller, work continues during a network
 * partition, since that controller renews the leases of its workers; deleting the zone's machines would stop a large
 * part of all work, only to rent the same machines again. The leader therefore waits for the machines, but only for a
 * limited time, since the controller in the zone may have ended too. Machines that failed with their zone are shown in
 * the cloud's list, and cancelled work is never waited for.
 */
class ZonePartitionDetector(private val context: SchedulingContext) {
    private class ContactCount {
        var total = 0
        var recent = 0
    }

    /** A partition with the time since when it has existed and the time at which it was last detected. */
    private class Partition(val since: Duration, val lastDetectedAt: Duration)

    private val contactByZone = HashMap<String, ContactCount>()

    /** Zones that are partitioned, or were until a moment ago. */
    private val partitions = HashMap<String, Partition>()

    /** Resets the counts. */
    fun resetCounts() = contactByZone.clear()

    /** Counts a machine that is up. */
    fun count(machine: Machine) {
        val contact = contactByZone.getOrPut(machine.zone) { ContactCount() }
        contact.total++
        // Of the machines in contact, half were in contact within this time. It is short enough to show a partition
        // before the first machine is declared lost.
        val span = context.config.heartbeatInterval / 2
        if (machine.reachability.hadContactWithin(span, context.now)) contact.recent++
    }

    /** Detects partitions from the counts. */
    fun update() {
        val total = contactByZone.values.sumOf { it.total }
        val recent = contactByZone.values.sumOf { it.recent }
        for (zone in context.config.peerZones) {
            val contact = contactByZone[zone] ?: ContactCount()
            // The other zones must be in contact; otherwise the fault is on this node's side.
            val isRestInContact = (recent - contact.recent) * OTHER_MACHINES_PER_CONTACT > total - contact.total
            val isSilent = contact.total >= MIN_MACHINES && contact.recent * MACHINES_PER_CONTACT <= contact.total
            update(zone, isSilent && isRestInContact)
        }
    }

    private fun update(zone: String, isSilent: Boolean) {
        val known = partitions[zone]
        if (isSilent) {
            partitions[zone] = Partition(known?.since ?: context.now, context.now)
            return
        }
        // Kept for a grace period: when the first workers are in contact again, the machines of those that need a
        // moment longer must not be deleted.
        val gracePeriod = context.config.heartbeatInterval * GRACE_PERIOD_INTERVALS
        if (known != null && context.now - known.lastDetectedAt > gracePeriod) partitions.remove(zone)
    }

    /** Whether the zone counts as partitioned, so that its machines are waited for. */
    fun isPartitioned(zone: String): Boolean {
        val partition = partitions[zone] ?: return false
        return context.now - partition.since < context.config.lease * MAX_PARTITION_LEASES
    }

    private companion object {
        /** With fewer machines it would often happen by chance that none was in contact recently. */
        const val MIN_MACHINES = 4

        /** In a partitioned zone, at most one of this many machines is still in contact. */
        const val MACHINES_PER_CONTACT = 20

        /**
         * In the other zones, more than one of this many machines must have been in contact within half a heartbeat
         * interval; usually it is one in two.
         */
        const val OTHER_MACHINES_PER_CONTACT = 4

        /** The machines of a partitioned zone are waited for during this many leases. */
        const val MAX_PARTITION_LEASES = 4
        const val GRACE_PERIOD_INTERVALS = 3
    }
}
