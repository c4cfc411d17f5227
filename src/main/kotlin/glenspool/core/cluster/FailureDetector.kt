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
 * Deletes machines that are silent or unreachable. A machine is declared lost only by deleting it, since neither
 * silence nor elapsed time proves which tasks are on it.
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
    private var remainingProbes = 0

    /** How long a machine may be silent before it is declared lost. */
    private val maxSilence: Duration
        get() = maxOf(config.lease * config.tuning.silenceShare, config.heartbeatInterval * MIN_SILENCE_INTERVALS)

    /** Checks all machines. */
    fun tick() {
        contacts.update(maxSilence)
        // Limited, because a new leader would have to probe all machines at the same time, and is not warmed up yet.
        remainingProbes = MIN_PROBES + cluster.machines.size / MACHINES_PER_PROBE
        for (machine in cluster.machines.values.toList()) checkMachine(machine)
        probeForComparison()
        connectivity.check(maxSilence)
    }

    private fun checkMachine(machine: Machine) {
        if (machine.isDeleting) return deleter.retry(machine)
        if (machine.isBooting && !machine.reachability.hadContact) return checkBoot(machine)
        if (machine.preemptionNotice != null) {
            if (machine.workload.taskCount == 0 && machine.isTrusted) {
                return deleter.delete(machine, DeletionCause.NOTICE)
            }
            stopBeforePreemption(machine)
        }
        val silence = silenceOf(machine)
        probeIfSilent(machine, silence)
        deletionCauseFor(machine, silence)?.let { deleter.delete(machine, it) }
    }

    /** How long the machine has been silent, less the backlog of this process, which may hold its heartbeat. */
    private fun silenceOf(machine: Machine): Duration {
        val since = machine.reachability.lastContactAt ?: maxOf(machine.firstSeen, context.startedAt)
        return now - since - overload.backlog
    }

    private fun checkBoot(machine: Machine) {
        val usualBoot = cluster.typeOf(machine)?.bootTime ?: DEFAULT_BOOT_TIME
        val age = maxOf(machine.age, now - machine.firstSeen)
        val maxAge = usualBoot * config.tuning.bootTimeoutFactor + config.listLag * 2
        if (age > maxAge) deleter.delete(machine, DeletionCause.NEVER_CAME_UP)
    }

    private fun deletionCauseFor(machine: Machine, silence: Duration): DeletionCause? =
        when {
            // Cancelled work must end in time on a machine that executes no commands, even if it is in contact.
            cancelledWork.isExceeded(machine) -> DeletionCause.CANCELLED_WORK
            partitions.isPartitioned(machine.zone) -> null
            isUnreachableWhileOthersRespond(machine) -> DeletionCause.UNREACHABLE
            isLost(machine, silence) -> DeletionCause.SILENT
            else -> null
        }

    /**
     * Whether no request reaches the machine, even if its heartbeats arrive, so that its tasks end with its lease again
     * and again. Returns true only while more machines are reachable than unreachable; otherwise the outgoing
     * connections of this node are at fault.
     */
    private fun isUnreachableWhileOthersRespond(machine: Machine): Boolean =
        machine.reachability.isUnreachableFor(maxSilence, now) && contacts.reachableCount > contacts.unreachableCount

    private fun isLost(machine: Machine, silence: Duration): Boolean {
        val isDelisted = isDelisted(machine)
        val limit = if (isDelisted && machine.isListed) config.heartbeatInterval * MIN_SILENCE_INTERVALS else maxSilence
        if (silence <= limit) return false
        // After two leases of silence a machine is lost in any case. If most machines are really lost, the wait for
        // contact with the majority would otherwise never end.
        if (!contacts.isMajorityInContact() && silence <= config.lease * 2) return false
        return !mayUseOtherControllers(machine, silence, isDelisted) || areProbesUnanswered(machine)
    }

    /**
     * Whether the worker may be sending its heartbeats to other controllers. It may need most of its lease to find a
     * new leader, or a leader that was too slow to answer it, since each failed controller costs it a timeout. Until
     * then only unanswered probes show that the machine itself is lost.
     */
    private fun mayUseOtherControllers(machine: Machine, silence: Duration, isDelisted: Boolean): Boolean {
        val mayHaveSwitched = !machine.reachability.hadContact || overload.isOverloaded
        return mayHaveSwitched && silence <= config.lease && !isDelisted
    }

    /** Whether requests have been unanswered for longer than the interval between two probes. */
    private fun areProbesUnanswered(machine: Machine): Boolean {
        val since = machine.reachability.unreachableSince ?: return false
        return now - since >= probeInterval + SECOND_PROBE_MARGIN
    }

    /**
     * Whether the machine has been missing in the cloud's lists for longer than they lag. A new leader knows such a
     * machine only from a stored placement and has no address to probe it. The previous leader deleted the machine, or
     * it failed; without this check its work would wait for a whole lease.
     */
    private fun isDelisted(machine: Machine): Boolean {
        val since = machine.unlistedSince ?: return false
        return now - since > config.listLag * 2 + LIST_MARGIN
    }

    private val probeInterval: Duration get() = maxOf(MIN_PROBE_INTERVAL, config.heartbeatInterval)

    /**
     * Probes the machine if it is silent or unreachable. The leader thus contacts workers that have not found it yet,
     * and does not have to wait longest for the machines that are lost.
     */
    private fun probeIfSilent(machine: Machine, silence: Duration) {
        val reachability = machine.reachability
        val interval = config.heartbeatInterval
        val timeout = if (reachability.hadContact) interval * LATE_INTERVALS + LATE_MARGIN else interval
        val isDue = silence > timeout || reachability.isUnreachable
        if (isDue && machine.addr.isNotEmpty() && now >= machine.requests.nextProbeAt) probe(machine)
    }

    private fun probe(machine: Machine) {
        if (remainingProbes-- <= 0) return
        machine.requests.delayProbesUntil(now + probeInterval)
        context.addAction(Probe(machine.id, machine.addr, machine.position))
    }

    /**
     * Probes a few other machines while some machine is unreachable, to find out whether the fault is on the side of
     * that machine or of this node.
     */
    private fun probeForComparison() {
        if (contacts.unreachableCount == 0 || contacts.reachableCount > contacts.unreachableCount) return
        cluster.machines.values
            .filter { isFitForComparison(it) }
            .sortedBy { it.reachability.lastReachableAt ?: Duration.ZERO }
            .take(minOf(contacts.unreachableCount + 1, MAX_COMPARISON_PROBES))
            .forEach(::probe)
    }

    private fun isFitForComparison(machine: Machine): Boolean {
        val reachability = machine.reachability
        if (reachability.isUnreachable || !reachability.hadContact) return false
        return !machine.isDeleting && machine.addr.isNotEmpty() && now >= machine.requests.nextProbeAt
    }

    /** Stops the tasks on a machine with a preemption notice that can checkpoint or have not begun to run. */
    private fun stopBeforePreemption(machine: Machine) {
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
        val DEFAULT_BOOT_TIME = 60.seconds

        /** The largest number of machines that are probed for comparison. */
        const val MAX_COMPARISON_PROBES = 6
        const val MIN_PROBES = 4
        const val MACHINES_PER_PROBE = 100
        val MIN_PROBE_INTERVAL = 2.seconds

        /** Added to the interval between two probes, so that one slow reply does not make a machine look lost. */
        val SECOND_PROBE_MARGIN = 500.milliseconds

        /** A heartbeat is late after this many heartbeat intervals plus [LATE_MARGIN]. */
        const val LATE_INTERVALS = 1.6
        val LATE_MARGIN = 500.milliseconds

        /** A machine that the cloud no longer lists is declared lost after this many heartbeat intervals of silence. */
        const val MIN_SILENCE_INTERVALS = 2.5

        /** By how much the cloud's list may be late in addition to its usual lag. */
        val LIST_MARGIN = 2.seconds
    }
}
