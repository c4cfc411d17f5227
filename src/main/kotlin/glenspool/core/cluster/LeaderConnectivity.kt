package glenspool.core.cluster

import glenspool.core.OverloadMonitor
import glenspool.core.Resign
import glenspool.core.SchedulingContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Gives up the leadership of a node that hears no worker, or reaches none. Such a leader keeps them all from one that
 * could answer, until their leases expire, so it gives way well before that; where nobody else hears them either,
 * nothing is lost.
 */
class LeaderConnectivity(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val overload: OverloadMonitor,
    private val contacts: FleetContactCounts,
) {
    private val now: Duration get() = context.now
    private var hasResigned = false

    /** [silence]: how long a machine may be silent before it is given up. */
    fun check(silence: Duration) {
        if (hasResigned) return
        if (hearsNobody()) {
            resign("no worker is heard")
        } else if (reachesNobody(silence)) {
            resign("no worker is reached")
        }
    }

    private fun resign(reason: String) {
        hasResigned = true
        context.act(Resign(reason))
    }

    private fun hearsNobody(): Boolean {
        if (overload.isOverloaded) return false
        var up = 0
        var lastContactAt: Duration? = null
        for (machine in cluster.machines.values) {
            if (machine.isDeleting || machine.isBooting) continue
            up++
            machine.reachability.lastContactAt?.let { lastContactAt = maxOf(lastContactAt ?: it, it) }
        }
        if (up < MIN_MACHINES) return false
        val last = lastContactAt ?: return now - context.startedAt > context.config.lease * MAX_LEASE_SHARE
        return now - last > maxOf(context.config.heartbeatInterval * MAX_INTERVALS, MIN_SILENCE)
    }

    private fun reachesNobody(silence: Duration): Boolean {
        if (contacts.unreachableCount < MIN_MACHINES || contacts.reachableCount > 0) return false
        val lost = cluster.machines.values.count { it.reachability.isUnreachableFor(silence, now) }
        return lost >= MIN_MACHINES
    }

    private companion object {
        /** Fewer machines prove nothing about this node. */
        const val MIN_MACHINES = 3

        /** A new leader that has heard nobody waits for this share of a lease. */
        const val MAX_LEASE_SHARE = 0.6
        const val MAX_INTERVALS = 2.5
        val MIN_SILENCE = 3.seconds
    }
}
