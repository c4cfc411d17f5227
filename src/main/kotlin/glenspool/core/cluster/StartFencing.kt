package glenspool.core.cluster

import glenspool.core.SchedulingContext
import glenspool.core.TokenAdvanceCause
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides what a worker's heartbeat proves about the starts that were sent to it: whether the worker may forget an
 * exited attempt, and whether a task that the heartbeat does not show is gone. Both hold only once the worker can
 * execute no start of the attempt any more, see [SentStarts]. Until then the worker keeps the exited attempt, which
 * makes it ignore every copy of the start, and a missing task keeps its placement.
 *
 * Starts of earlier leaders need no record. Their tokens are lower than that of this leader's election, and a heartbeat
 * that shows a lower token than that neither proves an absence nor leads to a permission to forget.
 */
class StartFencing(private val context: SchedulingContext) {
    private var exitedAttemptKeptSince: Duration? = null
    private var isReportLong = false
    private var isTaskMissing = false
    private var hasWorkerRestarted = false

    /** Whether the worker may forget this exited attempt. */
    fun mayForget(machine: Machine, status: TaskStatus): Boolean {
        val start = machine.requests.starts.find(status.key, status.attempt) ?: return true
        context.fencingCounts.forgetWithheld()
        if (needsHigherToken(start)) {
            exitedAttemptKeptSince = exitedAttemptKeptSince ?: context.now
            if (machine.taskStatuses.size >= LONG_REPORT_TASKS) isReportLong = true
        }
        return false
    }

    /**
     * Whether the task of the placement, which a heartbeat with this leader's token does not show, is proved to be off
     * the machine.
     */
    fun isProvedGone(machine: Machine, placement: Placement): Boolean {
        if (placement.stage == PlacementStage.PLANNED || !placement.wasStartSent) return false
        val start = machine.requests.starts.find(placement.key, placement.attempt) ?: return true
        val isAnswered = !machine.requests.starts.hasUnanswered(placement.key)
        if (isAnswered && needsHigherToken(start)) isTaskMissing = true
        return false
    }

    /** Whether the worker may still execute a start of this attempt. */
    fun mayStillStart(machine: Machine, key: TaskKey, attempt: Long): Boolean =
        machine.requests.starts.find(key, attempt) != null

    private fun needsHigherToken(start: SentStart) = start.token >= context.token

    /** A worker that began anew has to learn a token that no earlier start has. */
    fun workerRestarted() {
        hasWorkerRestarted = true
    }

    /** Why workers have to learn a higher token now; null if they need not. */
    fun tokenAdvanceCause(): TokenAdvanceCause? {
        val keptSince = exitedAttemptKeptSince
        return when {
            hasWorkerRestarted -> TokenAdvanceCause.RESTARTED_WORKER
            isTaskMissing -> TokenAdvanceCause.MISSING_TASK
            isReportLong -> TokenAdvanceCause.LONG_REPORT
            keptSince != null && context.now - keptSince > MAX_KEEPING_TIME -> TokenAdvanceCause.EXITED_ATTEMPTS
            else -> null
        }
    }

    /** Records that a higher token is sent from now on, which every worker shows after its next heartbeats. */
    fun tokenAdvanced() {
        exitedAttemptKeptSince = null
        isReportLong = false
        isTaskMissing = false
        hasWorkerRestarted = false
    }

    private companion object {
        /** Each advance makes every worker send one more heartbeat. */
        val MAX_KEEPING_TIME = 60.seconds

        /** With this number of tasks a heartbeat takes about a quarter of its 64 KiB. */
        const val LONG_REPORT_TASKS = 200
    }
}
