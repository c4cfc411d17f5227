package glenspool.core.cluster

import glenspool.core.ForgetCause
import glenspool.core.ProposedOrder
import glenspool.core.SchedulingContext
import glenspool.core.StopCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration

/**
 * Determines the commands in the reply to a worker's heartbeat, in addition to those sent in requests: repeated stops,
 * stops of orphans, and which exited tasks the worker may forget.
 */
class HeartbeatReplyCommands(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val fencing: StartFencing,
) {
    /** The commands for the machine, based on the tasks in its newest heartbeat. */
    fun commandsFor(machine: Machine): List<Command> {
        if (machine.taskStatuses.isEmpty()) return emptyList()
        val commands = machine.taskStatuses.mapNotNull { commandFor(machine, it) }
        context.countOrders(commands)
        return commands
    }

    /**
     * The stops of the tasks that this outdated or fresh heartbeat shows on the machine, and that are not placed there
     * with their attempt. No such attempt may run there, however old the heartbeat is.
     */
    fun stopsOfMisplacedTasks(machine: Machine, heartbeat: Heartbeat): List<StopTask> =
        heartbeat.tasks
            .filter { it.state != TaskState.EXITED && machine.placements[it.key]?.attempt != it.attempt }
            .mapNotNull { stopOrphan(machine, cluster.jobs[it.key.job], it) }

    private fun commandFor(machine: Machine, status: TaskStatus): Command? {
        val job = cluster.jobs[status.key.job]
        val placement = machine.placements[status.key]?.takeIf { it.attempt == status.attempt }
        return when {
            status.state == TaskState.EXITED -> forget(machine, job, status)
            placement != null -> repeatedStop(placement, status)
            else -> stopOrphan(machine, job, status)
        }
    }

    private fun forget(machine: Machine, job: Job?, status: TaskStatus): ForgetTask? {
        val isDone = status.exit == ExitReason.DONE && job != null
        if (isDone && isResultNeeded(job, status.key.task)) return null
        if (!fencing.mayForget(machine, status)) return null
        val cause = if (isDone) ForgetCause.RECORDED else ForgetCause.NO_RESULT
        return ForgetTask(status.key, status.attempt, cause)
    }

    /** Whether the task's result is not known to be stored yet. */
    private fun isResultNeeded(job: Job, task: Int): Boolean =
        !job.isFinished && job.spec.kind != JobKind.SERVICE && !job.storedDone[task]

    private fun stopOrphan(machine: Machine, job: Job?, status: TaskStatus): StopTask? {
        val cause =
            when {
                job == null -> StopCause.UNRECORDED
                job.isCancelled -> StopCause.CANCELLED
                else -> StopCause.ORPHANED
            }
        if (!mayStopOrphan(machine, status.key, cause)) return null
        return StopTask(status.key, status.attempt, Duration.ZERO, cause)
    }

    private fun mayStopOrphan(machine: Machine, key: TaskKey, cause: StopCause): Boolean =
        cause == StopCause.CANCELLED || context.hooks.gate.admits(ProposedOrder(cause, machine.id, key))

    /** The stop of a task that should have been executed by now and is sent again; null if none is due. */
    private fun repeatedStop(placement: Placement, status: TaskStatus): StopTask? {
        val cause = placement.stopCause ?: return null
        val sentAt = placement.stopSentAt ?: return null
        val timeout = context.config.heartbeatInterval * STOP_TIMEOUT_INTERVALS
        if (context.now - sentAt <= timeout || status.state == TaskState.CHECKPOINTING) return null
        return StopTask(status.key, status.attempt, placement.stopGrace, cause)
    }

    private companion object {
        const val STOP_TIMEOUT_INTERVALS = 0.7
    }
}
