package glenspool.core.cluster

import glenspool.core.OverloadMonitor
import glenspool.core.Resign
import glenspool.core.SchedulingContext
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Resigns the leadership of a node that has no contact with any worker, or whose requests no worker answers. Until the
 * workers' leases expire, such a leader would keep all workers from a leader that could answer them, so it resigns well
 * before that. If no other controller has contact with the workers either, nothing is lost.
 */
class LeaderConnectivity(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val overload: OverloadMonitor,
    private val contacts: FleetContactCounts,
) {
    private val now: Duration get() = context.now
    private var hasResigned = false

    /** Resigns if this node is isolated. [maxSilence] is the silence after which a machine is declared lost. */
    fun check(maxSilence: Duration) {
        if (hasResigned) return
        if (hasNoContact()) {
            resign("no worker is heard")
        } else if (reachesNoWorker(maxSilence)) {
            resign("no worker is reached")
        }
    }

    private fun resign(reason: String) {
        hasResigned = true
        context.addAction(Resign(reason))
    }

    private fun hasNoContact(): Boolean {
        if (overload.isOverloaded) return false
        var upCount = 0
        var lastContactAt: Duration? = null
        for (machine in cluster.machines.values) {
            if (machine.isDeleting || machine.isBooting) continue
            upCount++
            machine.reachability.lastContactAt?.let { lastContactAt = maxOf(lastContactAt ?: it, it) }
        }
        if (upCount < MIN_MACHINES) return false
        val last = lastContactAt ?: return now - context.startedAt > context.config.lease * FIRST_CONTACT_LEASE_SHARE
        return now - last > maxOf(context.config.heartbeatInterval * MAX_SILENCE_INTERVALS, MIN_SILENCE_LIMIT)
    }

    private fun reachesNoWorker(maxSilence: Duration): Boolean {
        if (contacts.unreachableCount < MIN_MACHINES || contacts.reachableCount > 0) return false
        val unreachable = cluster.machines.values.count { it.reachability.isUnreachableFor(maxSilence, now) }
        return unreachable >= MIN_MACHINES
    }

    private companion object {
        /** Fewer machines prove nothing about this node. */
        const val MIN_MACHINES = 3

        /** A new leader that has had no contact with any worker waits for this share of a lease. */
        const val FIRST_CONTACT_LEASE_SHARE = 0.6
        const val MAX_SILENCE_INTERVALS = 2.5
        val MIN_SILENCE_LIMIT = 3.seconds
    }
}
