package glenspool.core.cluster

import glenspool.core.DeletionCause
import glenspool.core.HeartbeatSource
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.Heartbeat
import glenspool.core.model.HeartbeatPosition
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A machine of the cluster as the leader knows it; its methods apply what the leader learns of it. */
class Machine(val id: String, type: String, zone: String, spot: Boolean, val firstSeen: Duration) {
    /** Its type's name; empty while only a stored placement names the machine. */
    var type: String = type
        private set

    /** Its zone; empty while only a stored placement names the machine. */
    var zone: String = zone
        private set
    var spot: Boolean = spot
        private set

    /** The address at which its worker accepts commands; empty while it is not known. */
    var addr: String = ""
        private set

    /** The incarnation and the sequence number of the newest heartbeat. */
    var incarnation = 0L
        private set
    private var sequence = 0L

    /** The highest fencing token that a heartbeat of this machine has shown. */
    var token = 0L
        private set

    /** The time remaining until its preemption as of the newest heartbeat; null if there is no preemption notice. */
    var preemptionNotice: Duration? = null
        private set

    /** The tasks of the newest heartbeat. */
    var taskStatuses: List<TaskStatus> = emptyList()
        private set

    /**
     * Whether the newest heartbeat had the current leader's token, so that no command of an earlier leader can change
     * what it shows.
     */
    var isTrusted = false
        private set

    /** Whether the cloud has ever listed it. */
    var isListed = false
        private set

    /** Since when it has been missing in the cloud's list. */
    var unlistedSince: Duration? = null
        private set

    /** The time since it was rented, according to the cloud's last list. */
    var age: Duration = Duration.ZERO
        private set
    var isBooting = true
        private set

    /** Whether the cloud listed it as failed, which means that it stopped without a request to delete it. */
    var hasFailed = false
        private set

    /** Why it is being deleted; null if it is not. A machine that is being deleted is never used again. */
    var deletionCause: DeletionCause? = null
        private set
    val isDeleting: Boolean get() = deletionCause != null

    /** Whether the cloud was requested to delete it and has not rejected the request. */
    var isDeletionSent = false
        private set

    /** Whether it gets no more short tasks, so that it becomes empty and can be returned. */
    var isCordoned = false

    /** Since when it has been without any task; maintained by the scale-in policy. */
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

    /** The position of the newest heartbeat. */
    val position: HeartbeatPosition get() = HeartbeatPosition(incarnation, sequence)

    /** Whether the heartbeat is newer than all earlier ones; a duplicate is not. */
    fun isNewer(heartbeat: Heartbeat): Boolean = heartbeat.position > position

    /** Marks it as booted, since a stored placement names it and it must therefore have been up once. */
    fun assumeBooted() {
        isBooting = false
    }

    /** Applies the machine's own properties from a newer heartbeat. */
    fun updateDescription(heartbeat: Heartbeat) {
        type = heartbeat.type
        zone = heartbeat.zone
        spot = heartbeat.spot
        addr = heartbeat.addr
        isBooting = false
    }

    /**
     * Applies the rest of a newer heartbeat. [leaderToken] is the token with which this leader currently sends,
     * [electionToken] the token of its election.
     *
     * Until the worker has seen this leader's token, it may still execute commands of an earlier leader. Its heartbeat
     * then shows which tasks are present, but not which ones will stay absent. A restarted worker has forgotten the
     * token, so the token of this heartbeat counts, not the highest one that the machine ever showed.
     */
    fun applyHeartbeat(
        heartbeat: Heartbeat,
        source: HeartbeatSource,
        leaderToken: Long,
        electionToken: Long,
        now: Duration,
    ) {
        requests.starts.dropRejected(heartbeat.token, heartbeat.incarnation)
        incarnation = heartbeat.incarnation
        sequence = heartbeat.sequence
        // The worker has learned a newer token, so a message of this leader has reached it.
        if (heartbeat.token > token && heartbeat.token >= leaderToken) reachability.recordReachable(now)
        token = maxOf(token, heartbeat.token)
        reachability.recordContact(source, now)
        preemptionNotice = heartbeat.preemptionNotice
        taskStatuses = heartbeat.tasks
        isTrusted = heartbeat.token >= electionToken
    }

    /** Applies the machine's entry in the cloud's list. */
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

    /** Records that the machine is missing in the cloud's list. */
    fun markUnlisted(now: Duration) {
        if (unlistedSince == null) unlistedSince = now
    }

    /** Marks the machine for deletion; this is final, and it is never used again. */
    fun markForDeletion(cause: DeletionCause) {
        deletionCause = cause
        requests.clearPending()
    }

    /** Records that the cloud is requested to delete it. */
    fun markDeletionSent() {
        isDeletionSent = true
    }

    /** Records that the cloud did not delete it; the request is sent again at [retryAt]. */
    fun retryDeletionAt(retryAt: Duration) {
        isDeletionSent = false
        requests.delayRequestsUntil(retryAt)
    }

    /**
     * Reserves its resources for a gang that ran here or for which work was stopped here, so that no job of the gang's
     * priority or below gets them first. The reservation lasts longer than stopped work takes to checkpoint and to be
     * reported as ended. It is renewed while the gang waits.
     */
    fun reserve(job: Job, now: Duration) {
        reservedFor = job
        reservedUntil = now + RESERVATION_TIME
    }

    /** Whether it is reserved for the job. */
    fun isReservedFor(job: Job): Boolean = reservedFor === job

    /** Whether the job must not use it, because it is reserved for another job. */
    fun isReservedAgainst(job: Job, now: Duration): Boolean {
        val owner = reservedFor ?: return false
        // The reservation ends if no task of the owner waits, such as while its last attempt is still leaving.
        if (now >= reservedUntil || owner.waitingTaskCount() == 0) {
            reservedFor = null
            return false
        }
        return owner !== job && job.effectivePriority <= owner.effectivePriority
    }

    /** Its free capacity. */
    fun available(type: MachineType): Resources = type.capacity - workload.usedResources()

    /** Whether the image is in its cache. */
    fun hasImage(image: String): Boolean = image in imageCache

    /** Whether the image is in its cache or is being fetched by a task. */
    fun willHaveImage(image: String): Boolean = hasImage(image) || placements.values.any { it.job.spec.image == image }

    /** Whether it is being deleted, has failed, or has a preemption notice. */
    val isLeaving: Boolean get() = isDeleting || hasFailed || preemptionNotice != null

    /** Whether it may get work. [freshness] is the longest allowed time since the last contact. */
    fun isReady(now: Duration, freshness: Duration): Boolean {
        if (!reachability.hadContactWithin(freshness, now) || reachability.isUnreachable) return false
        return isTrusted && !isLeaving && !health.isQuarantined(now)
    }

    private companion object {
        val RESERVATION_TIME = 10.seconds
    }
}
