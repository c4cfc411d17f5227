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

/** What becomes of placements whose tasks are proved to be off their machines: restored there, or given up. */
class MissingTaskHandler(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
) {
    private val now: Duration get() = context.now
    private val freshness: Duration get() = context.config.heartbeatFreshness

    /** The task is missing on its machine, which says nothing of why. */
    fun handle(placement: Placement, machine: Machine) {
        val policy = context.hooks.missingTaskPolicy()
        when {
            policy == MissingTaskPolicy.RESTORE_AND_WAIT && mayYetSendHeartbeat(machine, placement.job) -> Unit
            policy != MissingTaskPolicy.RESCHEDULE && mayBeRestored(placement, machine) -> restore(placement, machine)
            else -> attemptEnded(placement, machine, null)
        }
    }

    /** It answers requests and has sent no heartbeat by itself: it gets the time in which a worker finds its leader. */
    private fun mayYetSendHeartbeat(machine: Machine, job: Job): Boolean {
        val isCritical = job.effectivePriority == Priority.CRITICAL
        val intervals = if (isCritical) INTERVALS_TO_WAIT_CRITICAL else INTERVALS_TO_WAIT
        val reachability = machine.reachability
        val repliesSince = now - (reachability.firstReplyAt ?: now)
        return reachability.lastHeartbeatAt == null && repliesSince < context.config.heartbeatInterval * intervals
    }

    /**
     * The placement is stored and holds resources, quota and zone, so the task may simply be started there again. Not a
     * gang's: its tasks find each other by their attempt. Not where the machine is about to go, or the job failed.
     */
    private fun mayBeRestored(placement: Placement, machine: Machine): Boolean {
        val job = placement.job
        val isWanted = job.isLive && !job.done[placement.task] && placement.stopCause == null
        if (!isWanted || job.spec.kind == JobKind.GANG) return false
        // Whichever message shows that the task is missing, the machine's own heartbeats must arrive, or what is
        // started there ends with its lease.
        if (!machine.reachability.sentHeartbeatWithin(freshness, now)) return false
        return machine.id !in job.failedOn && !machine.isCordoned && machine.isReady(now, freshness)
    }

    private fun restore(placement: Placement, machine: Machine) {
        placement.restarted()
        commands.add(machine, StartTask(placement.key, placement.attempt, StartCause.RESTORED))
    }

    /** The attempt is proved to be off its machine. [exit]: why it ended, if that is known. */
    fun attemptEnded(placement: Placement, machine: Machine, exit: ExitReason?) {
        val job = placement.job
        cluster.removePlacement(placement)
        job.storeLater(now)
        context.requestRound()
        // A broken gang begins again where its image is, not somewhere else because small work was quicker.
        if (job.spec.kind == JobKind.GANG && job.waitingCount() > 0) machine.reserve(job, now)
        when (exit) {
            ExitReason.ERROR, ExitReason.UNKNOWN -> failed(job, machine)
            ExitReason.INSUFFICIENT_RESOURCES, ExitReason.ALREADY_PRESENT -> job.retryAfter = now + RETRY
            else -> Unit
        }
    }

    private fun failed(job: Job, machine: Machine) {
        job.failedOn.add(machine.id)
        machine.health.taskFailed(now)
        val machines = job.failedOn.size
        // On several machines the job is at fault: it must not consume the fleet.
        val backoff =
            if (machines <
                2
            ) {
                RETRY
            } else {
                minOf(MAX_BACKOFF, BASE_BACKOFF * (1 shl minOf(machines, MAX_DOUBLINGS)))
            }
        job.retryAfter = now + backoff
    }

    private companion object {
        val RETRY = 1.seconds
        val BASE_BACKOFF = 2.seconds
        val MAX_BACKOFF = 60.seconds
        const val MAX_DOUBLINGS = 5

        /**
         * A worker sends a heartbeat in every interval, give or take a quarter; critical work waits for one of them,
         * other work for several.
         */
        const val INTERVALS_TO_WAIT_CRITICAL = 1.5
        const val INTERVALS_TO_WAIT = 3.0
    }
}
