package glenspool.core.cluster

import glenspool.core.DeletionCause
import glenspool.core.OverloadMonitor
import glenspool.core.Probe
import glenspool.core.SchedulingContext
import glenspool.core.StopCause
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Gives up machines that can't be heard or reached. A machine is only ever given up by deletion: neither silence nor
 * time proves what is on it.
 */
class FailureDetector(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val overload: OverloadMonitor,
    private val deleter: MachineDeleter,
    private val cancelledWork: CancelledWorkDeadline,
) {
    private val config get() = context.config
    private val now: Duration get() = context.now
    private val partitions = ZonePartitionDetector(context)
    private val contacts = FleetContactCounts(context, cluster, partitions)
    private val connectivity = LeaderConnectivity(context, cluster, overload, contacts)
    private var probesLeft = 0

    /** How long a machine may be silent before it is given up. */
    private val maxSilence: Duration
        get() = maxOf(config.lease * config.tuning.silenceShare, config.heartbeatInterval * MIN_SILENCE_INTERVALS)

    /** Looks at the whole fleet. */
    fun tick() {
        contacts.update(maxSilence)
        // A new leader has all machines to probe at once, and has yet to warm up.
        probesLeft = MIN_PROBES + cluster.machines.size / MACHINES_PER_PROBE
        for (machine in cluster.machines.values.toList()) watch(machine)
        probeControls()
        connectivity.check(maxSilence)
    }

    private fun watch(machine: Machine) {
        if (machine.isDeleting) return deleter.retry(machine)
        if (machine.isBooting && !machine.reachability.hadContact) return watchBoot(machine)
        if (machine.preemptionNotice != null) {
            if (machine.workload.taskCount == 0 && machine.isTrusted) {
                return deleter.delete(machine, DeletionCause.NOTICE)
            }
            evictGracefully(machine)
        }
        val silence = silenceOf(machine)
        probeIfSilent(machine, silence)
        causeToGiveUp(machine, silence)?.let { deleter.delete(machine, it) }
    }

    /** For how long nothing was heard of the machine, without what this process has yet to take in. */
    private fun silenceOf(machine: Machine): Duration {
        val since = machine.reachability.lastContactAt ?: maxOf(machine.firstSeen, context.startedAt)
        return now - since - overload.backlog
    }

    private fun watchBoot(machine: Machine) {
        val usualBoot = cluster.typeOf(machine)?.boot ?: UNKNOWN_BOOT
        val age = maxOf(machine.age, now - machine.firstSeen)
        val maxAge = usualBoot * config.tuning.bootPatience + config.listLag * 2
        if (age > maxAge) deleter.delete(machine, DeletionCause.NEVER_CAME_UP)
    }

    private fun causeToGiveUp(machine: Machine, silence: Duration): DeletionCause? =
        when {
            // Cancelled work on a machine that does not carry out our commands must be gone in time, heard or not.
            cancelledWork.isExceeded(machine) -> DeletionCause.CANCELLED_WORK
            partitions.isPartitioned(machine.zone) -> null
            isUnreachableAlone(machine) -> DeletionCause.UNREACHABLE
            isLost(machine, silence) -> DeletionCause.SILENT
            else -> null
        }

    /**
     * Its heartbeats come in, but nothing reaches it: its tasks die with its lease, again and again. Only while other
     * machines are reached, or it is our own way out that is cut.
     */
    private fun isUnreachableAlone(machine: Machine): Boolean =
        machine.reachability.isUnreachableFor(maxSilence, now) && contacts.reachableCount > contacts.unreachableCount

    private fun isLost(machine: Machine, silence: Duration): Boolean {
        val isDelisted = isDelisted(machine)
        val limit = if (isDelisted && machine.isListed) config.heartbeatInterval * MIN_SILENCE_INTERVALS else maxSilence
        if (silence <= limit) return false
        // Silence for two leases is given up in any case: if most machines are really lost, waiting would never end.
        if (!contacts.isMajorityInContact() && silence <= config.lease * 2) return false
        return !mayBeElsewhere(machine, silence, isDelisted) || wereProbesUnanswered(machine)
    }

    /**
     * A worker may need most of its lease to find a new leader, or one that was too slow to answer it: each dead
     * controller costs it a time-out. Until then only probes without an answer show that the machine itself is lost.
     */
    private fun mayBeElsewhere(machine: Machine, silence: Duration, isDelisted: Boolean): Boolean {
        val mayHaveTurnedAway = !machine.reachability.hadContact || overload.isOverloaded
        return mayHaveTurnedAway && silence <= config.lease && !isDelisted
    }

    private fun wereProbesUnanswered(machine: Machine): Boolean {
        val since = machine.reachability.unreachableSince ?: return false
        return now - since >= probeInterval + SECOND_PROBE_MARGIN
    }

    /**
     * Missing from lists for longer than they lag. A new leader knows such a machine from a stored placement only and
     * has no address to probe it at: the last leader deleted it, or it died, and its work would wait for a whole lease.
     */
    private fun isDelisted(machine: Machine): Boolean {
        val since = machine.unlistedSince ?: return false
        return now - since > config.listLag * 2 + LIST_MARGIN
    }

    private val probeInterval: Duration get() = maxOf(MIN_PROBE_INTERVAL, config.heartbeatInterval)

    /** Where a worker has not found a new leader, the leader probes; lost machines must not be waited for longest. */
    private fun probeIfSilent(machine: Machine, silence: Duration) {
        val reachability = machine.reachability
        val interval = config.heartbeatInterval
        val patience = if (reachability.hadContact) interval * LATE_INTERVALS + LATE_MARGIN else interval
        val isDue = silence > patience || reachability.isUnreachable
        if (isDue && machine.addr.isNotEmpty() && now >= machine.requests.nextProbeAt) probe(machine)
    }

    private fun probe(machine: Machine) {
        if (probesLeft-- <= 0) return
        machine.requests.delayProbesUntil(now + probeInterval)
        context.act(Probe(machine.id, machine.addr))
    }

    /** While some machine does not answer, a few others are probed too: they tell whose fault it is. */
    private fun probeControls() {
        if (contacts.unreachableCount == 0 || contacts.reachableCount > contacts.unreachableCount) return
        cluster.machines.values
            .filter { isFitForControl(it) }
            .sortedBy { it.reachability.lastReachableAt ?: Duration.ZERO }
            .take(minOf(contacts.unreachableCount + 1, MAX_CONTROLS))
            .forEach(::probe)
    }

    private fun isFitForControl(machine: Machine): Boolean {
        val reachability = machine.reachability
        if (reachability.isUnreachable || !reachability.hadContact) return false
        return !machine.isDeleting && machine.addr.isNotEmpty() && now >= machine.requests.nextProbeAt
    }

    /** The cloud preempts the machine: what can checkpoint, or has not begun, is stopped in time. */
    private fun evictGracefully(machine: Machine) {
        for (placement in machine.placements.values) {
            if (placement.stopCause != null || placement.stage != PlacementStage.OBSERVED) continue
            val job = placement.job
            val canCheckpoint = job.spec.checkpointInterval > Duration.ZERO
            if (canCheckpoint || placement.taskState == TaskState.FETCHING) {
                commands.stop(placement, StopCause.NOTICE, job.checkpointGrace)
            }
        }
    }

    private companion object {
        val UNKNOWN_BOOT = 60.seconds

        /** The largest number of machines that are probed for comparison. */
        const val MAX_CONTROLS = 6
        const val MIN_PROBES = 4
        const val MACHINES_PER_PROBE = 100
        val MIN_PROBE_INTERVAL = 2.seconds

        /** Past the pause between two probes, so that one slow answer is not taken for a lost machine. */
        val SECOND_PROBE_MARGIN = 500.milliseconds

        /** A heartbeat is late after so many intervals, and a margin. */
        const val LATE_INTERVALS = 1.6
        val LATE_MARGIN = 500.milliseconds

        /** A machine that the cloud lists no more is given up after so many intervals without a heartbeat. */
        const val MIN_SILENCE_INTERVALS = 2.5

        /** What the cloud's list may be late by, besides its usual lag. */
        val LIST_MARGIN = 2.seconds
    }
}
