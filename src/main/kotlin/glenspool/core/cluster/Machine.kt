package glenspool.core.cluster

import glenspool.core.DeletionCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** A start command whose outcome is unknown: it may still be executed while token and session match. */
data class UnconfirmedStart(val key: TaskKey, val attempt: Long, val token: Long, val incarnation: Long, val since: Duration)

/** What is known of one machine, and how. */
class Machine(val id: String, var type: String, var zone: String, var spot: Boolean, val firstSeen: Duration) {
    var addr: String = ""
    var incarnation = 0L
    var sequence = 0L

    /** The highest token that a report of this machine has shown. */
    var token = 0L

    /** When it was last heard of, by report or by an answer to a direct request. Null: never. */
    var lastHeardAt: Duration? = null
    var preemptionNotice: Duration? = null

    /** When its worker last sent a report by itself. Null: not in this term. */
    var lastHeartbeatAt: Duration? = null

    /** When it first answered a question or a command in this term. */
    var firstReplyAt: Duration? = null

    /** True once a report under the current leader's token has shown what is on the machine. */
    var trusted = false
    var listed = false
    var booting = true
    var unlistedSince: Duration? = null
    var failed = false

    /** Why a deletion was sent or is wanted; the machine is never used again. Null: it is not given up. */
    var deletionCause: DeletionCause? = null
    val isDeleting: Boolean get() = deletionCause != null
    var deletionSentAt: Duration? = null

    /** Gets no more short work, so that it becomes empty and can be returned. */
    var cordoned = false
    var idleSince: Duration? = null

    /**
     * A gang for which work was stopped here, or that was here: nothing of its rank or below takes the room before it
     * or that time.
     */
    var reservedFor: Job? = null
        private set
    private var reservedUntil: Duration = Duration.ZERO

    /** Longer than work takes to save and its end to be reported; renewed while the gang waits. */
    fun reserve(job: Job, now: Duration) {
        reservedFor = job
        reservedUntil = now + RESERVED
    }

    fun reservedAgainst(job: Job, now: Duration): Boolean {
        val owner = reservedFor ?: return false
        // Not while some of its last attempt is still leaving: then it needs the room as soon as all of that is gone.
        if (now >= reservedUntil || owner.waitingCount() == 0) {
            reservedFor = null
            return false
        }
        return owner !== job && job.effectivePriority <= owner.effectivePriority
    }

    var age: Duration = Duration.ZERO

    private val placed = LinkedHashMap<TaskKey, Placement>()
    private val orphanTasks = HashMap<TaskKey, Resources>()

    /** What the placements and orphans take; null after a change, since rounds ask far more often than it changes. */
    private var usedNow: Resources? = null
    private var servicesNow = 0
    val placements: Map<TaskKey, Placement> get() = placed
    val orphans: Map<TaskKey, Resources> get() = orphanTasks

    /** Since when tasks without a place have been here. */
    var orphanSince: Duration? = null
    var taskStatuses: List<TaskStatus> = emptyList()
    val unconfirmedStarts = ArrayList<UnconfirmedStart>()
    val pendingCommands = ArrayList<Command>()
    var requestInFlight = false

    /** When the last direct request was sent: it tells that request's starts from earlier ones. */
    var requestSentAt: Duration? = null
    var nextRequestAt: Duration = Duration.ZERO
    var nextProbeAt: Duration = Duration.ZERO

    /**
     * Since when direct requests have gone without an answer. Being heard is not being reachable: reports may
     * arrive from a machine that no answer and no command reaches. Only an answered request ends this.
     */
    var unreachableSince: Duration? = null

    /** When a direct request was last answered. */
    var lastReachedAt: Duration? = null

    fun markReachable(now: Duration) {
        lastReachedAt = now
        unreachableSince = null
    }

    fun markUnreachable(since: Duration) {
        if (unreachableSince == null) unreachableSince = since
    }

    /** Images that tasks were seen to have here, most recently used last. */
    private val images = LinkedHashMap<String, Double>()
    var consecutiveFailures = 0
    var quarantinedUntil: Duration? = null

    /** Relative speed as seen from tasks that completed; 1 is usual. */
    var slowness = 1.0

    /** Whether a start of this attempt may still arrive here. */
    fun mayStillStart(key: TaskKey, attempt: Long): Boolean = unconfirmedStarts.any { it.key == key && it.attempt == attempt }

    val wasHeard: Boolean get() = lastHeardAt != null

    fun place(p: Placement) {
        if (placed
                .put(p.key, p)
                ?.job
                ?.spec
                ?.kind == JobKind.SERVICE
        ) {
            servicesNow--
        }
        if (p.job.spec.kind == JobKind.SERVICE) servicesNow++
        usedNow = null
    }

    fun unplace(p: Placement) {
        if (placed[p.key] !== p) return
        placed.remove(p.key)
        if (p.job.spec.kind == JobKind.SERVICE) servicesNow--
        usedNow = null
    }

    /** True if the orphan was not known before. */
    fun addOrphan(k: TaskKey, a: Resources, now: Duration): Boolean {
        if (orphanSince == null) orphanSince = now
        usedNow = null
        return orphanTasks.put(k, a) == null
    }

    fun removeOrphan(k: TaskKey) {
        orphanTasks.remove(k)
        if (orphanTasks.isEmpty()) orphanSince = null
        usedNow = null
    }

    /** Replicas placed here. */
    val services: Int get() = servicesNow

    /** Summed anew after each change, so that rounding errors can't add up. */
    fun used(): Resources =
        usedNow ?: run {
            var sum = Resources.ZERO
            for (p in placed.values) sum += p.job.resourceRequest
            for (a in orphanTasks.values) sum += a
            sum.also { usedNow = it }
        }

    fun free(type: MachineType): Resources = type.capacity - used()

    fun newer(r: Heartbeat): Boolean = r.incarnation > incarnation || (r.incarnation == incarnation && r.sequence > sequence)

    fun cachedImages(): Map<String, Double> = images

    fun hasImage(image: String): Boolean = image in images

    /** Whether the image is here or being fetched by some task. */
    fun willHaveImage(image: String): Boolean = image in images || placed.values.any { it.job.spec.image == image }

    fun sawImage(image: String, gb: Double, cacheGb: Double) {
        images.remove(image)
        images[image] = gb
        var sum = images.values.sum()
        val it = images.entries.iterator()
        while (sum > cacheGb && it.hasNext()) {
            val e = it.next()
            if (e.key == image) break
            sum -= e.value
            it.remove()
        }
    }

    fun isReady(now: Duration, freshness: Duration): Boolean {
        val h = lastHeardAt ?: return false
        val bad = quarantinedUntil
        return trusted &&
            !isDeleting &&
            !failed &&
            preemptionNotice == null &&
            unreachableSince == null &&
            now - h <= freshness &&
            (bad == null || now >= bad)
    }

    fun busyTasks(): Int = placed.size + orphanTasks.size

    private companion object {
        val RESERVED = 10.seconds
    }
}

/** Whether a job may use a machine at all, whatever else runs. */
fun allowed(spec: JobSpec, m: Machine): Boolean = (spec.types == null || m.type in spec.types) && (spec.zone == null || spec.zone == m.zone) && (spec.spot || !m.spot)

/**
 * Whether one more task of the job may be in the zone, counting every task that is or may be somewhere.
 * Placements and orphans both count, since neither is proved gone.
 */
fun zoneAllows(job: Job, zone: String, zoneOf: (String) -> String?): Boolean {
    if (!job.spec.sameZone && !job.spec.spread) return true
    var inZone = 0
    for (p in job.placements.values) {
        val z = zoneOf(p.machine)
        if (job.spec.sameZone && z != zone) return false
        // A machine whose zone is not known yet could be anywhere: count it against every zone.
        if (z == null || z == zone) inZone++
    }
    for (machines in job.orphans.values) {
        for (id in machines) {
            val z = zoneOf(id)
            if (job.spec.sameZone && z != zone) return false
            if (z == null || z == zone) inZone++
        }
    }
    return inZone < job.spec.zoneCap
}
