package glenspool.core.placement

import glenspool.core.SchedulingContext
import glenspool.core.WorkCounters
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.Machine
import glenspool.core.cluster.TypePerformance
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.JobSupervisor
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.RecordSplitting
import glenspool.core.model.MachineType
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs placement rounds when the state has changed or the round period is over, and creates their placements. */
class PlacementScheduler(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val splitting: RecordSplitting,
    private val deadlines: DeadlinePolicy,
    private val performance: TypePerformance,
    private val preemptor: Preemptor,
    private val supervisor: JobSupervisor,
) : PlacementView {
    private val config get() = context.config
    private val now: Duration get() = context.now
    private var lastRoundAt = context.startedAt - INITIAL_ROUND_AGE

    override val types: Map<String, MachineType> get() = cluster.types
    override val mostCommonType: MachineType? get() = cluster.mostCommonType
    override val resourceFactor: Double get() = config.tuning.resourceFactor
    override val workCounters: WorkCounters get() = context.workCounters

    /** The shortest time between rounds. It grows with the fleet, as does the time for matching machines and tasks. */
    private val minRoundInterval: Duration
        get() = maxOf(MIN_ROUND_INTERVAL, ROUND_INTERVAL_PER_MACHINE * cluster.machines.size)

    /** Runs a round if one is due, and returns whether it was run. */
    fun runIfDue(): Boolean {
        val sinceLast = now - lastRoundAt
        val isDue = context.isRoundRequested && sinceLast >= minRoundInterval || sinceLast >= config.tuning.roundPeriod
        if (!isDue) return false
        lastRoundAt = now
        context.beginRound()
        workCounters.placementRounds++
        if (types.isEmpty()) return false
        runRound()
        return true
    }

    private fun runRound() {
        val waiting = cluster.jobs.values.filter { mayBePlaced(it) }
        if (waiting.isEmpty()) return
        val ready = cluster.machines.values.filter { isReadyForNewWork(it) }
        if (ready.isEmpty()) return
        preemptor.freeMachinesWithImage(waiting, ready)
        val jobs = waiting.filterNot { preemptor.isWaitingForImage(it, ready) }
        PlacementRound(this, ready, jobs).run { now - it.knownSince > config.tuning.gangWaitBound }
        preemptor.preempt(ready)
    }

    private fun mayBePlaced(job: Job): Boolean {
        if (job.waitingTaskCount() <= 0 || job.retryAfter.let { it != null && now < it }) return false
        return job.hasWaitingTask()
    }

    /**
     * Whether tasks may be placed on the machine, see also
     * [glenspool.core.SchedulerHooks.newWorkRequiresWorkerHeartbeat].
     */
    private fun isReadyForNewWork(machine: Machine): Boolean {
        val freshness = config.heartbeatFreshness
        if (!machine.isReady(now, freshness) || machine.type !in types) return false
        val needsOwnHeartbeat = context.hooks.newWorkRequiresWorkerHeartbeat
        return !needsOwnHeartbeat || machine.reachability.sentHeartbeatWithin(freshness, now)
    }

    override fun zoneOf(machine: String): String? = cluster.zoneOf(machine)

    override fun remainingQuota(job: Job): Int = cluster.quotas.remaining(job)

    override fun isWithinGuarantee(job: Job): Boolean = cluster.quotas.isWithinGuarantee(job)

    override fun requiresCachedImage(job: Job): Boolean = deadlines.requiresCachedImage(job)

    override fun fastestType(jobClass: String): String? = performance.fastestType(jobClass)

    override fun place(job: Job, task: Int, machine: Machine, attempt: Long?) {
        val placement = Placement(job, task, attempt ?: job.newAttempt(), machine.id, now)
        job.addUrgentChange()
        cluster.addPlacement(placement, machine, splitting.isAllowed)
        context.log {
            "place task=$placement class=${job.spec.jobClass} machine=${machine.id} " +
                "cached=${machine.hasImage(job.spec.image)} waited=${now - job.knownSince}"
        }
    }

    override fun newGangAttempt(gang: Job): Long {
        gang.gangStarted = false
        return gang.newAttempt().also { gang.gangAttempt = it }
    }

    override fun gangPlaced(gang: Job) = supervisor.deferTasksWithImage(gang)

    override fun latestStart(job: Job): Duration = deadlines.latestStart(job)

    override fun recordCapacity(job: Job): Int = splitting.remainingCapacity(job)

    override fun isAvoided(job: Job, machine: Machine): Boolean =
        hasReasonToAvoid(job, machine) || machine.isReservedAgainst(job, now)

    override fun costPenalty(job: Job, machine: Machine): Int = if (job.spec.spot && !machine.spot) 1 else 0

    private companion object {
        val MIN_ROUND_INTERVAL = 30.milliseconds
        val ROUND_INTERVAL_PER_MACHINE = 200.microseconds

        /** The age of a fictitious last round at the start, so that the first round is due immediately. */
        val INITIAL_ROUND_AGE = 1000.seconds
    }
}

/** A job that failed on this many machines avoids none of them any more, because the fault lies with the job itself. */
private const val MAX_AVOIDED_MACHINES = 4

/**
 * Whether the job avoids the machine, because it failed there or because a start of one of its tasks is
 * unanswered there. In the second case, another attempt on this machine would only collide with the late one.
 */
internal fun hasReasonToAvoid(job: Job, machine: Machine): Boolean {
    val hasFailedThere = machine.id in job.machinesWithFailures && job.machinesWithFailures.size < MAX_AVOIDED_MACHINES
    return hasFailedThere || machine.requests.starts.hasUnanswered(job.spec.id)
}
