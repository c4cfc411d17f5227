package glenspool.core.cluster

import glenspool.core.Scheduler
import kotlin.time.Duration

/**
 * Tells a zone that is cut off from machines that are lost. In a zone with a controller of its own the work goes on
 * while it is cut off, since that controller keeps its workers' leases; giving its machines up would stop a good part
 * of all work, to rent the same again. So its machines are waited for, but not without end: a controller there may have
 * ended too. Machines that died with their zone show in the cloud's list, and cancelled work is never waited for.
 */
class ZonePartitionDetector(private val core: Scheduler) {
    private class Count {
        var machines = 0
        var fresh = 0
    }

    private val counts = HashMap<String, Count>()

    /** Of zones that are cut off, or were until a moment ago: since when, and when that was last seen. */
    private val cuts = HashMap<String, Pair<Duration, Duration>>()

    fun begin() = counts.clear()

    /** Counts a machine that is up. */
    fun add(m: Machine) {
        val c = counts.getOrPut(m.zone) { Count() }
        c.machines++
        // Half of the machines that report at all did so within this time: it shows a cut before the first is given up.
        if (m.lastHeardAt.let { it != null && core.now - it <= core.config.heartbeatInterval / 2 }) c.fresh++
    }

    fun judge() {
        val all = counts.values.sumOf { it.machines }
        val fresh = counts.values.sumOf { it.fresh }
        for (zone in core.config.peerZones) {
            val c = counts[zone] ?: Count()
            // The other zones must be heard, or the trouble is this node's own.
            val silent =
                c.machines >= FEW && c.fresh * NEARLY_NONE <= c.machines && (fresh - c.fresh) * USUAL > all - c.machines
            val known = cuts[zone]
            if (silent) {
                cuts[zone] = (known?.first ?: core.now) to core.now
            } else if (known != null && core.now - known.second > core.config.heartbeatInterval * REPORTS_TO_RETURN) {
                // Not sooner: the first workers to be heard again must not condemn those that need a moment more.
                cuts.remove(zone)
            }
        }
    }

    fun cut(zone: String): Boolean = cuts[zone].let { it != null && core.now - it.first < core.config.lease * PATIENCE }

    private companion object {
        /** With fewer machines, chance alone would often leave none heard of late. */
        const val FEW = 4

        /** One in so many may still be heard in a zone that counts as cut off. */
        const val NEARLY_NONE = 20

        /** More than one in so many of the others was heard within half a report's time; usually it is one in two. */
        const val USUAL = 4
        const val PATIENCE = 4
        const val REPORTS_TO_RETURN = 3
    }
}
