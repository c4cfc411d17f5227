package glenspool.core.placement

import glenspool.core.SchedulingContext
import glenspool.core.StopCause
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.CommandQueue
import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.cluster.isZoneAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Preemption: lower work is stopped for waiting jobs of higher priority. Gangs are never stopped for others. */
class Preemptor(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val deadlines: DeadlinePolicy,
) {
    private val now: Duration get() = context.now

    /** What jobs of one call were promised of each machine, so that resources that are being freed count once. */
    private class Claims {
        private val claimed = HashMap<Machine, Resources>()

        val isEmpty: Boolean get() = claimed.isEmpty()

        fun on(machine: Machine): Resources = claimed[machine] ?: Resources.ZERO

        fun add(machine: Machine, resources: Resources) {
            claimed[machine] = on(machine) + resources
        }
    }

    private class Candidate(val machine: Machine, val cost: Duration)

    /**
     * Urgent work whose image is cached only where lower work fills the machine: that work is stopped at once, and the
     * job waits the moment that takes, since a fetch elsewhere would take far longer.
     */
    fun freeMachinesWithImage(waiting: List<Job>, ready: List<Machine>) {
        for (job in waiting) {
            if (mayWaitForImage(job)) freeMachinesWithImage(job, ready)
        }
    }

    private fun mayWaitForImage(job: Job): Boolean {
        if (job.effectivePriority < Priority.URGENT || job.resourcesExpectedBy != null) return false
        return !isLeaving(job) && deadlines.fetchTime(job) >= patienceOf(job) * 2
    }

    private fun patienceOf(job: Job): Duration {
        val isCritical = job.effectivePriority == Priority.CRITICAL
        return if (isCritical) PATIENCE else PATIENCE_WITH_CHECKPOINT
    }

    private fun freeMachinesWithImage(job: Job, ready: List<Machine>) {
        val wanted = minOf(job.waitingCount(), cluster.quotas.remaining(job))
        if (wanted <= 0 || job.isGang && wanted < job.waitingCount()) return
        val usable = ready.filter { it.hasImage(job.spec.image) && isUsable(job, it) }
        if (countAvailable(job, usable) >= minimumAtOnce(job)) return
        if (job.isGang && !mayHoldWhole(job, usable, wanted)) return
        if (stopOn(usable, job, wanted)) job.resourcesExpectedBy = now + patienceOf(job)
    }

    /** Frees resources for [wanted] tasks, on machines with few of the job's tasks first. Whether any were freed. */
    private fun stopOn(machines: List<Machine>, job: Job, wanted: Int): Boolean {
        val claims = Claims()
        var left = wanted
        for (machine in machines.sortedBy { candidate -> candidate.placements.values.count { it.job === job } }) {
            if (left <= 0) break
            val freed = freeOn(machine, job, claims, if (job.isGang) left else 1)
            left -= freed
            // Or the next round would give the resources to the very work that was stopped.
            if (job.isGang && freed > 0) machine.reserve(job, now)
        }
        return !claims.isEmpty
    }

    private fun mayHoldWhole(gang: Job, machines: List<Machine>, tasks: Int): Boolean {
        if (gang.spec.sameZone && machines.distinctBy { it.zone }.size > 1) return false
        return machines.sumOf { countIfPreempted(it, gang) } >= tasks
    }

    private val Job.isGang: Boolean get() = spec.kind == JobKind.GANG

    /** Some of the gang's last attempt is still on its machines: until all of it is gone no resources are of use. */
    private fun isLeaving(job: Job) = job.isGang && job.placements.isNotEmpty()

    private fun minimumAtOnce(job: Job) = if (job.isGang) job.waitingCount() else 1

    /** How many tasks of the job the machines have free resources for. */
    private fun countAvailable(job: Job, machines: List<Machine>): Int =
        machines.sumOf { machine ->
            availableOn(machine)?.let { job.resourceRequest.countIn(it) }
                ?: 0
        }

    private fun availableOn(machine: Machine): Resources? = cluster.typeOf(machine)?.let { machine.available(it) }

    /** The same if lower work was stopped. */
    private fun countIfPreempted(machine: Machine, job: Job): Int {
        var available = availableOn(machine) ?: return 0
        for (placement in machine.placements.values) {
            val isLeaving = placement.stopCause != null
            if (isLeaving || mayBePreempted(placement, job)) available += placement.job.resourceRequest
        }
        return job.resourceRequest.countIn(available)
    }

    private fun mayBePreempted(placement: Placement, by: Job): Boolean {
        if (placement.stopCause != null || placement.stage != PlacementStage.OBSERVED) return false
        return placement.job.effectivePriority < by.effectivePriority && !placement.job.isGang
    }

    /** Whether resources are being freed for the job on machines with its image, so that it must not go elsewhere. */
    fun isWaitingForImage(job: Job, ready: List<Machine>): Boolean {
        val until = job.resourcesExpectedBy ?: return false
        if (now >= until) return false
        val usable = ready.filter { it.hasImage(job.spec.image) && isUsable(job, it) }
        return countAvailable(job, usable) < minimumAtOnce(job)
    }

    /** Stops lower work where a waiting job of higher priority needs its resources, least lost work first. */
    fun preempt(ready: List<Machine>) {
        val waiting =
            cluster.jobs.values
                .filter { mayPreempt(it) }
                .sortedWith(byPriority)
        if (waiting.isEmpty()) return
        val candidates = ready.filter { isWorthLooking(it, waiting) }
        val claims = Claims()
        for (job in waiting) preemptFor(job, candidates, claims)
    }

    private fun mayPreempt(job: Job): Boolean {
        if (job.isCancelled || job.effectivePriority < Priority.URGENT || isLeaving(job)) return false
        return job.hasWaitingTask() && job.retryAfter.let { it == null || now >= it }
    }

    /** Something could be stopped, or is being stopped, or is free: most of a large fleet drops out here. */
    private fun isWorthLooking(machine: Machine, waiting: List<Job>): Boolean {
        val top = waiting.first().effectivePriority
        val available = availableOn(machine)
        val mayBecomeFree = machine.placements.values.any { it.stopCause != null || it.job.effectivePriority < top }
        return mayBecomeFree || available != null && waiting.any { it.resourceRequest.fitsIn(available) }
    }

    private fun preemptFor(job: Job, candidates: List<Machine>, claims: Claims) {
        val quota = cluster.quotas.remaining(job)
        if (job.isGang && quota < job.waitingCount()) return
        var left = minOf(job.waitingCount(), quota)
        val usable = candidates.filter { isUsable(job, it) }
        val (withImage, withoutImage) = usable.partition { it.hasImage(job.spec.image) }
        val ordered = withImage + withoutImage
        val machines = if (job.isGang) machinesForGang(job, ordered, left) ?: return else ordered
        for (machine in machines) {
            if (left <= 0) break
            val freed = freeOn(machine, job, claims, left)
            left -= freed
            if (job.isGang && freed > 0) machine.reserve(job, now)
        }
    }

    /** Null: the gang would not be whole even if all lower work was stopped, so none is stopped for it. */
    private fun machinesForGang(gang: Job, usable: List<Machine>, tasks: Int): List<Machine>? {
        val zones = if (gang.spec.sameZone) usable.groupBy { it.zone }.values else listOf(usable)
        val best = zones.maxByOrNull { zone -> zone.sumOf { countIfPreempted(it, gang) } } ?: return null
        if (best.sumOf { countIfPreempted(it, gang) } < tasks) return null
        // What was stopped for it before comes first, so that no more is stopped than it needs; then where least is
        // lost.
        return best
            .map { Candidate(it, if (it.isReservedFor(gang)) Duration.ZERO else costOf(it, gang)) }
            .sortedBy { it.cost }
            .map { it.machine }
    }

    /** Machine time that is lost if the gang has the machine: its own fetch, and the work that makes way. */
    private fun costOf(machine: Machine, gang: Job): Duration {
        val fetch = if (machine.hasImage(gang.spec.image)) Duration.ZERO else deadlines.fetchTime(gang)
        val preempted = machine.placements.values.filter { mayBePreempted(it, gang) }
        if (preempted.isEmpty()) return fetch
        val lost = preempted.fold(Duration.ZERO) { sum, placement -> sum + lostWork(placement) }
        return fetch + lost / preempted.size
    }

    private fun lostWork(placement: Placement): Duration =
        placement.job
            .lostWork(placement, now, deadlines.fetchTime(placement.job))

    private fun isUsable(job: Job, machine: Machine): Boolean {
        if (!isAllowed(job.spec, machine) || hasReasonToAvoid(job, machine)) return false
        return !machine.isReservedAgainst(job, now) && isZoneAllowed(job, machine.zone, cluster::zoneOf)
    }

    /** Frees resources for up to [wanted] tasks on the machine; how many will have them, with what is free now. */
    private fun freeOn(machine: Machine, job: Job, claims: Claims, wanted: Int): Int {
        var available = (availableOn(machine) ?: return 0) - claims.on(machine)
        for (placement in machine.placements.values) {
            if (placement.isLeavingForOthers) available += placement.job.resourceRequest
        }
        val victims = ArrayDeque(victimsOn(machine, job))
        var count = 0
        while (count < wanted) {
            val chosen = chooseVictims(job, available, victims) ?: return count
            chosen.forEach { stop(it, job) }
            for (victim in chosen) available += victim.job.resourceRequest
            available -= job.resourceRequest
            claims.add(machine, job.resourceRequest)
            count++
        }
        return count
    }

    /** What a broken gang leaves is needed by its next attempt. */
    private val Placement.isLeavingForOthers: Boolean
        get() = stopCause != null && stopCause != StopCause.GANG_BROKEN

    /** Lowest priority first, then what may start latest, then what loses least. */
    private fun victimsOn(machine: Machine, job: Job): List<Placement> =
        machine.placements.values
            .filter { mayBePreempted(it, job) }
            .sortedWith(
                compareBy<Placement> { it.job.effectivePriority }
                    .thenByDescending { deadlines.latestStart(it.job) }
                    .thenBy { lostWork(it) },
            )

    /** Takes as many of [victims] as the job needs beside what is [available]; null: all together are not enough. */
    private fun chooseVictims(job: Job, available: Resources, victims: ArrayDeque<Placement>): List<Placement>? {
        val chosen = ArrayList<Placement>()
        var resources = available
        while (!job.resourceRequest.fitsIn(resources)) {
            val victim = victims.removeFirstOrNull() ?: return null
            chosen.add(victim)
            resources += victim.job.resourceRequest
        }
        return chosen
    }

    private fun stop(victim: Placement, by: Job) {
        val isCritical = by.effectivePriority == Priority.CRITICAL
        val grace = if (isCritical) Duration.ZERO else victim.job.checkpointGrace
        commands.stop(victim, StopCause.PREEMPTED, grace)
    }

    private companion object {
        val byPriority: Comparator<Job> = compareByDescending<Job> { it.effectivePriority }.thenBy { it.waitingSince }

        /** How long a service waits for a machine with its image; a stopped task's exit is reported in far less. */
        val PATIENCE = 600.milliseconds

        /** The same where the lower work writes a checkpoint first. */
        val PATIENCE_WITH_CHECKPOINT = 7.seconds
    }
}
