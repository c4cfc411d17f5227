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

/** Stops lower-priority work for waiting jobs of higher priority. Gangs are never preempted. */
class Preemptor(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val deadlines: DeadlinePolicy,
) {
    private val now: Duration get() = context.now

    /** Resources of each machine that jobs claimed in one call, so that resources that are being freed count once. */
    private class Claims {
        private val claimed = HashMap<Machine, Resources>()

        val isEmpty: Boolean get() = claimed.isEmpty()

        fun on(machine: Machine): Resources = claimed[machine] ?: Resources.ZERO

        fun add(machine: Machine, resources: Resources) {
            claimed[machine] = on(machine) + resources
        }
    }

    private class Candidate(val machine: Machine, val lostTime: Duration)

    /**
     * Preempts work for urgent jobs whose image is cached only on machines that are full of lower-priority work. That
     * work is stopped immediately, and the job waits until the resources are free, because fetching the image on
     * another machine would take much longer.
     */
    fun freeMachinesWithImage(waiting: List<Job>, ready: List<Machine>) {
        for (job in waiting) {
            if (mayWaitForImage(job)) freeMachinesWithImage(job, ready)
        }
    }

    private fun mayWaitForImage(job: Job): Boolean {
        if (job.effectivePriority < Priority.URGENT || job.resourcesExpectedBy != null) return false
        return !hasTasksOfLastAttempt(job) && deadlines.fetchTime(job) >= imageWaitTimeout(job) * 2
    }

    private fun imageWaitTimeout(job: Job): Duration {
        val isCritical = job.effectivePriority == Priority.CRITICAL
        return if (isCritical) IMAGE_WAIT_TIMEOUT else IMAGE_WAIT_TIMEOUT_WITH_CHECKPOINT
    }

    private fun freeMachinesWithImage(job: Job, ready: List<Machine>) {
        val wanted = minOf(job.waitingTaskCount(), cluster.quotas.remaining(job))
        if (wanted <= 0 || job.isGang && wanted < job.waitingTaskCount()) return
        val usable = ready.filter { it.hasImage(job.spec.image) && isUsable(job, it) }
        if (countAvailable(job, usable) >= minTasksToPlace(job)) return
        if (job.isGang && !canHoldGang(job, usable, wanted)) return
        if (preemptOn(usable, job, wanted)) job.resourcesExpectedBy = now + imageWaitTimeout(job)
    }

    /**
     * Frees resources for [wanted] tasks, on machines with few of the job's tasks first. Returns whether resources were
     * freed for any task.
     */
    private fun preemptOn(machines: List<Machine>, job: Job, wanted: Int): Boolean {
        val claims = Claims()
        var remaining = wanted
        for (machine in machines.sortedBy { candidate -> candidate.placements.values.count { it.job === job } }) {
            if (remaining <= 0) break
            val freed = freeResourcesOn(machine, job, claims, if (job.isGang) remaining else 1)
            remaining -= freed
            // Without the reservation, the next round would give the resources to the same work that was stopped.
            if (job.isGang && freed > 0) machine.reserve(job, now)
        }
        return !claims.isEmpty
    }

    private fun canHoldGang(gang: Job, machines: List<Machine>, tasks: Int): Boolean {
        if (gang.spec.sameZone && machines.distinctBy { it.zone }.size > 1) return false
        return machines.sumOf { countAfterPreemption(it, gang) } >= tasks
    }

    private val Job.isGang: Boolean get() = spec.kind == JobKind.GANG

    /**
     * Whether tasks of the gang's last attempt are still on their machines. Until all of them are gone, the gang cannot
     * use any resources.
     */
    private fun hasTasksOfLastAttempt(job: Job) = job.isGang && job.placements.isNotEmpty()

    private fun minTasksToPlace(job: Job) = if (job.isGang) job.waitingTaskCount() else 1

    /** How many tasks of the job the machines have free resources for. */
    private fun countAvailable(job: Job, machines: List<Machine>): Int =
        machines.sumOf { machine ->
            availableOn(machine)?.let { job.resourceRequest.countIn(it) }
                ?: 0
        }

    private fun availableOn(machine: Machine): Resources? = cluster.typeOf(machine)?.let { machine.available(it) }

    /** How many tasks of the job the machine would have resources for if all lower-priority work were preempted. */
    private fun countAfterPreemption(machine: Machine, job: Job): Int {
        var available = availableOn(machine) ?: return 0
        for (placement in machine.placements.values) {
            val isStopping = placement.stopCause != null
            if (isStopping || mayBePreempted(placement, job)) available += placement.job.resourceRequest
        }
        return job.resourceRequest.countIn(available)
    }

    private fun mayBePreempted(placement: Placement, by: Job): Boolean {
        if (placement.stopCause != null || placement.stage != PlacementStage.OBSERVED) return false
        return placement.job.effectivePriority < by.effectivePriority && !placement.job.isGang
    }

    /**
     * Whether resources are being freed for the job on machines with its image, so that it must not be placed on other
     * machines.
     */
    fun isWaitingForImage(job: Job, ready: List<Machine>): Boolean {
        val until = job.resourcesExpectedBy ?: return false
        if (now >= until) return false
        val usable = ready.filter { it.hasImage(job.spec.image) && isUsable(job, it) }
        return countAvailable(job, usable) < minTasksToPlace(job)
    }

    /** Stops lower-priority work whose resources waiting jobs need, starting with the work that loses least. */
    fun preempt(ready: List<Machine>) {
        val waiting =
            cluster.jobs.values
                .filter { mayPreempt(it) }
                .sortedWith(byPriority)
        if (waiting.isEmpty()) return
        val candidates = ready.filter { mayProvideResources(it, waiting) }
        val claims = Claims()
        for (job in waiting) preemptFor(job, candidates, claims)
    }

    private fun mayPreempt(job: Job): Boolean {
        if (job.isCancelled || job.effectivePriority < Priority.URGENT || hasTasksOfLastAttempt(job)) return false
        return job.hasWaitingTask() && job.retryAfter.let { it == null || now >= it }
    }

    /**
     * Whether the machine has tasks that could be stopped or are being stopped, or enough free resources. This excludes
     * most machines of a large fleet.
     */
    private fun mayProvideResources(machine: Machine, waiting: List<Job>): Boolean {
        val highestPriority = waiting.first().effectivePriority
        val available = availableOn(machine)
        val mayBecomeFree =
            machine.placements.values.any { it.stopCause != null || it.job.effectivePriority < highestPriority }
        return mayBecomeFree || available != null && waiting.any { it.resourceRequest.fitsIn(available) }
    }

    private fun preemptFor(job: Job, candidates: List<Machine>, claims: Claims) {
        val quota = cluster.quotas.remaining(job)
        if (job.isGang && quota < job.waitingTaskCount()) return
        var remaining = minOf(job.waitingTaskCount(), quota)
        val usable = candidates.filter { isUsable(job, it) }
        val (withImage, withoutImage) = usable.partition { it.hasImage(job.spec.image) }
        val ordered = withImage + withoutImage
        val machines = if (job.isGang) machinesForGang(job, ordered, remaining) ?: return else ordered
        for (machine in machines) {
            if (remaining <= 0) break
            val freed = freeResourcesOn(machine, job, claims, remaining)
            remaining -= freed
            if (job.isGang && freed > 0) machine.reserve(job, now)
        }
    }

    /**
     * Returns the machines on which to free resources for the gang, or null if the gang could not be placed completely
     * even if all lower-priority work were preempted; in that case none is preempted for it.
     */
    private fun machinesForGang(gang: Job, usable: List<Machine>, tasks: Int): List<Machine>? {
        val zones = if (gang.spec.sameZone) usable.groupBy { it.zone }.values else listOf(usable)
        val best = zones.maxByOrNull { zone -> zone.sumOf { countAfterPreemption(it, gang) } } ?: return null
        if (best.sumOf { countAfterPreemption(it, gang) } < tasks) return null
        // Machines where work was already stopped for the gang come first, so that no more is stopped than it needs.
        // The others follow in the order of lost machine time, least first.
        return best
            .map { Candidate(it, if (it.isReservedFor(gang)) Duration.ZERO else lostMachineTime(it, gang)) }
            .sortedBy { it.lostTime }
            .map { it.machine }
    }

    /** The machine time lost if the gang uses the machine: the gang's image fetch and the mean lost work per victim. */
    private fun lostMachineTime(machine: Machine, gang: Job): Duration {
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

    /**
     * Frees resources for up to [wanted] tasks on the machine. Returns the number of tasks that will have resources,
     * including those for which resources are free now.
     */
    private fun freeResourcesOn(machine: Machine, job: Job, claims: Claims, wanted: Int): Int {
        var available = (availableOn(machine) ?: return 0) - claims.on(machine)
        for (placement in machine.placements.values) {
            if (placement.freesResourcesForOthers) available += placement.job.resourceRequest
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

    /**
     * Whether the task is being stopped and its resources may be used by other jobs. The resources of a broken gang are
     * needed by its next attempt.
     */
    private val Placement.freesResourcesForOthers: Boolean
        get() = stopCause != null && stopCause != StopCause.GANG_BROKEN

    /**
     * Returns the tasks that may be preempted for the job: lowest priority first, then those that may start latest,
     * then those that lose the least work.
     */
    private fun victimsOn(machine: Machine, job: Job): List<Placement> =
        machine.placements.values
            .filter { mayBePreempted(it, job) }
            .sortedWith(
                compareBy<Placement> { it.job.effectivePriority }
                    .thenByDescending { deadlines.latestStart(it.job) }
                    .thenBy { lostWork(it) },
            )

    /**
     * Removes from [victims] as many tasks as the job needs in addition to the [available] resources. Returns null if
     * all of them together are not enough.
     */
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

        /**
         * How long a critical job waits for a machine with its image. Exits of stopped tasks are reported far earlier.
         */
        val IMAGE_WAIT_TIMEOUT = 600.milliseconds

        /** How long an urgent job waits, for which the preempted work writes a checkpoint before it exits. */
        val IMAGE_WAIT_TIMEOUT_WITH_CHECKPOINT = 7.seconds
    }
}
