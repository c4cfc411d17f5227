package glenspool.core.cluster

import glenspool.core.MissingTaskPolicy
import glenspool.core.OverloadMonitor
import glenspool.core.SchedulingContext
import glenspool.core.StartCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.StartTask
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Handles placements whose tasks are proved to be off their machines: the task is restored there, or the placement is
 * removed.
 */
class MissingTaskHandler(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val overload: OverloadMonitor,
) {
    private val now: Duration get() = context.now
    private val freshness: Duration get() = context.config.heartbeatFreshness

    /** Handles a task that is missing on its machine for an unknown reason. */
    fun handle(placement: Placement, machine: Machine) {
        val obstacle = obstacleToRestore(placement, machine)
        val decision = decide(obstacle, placement, machine)
        val isRepeated = decision == Decision.WAIT && placement.awaitsMachineSince != null
        if (!isRepeated) logDecision(decision, obstacle, placement, machine)
        when (decision) {
            Decision.WAIT -> placement.awaitMachine(now)
            Decision.RESTORE -> restore(placement, machine)
            Decision.REPLACE -> attemptEnded(placement, machine, null)
        }
    }

    /** What happens to a missing task. */
    private enum class Decision(val label: String) {
        RESTORE("restored"),
        WAIT("waiting"),
        REPLACE("placed-anew"),
    }

    /** Why a task can't be started again on its machine at the moment. */
    private enum class Obstacle(val label: String) {
        UNWANTED("unwanted"),
        GANG("gang"),
        FAILED_HERE("failed-here"),
        CORDONED("cordoned"),

        /** The machine is about to be removed, or gets no work because tasks failed on it. */
        UNFIT("unfit"),

        /** The machine answers requests, but no heartbeat that its worker sent by itself has arrived lately. */
        NO_WORKER_HEARTBEAT("no-worker-heartbeat"),

        /** Heartbeats of the worker arrive, but requests to it are unanswered. */
        UNREACHABLE("unreachable"),
    }

    private fun decide(obstacle: Obstacle?, placement: Placement, machine: Machine): Decision {
        val policy = context.hooks.missingTaskPolicy()
        return when {
            policy == MissingTaskPolicy.RESCHEDULE -> Decision.REPLACE
            obstacle == null -> Decision.RESTORE
            policy == MissingTaskPolicy.RESTORE_AND_WAIT && isTemporary(obstacle, machine, placement.job) ->
                Decision.WAIT
            else -> Decision.REPLACE
        }
    }

    /** Whether the obstacle is expected to end soon. The wait is bounded, and shorter for critical work. */
    private fun isTemporary(obstacle: Obstacle, machine: Machine, job: Job): Boolean {
        // Heartbeats may be waiting in this process.
        val span = context.config.firstHeartbeatWait(job.effectivePriority) + overload.backlog
        return when (obstacle) {
            Obstacle.NO_WORKER_HEARTBEAT -> machine.reachability.awaitsHeartbeat(span, now)
            Obstacle.UNREACHABLE -> !machine.reachability.isUnreachableFor(span, now)
            else -> false
        }
    }

    /**
     * Returns why the task may not be started again on its machine, or null if it may. The placement is stored and
     * occupies resources, quota and zone, so nothing else is needed. This excludes gangs, whose tasks find each other
     * by their attempt, and machines that are about to be removed or on which the job failed.
     */
    private fun obstacleToRestore(placement: Placement, machine: Machine): Obstacle? {
        val job = placement.job
        val isWanted = job.isLive && !job.done[placement.task] && placement.stopCause == null
        return when {
            !isWanted -> Obstacle.UNWANTED
            job.spec.kind == JobKind.GANG -> Obstacle.GANG
            machine.id in job.machinesWithFailures -> Obstacle.FAILED_HERE
            machine.isCordoned -> Obstacle.CORDONED
            machine.isLeaving || machine.health.isQuarantined(now) -> Obstacle.UNFIT
            // Whichever message shows that the task is missing, heartbeats that the worker itself sends must arrive;
            // otherwise a task that is started there ends with the worker's lease.
            !machine.reachability.sentHeartbeatWithin(freshness, now) -> Obstacle.NO_WORKER_HEARTBEAT
            !machine.isReady(now, freshness) -> Obstacle.UNREACHABLE
            else -> null
        }
    }

    private fun logDecision(decision: Decision, obstacle: Obstacle?, placement: Placement, machine: Machine) {
        val isRecoveryInProgress = context.hooks.missingTaskPolicy() != MissingTaskPolicy.RESCHEDULE
        context.log(isImportant = isRecoveryInProgress && decision == Decision.REPLACE) {
            val reachability = machine.reachability
            "missing-task task=$placement class=${placement.job.spec.jobClass} machine=${machine.id} " +
                "decision=${decision.label} obstacle=${obstacle?.label} " +
                "waited=${since(placement.awaitsMachineSince)} " +
                "heartbeat-age=${since(reachability.lastHeartbeatAt)} " +
                "only-replies-for=${since(reachability.onlyRepliesSince)} " +
                "unreachable-for=${since(reachability.unreachableSince)} incarnation=${machine.incarnation} " +
                "cordoned=${machine.isCordoned} failures=${placement.job.machinesWithFailures.size} " +
                context.hooks.logFields()
        }
    }

    private fun since(time: Duration?): Duration? = time?.let { now - it }

    private fun restore(placement: Placement, machine: Machine) {
        placement.resetForRestart()
        commands.add(machine, StartTask(placement.key, placement.attempt, StartCause.RESTORED))
    }

    /** Ends an attempt that is proved to be off its machine. [exit] is the reason why it ended, null if unknown. */
    fun attemptEnded(placement: Placement, machine: Machine, exit: ExitReason?) {
        val job = placement.job
        cluster.removePlacement(placement)
        job.addDeferredChange(now)
        context.requestRound()
        // A broken gang should restart where its image is cached, and not elsewhere because smaller jobs took the
        // machine first.
        if (job.spec.kind == JobKind.GANG && job.waitingTaskCount() > 0) machine.reserve(job, now)
        when (exit) {
            ExitReason.ERROR, ExitReason.UNKNOWN -> recordFailure(job, machine)
            ExitReason.INSUFFICIENT_RESOURCES, ExitReason.ALREADY_PRESENT -> job.retryAfter = now + RETRY_DELAY
            else -> Unit
        }
    }

    private fun recordFailure(job: Job, machine: Machine) {
        job.machinesWithFailures.add(machine.id)
        machine.health.taskFailed(now)
        job.retryAfter = now + backoffAfterFailuresOn(job.machinesWithFailures.size)
    }

    /** If a job failed on several machines, the job itself is at fault, and must not use up the fleet. */
    private fun backoffAfterFailuresOn(machines: Int): Duration {
        if (machines < MACHINES_TO_BACK_OFF) return RETRY_DELAY
        return minOf(MAX_BACKOFF, BASE_BACKOFF * (1 shl minOf(machines, MAX_DOUBLINGS)))
    }

    private companion object {
        val RETRY_DELAY = 1.seconds
        val BASE_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 5

        /** From failures on this many machines the delay grows exponentially. */
        const val MACHINES_TO_BACK_OFF = 2
    }
}
