package glenspool.core.cluster

import glenspool.core.DeletionCause
import glenspool.core.HeartbeatSource
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One machine of the cluster as the leader knows it. It changes by what is told of it, see the methods. */
class Machine(val id: String, type: String, zone: String, spot: Boolean, val firstSeen: Duration) {
    /** Its type's name; empty while only a stored placement names the machine. */
    var type: String = type
        private set

    /** Its zone; empty while only a stored placement names the machine. */
    var zone: String = zone
        private set
    var spot: Boolean = spot
        private set

    /** Where its worker takes commands; empty while that is not known. */
    var addr: String = ""
        private set

    /** The incarnation and the sequence number of the newest heartbeat. */
    var incarnation = 0L
        private set
    private var sequence = 0L

    /** The highest fencing token that a heartbeat of this machine has shown. */
    var token = 0L
        private set

    /** The time that was left until its preemption, as the newest heartbeat told; null: it is not preempted. */
    var preemptionNotice: Duration? = null
        private set

    /** The tasks of the newest heartbeat. */
    var taskStatuses: List<TaskStatus> = emptyList()
        private set

    /** Whether the newest heartbeat came under the current leader's token, so that it shows what will not change. */
    var isTrusted = false
        private set

    /** Whether the cloud has ever listed it. */
    var isListed = false
        private set

    /** Since when it has been missing in the cloud's list. */
    var unlistedSince: Duration? = null
        private set

    /** The time since it was rented, as the cloud last listed it. */
    var age: Duration = Duration.ZERO
        private set
    var isBooting = true
        private set

    /** Whether the cloud says that it stopped by itself. */
    var hasFailed = false
        private set

    /** Why it is given up; it is never used again. Null: it is not. */
    var deletionCause: DeletionCause? = null
        private set
    val isDeleting: Boolean get() = deletionCause != null

    /** Whether the cloud was asked to delete it, and has not refused. */
    var isDeletionSent = false
        private set

    /** Gets no more short work, so that it becomes empty and can be returned. */
    var isCordoned = false

    /** Since when it has been seen without any task; kept by the scale-in policy. */
    var idleSince: Duration? = null

    val reachability = Reachability()
    val workload = MachineWorkload()
    val requests = MachineRequests()
    val imageCache = ImageCache()
    val health = MachineHealth()

    val placements: Map<TaskKey, Placement> get() = workload.placements
    val orphans: Map<TaskKey, Resources> get() = workload.orphans

    private var reservedFor: Job? = null
    private var reservedUntil: Duration = Duration.ZERO

    /** Whether the heartbeat is newer than all that came before; a copy is not. */
    fun isNewer(heartbeat: Heartbeat): Boolean =
        heartbeat.incarnation > incarnation ||
            (heartbeat.incarnation == incarnation && heartbeat.sequence > sequence)

    /** A stored placement names it, so it must have been up once. */
    fun assumeBooted() {
        isBooting = false
    }

    /** Takes over what a newer heartbeat says of the machine itself. */
    fun updateDescription(heartbeat: Heartbeat) {
        type = heartbeat.type
        zone = heartbeat.zone
        spot = heartbeat.spot
        addr = heartbeat.addr
        isBooting = false
    }

    /**
     * Takes over the rest of a newer heartbeat. [leaderToken]: the token with which this leader sends now;
     * [electionToken]: the token of its election.
     *
     * Until the worker has seen this leader's token, commands of an earlier leader may still be carried out: such a
     * heartbeat shows what is there, but not what will not be. A worker that began anew has forgotten the token, so it
     * is this heartbeat's that counts, not the highest that the machine ever showed.
     */
    fun applyHeartbeat(
        heartbeat: Heartbeat,
        source: HeartbeatSource,
        leaderToken: Long,
        electionToken: Long,
        now: Duration,
    ) {
        val isNewIncarnation = heartbeat.incarnation > incarnation
        requests.dropInvalidStarts(heartbeat.token, heartbeat.incarnation, isNewIncarnation)
        incarnation = heartbeat.incarnation
        sequence = heartbeat.sequence
        // It has learnt a token since: something of ours has reached it.
        if (heartbeat.token > token && heartbeat.token >= leaderToken) reachability.recordReachable(now)
        token = maxOf(token, heartbeat.token)
        reachability.recordContact(source, now)
        preemptionNotice = heartbeat.preemptionNotice
        taskStatuses = heartbeat.tasks
        isTrusted = heartbeat.token >= electionToken
    }

    /** The cloud listed it. */
    fun applyListEntry(entry: ListedMachine) {
        if (type.isEmpty()) {
            type = entry.type
            zone = entry.zone
            spot = entry.spot
        }
        if (addr.isEmpty()) addr = entry.addr
        isListed = true
        unlistedSince = null
        age = entry.age
        if (!reachability.hadContact) isBooting = entry.stage == MachineStage.BOOTING
        if (entry.stage == MachineStage.FAILED) hasFailed = true
    }

    /** The cloud's list lacks it. */
    fun markUnlisted(now: Duration) {
        if (unlistedSince == null) unlistedSince = now
    }

    /** Gives the machine up for good: it is never used again. */
    fun markForDeletion(cause: DeletionCause) {
        deletionCause = cause
        requests.clearPending()
    }

    /** The cloud is asked to delete it. */
    fun markDeletionSent() {
        isDeletionSent = true
    }

    /** The cloud did not delete it; it is asked again at [retryAt]. */
    fun retryDeletionAt(retryAt: Duration) {
        isDeletionSent = false
        requests.delayRequestsUntil(retryAt)
    }

    /**
     * Keeps its resources for a gang for which work was stopped here, or that was here: nothing of the gang's priority
     * or below gets them before it. That lasts longer than work takes to checkpoint and its end to be reported; it is
     * renewed while the gang waits.
     */
    fun reserve(job: Job, now: Duration) {
        reservedFor = job
        reservedUntil = now + RESERVATION
    }

    /** Whether it is reserved for the job. */
    fun isReservedFor(job: Job): Boolean = reservedFor === job

    /** Whether the job must not use it, since another one's reservation stands. */
    fun isReservedAgainst(job: Job, now: Duration): Boolean {
        val owner = reservedFor ?: return false
        // While some of the owner's last attempt is still leaving, the reservation ends.
        if (now >= reservedUntil || owner.waitingCount() == 0) {
            reservedFor = null
            return false
        }
        return owner !== job && job.effectivePriority <= owner.effectivePriority
    }

    /** What is free of its capacity. */
    fun available(type: MachineType): Resources = type.capacity - workload.usedResources()

    /** Whether the image is in its cache. */
    fun hasImage(image: String): Boolean = image in imageCache

    /** Whether the image is here or being fetched by some task. */
    fun willHaveImage(image: String): Boolean = hasImage(image) || placements.values.any { it.job.spec.image == image }

    /** Whether it is given up, has failed, or will be taken back soon. */
    val isLeaving: Boolean get() = isDeleting || hasFailed || preemptionNotice != null

    /** Whether it may get work. */
    fun isReady(now: Duration, freshness: Duration): Boolean {
        if (!reachability.hadContactWithin(freshness, now) || reachability.isUnreachable) return false
        return isTrusted && !isLeaving && !health.isQuarantined(now)
    }

    private companion object {
        val RESERVATION = 10.seconds
    }
}

/** What a machine's tasks tell of its health. */
class MachineHealth {
    private var consecutiveFailures = 0
    private var quarantinedUntil: Duration? = null

    /** How long tasks run here, relative to other machines of the type; 1 is usual. */
    var slowness = 1.0
        private set

    /** Whether it gets no work for now. */
    fun isQuarantined(now: Duration): Boolean = quarantinedUntil.let { it != null && now < it }

    /** A task failed here; several in a row set the machine aside for a while. */
    fun taskFailed(now: Duration) {
        consecutiveFailures++
        if (consecutiveFailures >= FAILURES_TO_QUARANTINE) quarantinedUntil = now + QUARANTINE
    }

    /** A task completed; [relativeDuration]: its duration as a multiple of the usual one. */
    fun taskCompleted(relativeDuration: Double) {
        consecutiveFailures = 0
        slowness = slowness * OLD_WEIGHT + relativeDuration.coerceAtMost(MAX_SLOWNESS) * NEW_WEIGHT
    }

    private companion object {
        const val FAILURES_TO_QUARANTINE = 3
        val QUARANTINE = 60.seconds
        const val MAX_SLOWNESS = 5.0

        /** Weights of the moving average. */
        const val OLD_WEIGHT = 0.6
        const val NEW_WEIGHT = 0.4
    }
}

/** Whether a job may use a machine at all, whatever else runs. */
fun isAllowed(spec: JobSpec, machine: Machine): Boolean =
    (spec.types == null || machine.type in spec.types) &&
        (spec.zone == null || spec.zone == machine.zone) &&
        (spec.spot || !machine.spot)

/**
 * Whether one more task of the job may be in the zone, counting every task that is or may be somewhere. Placements and
 * orphans both count, since neither is proved gone. [zoneOf]: the zone of a machine, null if it is not known.
 */
fun isZoneAllowed(job: Job, zone: String, zoneOf: (String) -> String?): Boolean {
    if (!job.spec.sameZone && !job.spec.spread) return true
    var inZone = 0

    /** Counts a task's machine; false if the job's tasks must not be here because of it. */
    fun admits(machine: String): Boolean {
        val taskZone = zoneOf(machine)
        if (job.spec.sameZone && taskZone != zone) return false
        // A machine whose zone is not known yet could be anywhere: it counts against every zone.
        if (taskZone == null || taskZone == zone) inZone++
        return true
    }
    for (placement in job.placements.values) if (!admits(placement.machine)) return false
    for (machines in job.orphans.values) {
        for (machine in machines) if (!admits(machine)) return false
    }
    return inZone < job.spec.maxTasksPerZone
}
