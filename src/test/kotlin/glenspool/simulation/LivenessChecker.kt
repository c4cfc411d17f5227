package glenspool.simulation

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The rules about time: cancelled work ends within its deadline, and nothing waits for resources that are free. */
internal class LivenessChecker(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
    private val fleet: SimulatedFleet,
    private val describe: (job: String) -> String,
) {
    private val waitingSince = HashMap<String, Duration>()

    /** No task runs longer than the cancellation deadline after its user was told that the job is cancelled. */
    fun checkCancelledTasks() {
        for (task in fleet.liveTasks()) {
            val cancelledAt = jobs.cancelledAt[task.key.job] ?: continue
            if (context.now - cancelledAt > context.config.cancellationDeadline) {
                context.recordViolation("ran_cancelled ${task.key} on ${task.worker.id}")
            }
        }
    }

    /** Faults occur: jobs may wait for as long as they have to. */
    fun resetWaitingTimes() = waitingSince.clear()

    /**
     * Once all faults are over, no job waits for [LONGEST_WAIT] while a machine that it may use has room and its team
     * is below its quota.
     */
    fun checkWaiting(spec: JobSpec) {
        val live = fleet.liveTasks()
        if (!mayStartAnywhere(spec) || !isWaiting(spec, live) || fleet.workers.none { hasRoom(it, spec) }) {
            waitingSince.remove(spec.id)
        } else if (context.now - waitingSince.getOrPut(spec.id) { context.now } > LONGEST_WAIT) {
            context.recordViolation("waits_in_vain ${spec.id}: ${describe(spec.id)}")
            waitingSince.remove(spec.id)
        }
    }

    /** Gangs, and jobs bound by where their other tasks are, may wait for more than one placement. */
    private fun mayStartAnywhere(spec: JobSpec): Boolean {
        val dependsOnOtherTasks = spec.kind == JobKind.GANG || spec.sameZone || spec.spread
        return !dependsOnOtherTasks && jobs.areDependenciesDone(spec.id)
    }

    private fun isWaiting(spec: JobSpec, live: List<LiveTask>): Boolean {
        val placed =
            live
                .map { it.key }
                .filter { it.job == spec.id }
                .map { it.task }
                .toSet()
        val done = jobs.completedTasks.getValue(spec.id)
        return (0 until spec.tasks).any { it !in placed && !done[it] } &&
            store.hasRecord(spec.id) &&
            jobs.abortedSince(spec.id) == null &&
            isBelowQuota(spec, live)
    }

    private fun isBelowQuota(spec: JobSpec, live: List<LiveTask>): Boolean {
        val gpusMax = context.teamOf(spec).gpusMax ?: return true
        val ofTeam = live.map { jobs.specs.getValue(it.key.job) }.filter { it.team == spec.team }
        val used = ofTeam.sumOf { it.resourceRequest.gpus }
        return used + spec.resourceRequest.gpus <= gpusMax + TaskStartChecker.GPU_ROUNDING_TOLERANCE
    }

    private fun hasRoom(worker: SimulatedWorker, spec: JobSpec): Boolean {
        val placed = worker.liveSlots().map { jobs.specs.getValue(it.job).resourceRequest }
        val needed = placed.fold(spec.resourceRequest) { sum, next -> sum + next }
        return worker.isUp &&
            worker.preemptionAt == null &&
            !worker.isHanging &&
            needed.fitsIn(worker.type.capacity) &&
            TaskStartChecker.isAllowedOn(spec, worker)
    }

    private companion object {
        val LONGEST_WAIT = 90.seconds
    }
}
