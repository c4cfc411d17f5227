package glenspool.core.cluster

import glenspool.core.SchedulingContext
import kotlin.time.Duration

/**
 * Tells a zone that is partitioned off from machines that are lost. In a zone with a controller of its own the work
 * goes on meanwhile, since that controller keeps its workers' leases; giving its machines up would stop a good part of
 * all work, to rent the same again. So its machines are waited for, but not without end: a controller there may have
 * ended too. Machines that died with their zone show in the cloud's list, and cancelled work is never waited for.
 */
class ZonePartitionDetector(private val context: SchedulingContext) {
    private class ContactCount {
        var total = 0
        var fresh = 0
    }

    /** A partition: since when, and when it was last seen. */
    private class Partition(val since: Duration, val lastSeen: Duration)

    private val contactByZone = HashMap<String, ContactCount>()

    /** Zones that are partitioned off, or were until a moment ago. */
    private val partitions = HashMap<String, Partition>()

    /** Begins to count anew. */
    fun beginCount() = contactByZone.clear()

    /** Counts a machine that is up. */
    fun count(machine: Machine) {
        val contact = contactByZone.getOrPut(machine.zone) { ContactCount() }
        contact.total++
        // Half of the machines that are heard at all were heard within this time: it shows a partition before the
        // first machine is given up.
        val span = context.config.heartbeatInterval / 2
        if (machine.reachability.hadContactWithin(span, context.now)) contact.fresh++
    }

    /** Judges from what was counted. */
    fun update() {
        val total = contactByZone.values.sumOf { it.total }
        val fresh = contactByZone.values.sumOf { it.fresh }
        for (zone in context.config.peerZones) {
            val contact = contactByZone[zone] ?: ContactCount()
            // The other zones must be heard, or the fault is this node's own.
            val areOthersInContact = (fresh - contact.fresh) * ONE_IN_CONTACT_ELSEWHERE > total - contact.total
            val isSilent = contact.total >= MIN_MACHINES && contact.fresh * ONE_IN_STILL_IN_CONTACT <= contact.total
            update(zone, isSilent && areOthersInContact)
        }
    }

    private fun update(zone: String, isSilent: Boolean) {
        val known = partitions[zone]
        if (isSilent) {
            partitions[zone] = Partition(known?.since ?: context.now, context.now)
            return
        }
        // Not sooner: the first workers to be heard again must not condemn those that need a moment more.
        val patience = context.config.heartbeatInterval * INTERVALS_TO_RETURN
        if (known != null && context.now - known.lastSeen > patience) partitions.remove(zone)
    }

    /** Whether the zone's machines are to be waited for. */
    fun isPartitioned(zone: String): Boolean {
        val partition = partitions[zone] ?: return false
        return context.now - partition.since < context.config.lease * MAX_LEASES
    }

    private companion object {
        /** With fewer machines, chance alone would often leave none heard of late. */
        const val MIN_MACHINES = 4

        /** One machine in so many may still be heard in a zone that counts as partitioned off. */
        const val ONE_IN_STILL_IN_CONTACT = 20

        /**
         * More than one machine in so many of the other zones was heard within half a heartbeat interval; usually it is
         * one in two.
         */
        const val ONE_IN_CONTACT_ELSEWHERE = 4

        /** A partition is waited for as long as so many leases. */
        const val MAX_LEASES = 4
        const val INTERVALS_TO_RETURN = 3
    }
}
