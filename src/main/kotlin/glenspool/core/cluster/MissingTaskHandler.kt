package glenspool.core.cluster

import glenspool.core.MissingTaskPolicy
import glenspool.core.SchedulingContext
import glenspool.core.StartCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
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
        NO_WORKER_HEARTBEAT("no-worker-heartbeat"),
        NOT_READY("machine-not-ready"),
    }

    private fun decide(obstacle: Obstacle?, placement: Placement, machine: Machine): Decision {
        val policy = context.hooks.missingTaskPolicy()
        return when {
            policy == MissingTaskPolicy.RESCHEDULE -> Decision.REPLACE
            policy == MissingTaskPolicy.RESTORE_AND_WAIT && isFirstHeartbeatPending(machine, placement.job) ->
                Decision.WAIT
            obstacle == null -> Decision.RESTORE
            else -> Decision.REPLACE
        }
    }

    /**
     * Whether the machine answers requests but its worker has not sent a heartbeat yet. The worker gets the time that
     * it usually needs to find the leader.
     */
    private fun isFirstHeartbeatPending(machine: Machine, job: Job): Boolean {
        val isCritical = job.effectivePriority == Priority.CRITICAL
        val intervals = if (isCritical) INTERVALS_TO_WAIT_CRITICAL else INTERVALS_TO_WAIT
        val reachability = machine.reachability
        val repliesSince = now - (reachability.firstReplyAt ?: now)
        return reachability.lastHeartbeatAt == null && repliesSince < context.config.heartbeatInterval * intervals
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
            // Whichever message shows that the task is missing, heartbeats that the worker itself sends must arrive;
            // otherwise a task that is started there ends with the worker's lease.
            !machine.reachability.sentHeartbeatWithin(freshness, now) -> Obstacle.NO_WORKER_HEARTBEAT
            !machine.isReady(now, freshness) -> Obstacle.NOT_READY
            else -> null
        }
    }

    private fun logDecision(decision: Decision, obstacle: Obstacle?, placement: Placement, machine: Machine) {
        val isRecoveryInProgress = context.hooks.missingTaskPolicy() != MissingTaskPolicy.RESCHEDULE
        context.log(isImportant = isRecoveryInProgress && decision == Decision.REPLACE) {
            val reachability = machine.reachability
            "missing-task task=$placement class=${placement.job.spec.jobClass} machine=${machine.id} " +
                "decision=${decision.label} obstacle=${obstacle?.label} waited=${since(placement.awaitsMachineSince)} " +
                "heartbeat-age=${since(reachability.lastHeartbeatAt)} reply-age=${since(reachability.firstReplyAt)} " +
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
        val machines = job.machinesWithFailures.size
        // If the job failed on several machines, the job itself is at fault, and must not use up the fleet.
        val backoff =
            if (machines <
                2
            ) {
                RETRY_DELAY
            } else {
                minOf(MAX_BACKOFF, BASE_BACKOFF * (1 shl minOf(machines, MAX_DOUBLINGS)))
            }
        job.retryAfter = now + backoff
    }

    private companion object {
        val RETRY_DELAY = 1.seconds
        val BASE_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 5

        /**
         * Heartbeat intervals to wait for a worker's first heartbeat. A worker sends one heartbeat per interval, with a
         * deviation of up to a quarter; critical work waits for one heartbeat, other work for several.
         */
        const val INTERVALS_TO_WAIT_CRITICAL = 1.5
        const val INTERVALS_TO_WAIT = 3.0
    }
}
