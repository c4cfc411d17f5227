package glenspool.simulation

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Checks that cancelled tasks end within their deadline, and that no job waits although resources are free. */
internal class LivenessChecker(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
    private val fleet: SimulatedFleet,
    private val describe: (job: String) -> String,
) {
    private val waitingSince = HashMap<String, Duration>()

    /** Checks that no task runs longer than the deadline after its job's cancellation was confirmed to the user. */
    fun checkCancelledTasks() {
        for (task in fleet.liveTasks()) {
            val cancelledAt = jobs.cancelledAt[task.key.job] ?: continue
            if (context.now - cancelledAt > context.config.cancellationDeadline) {
                context.recordViolation(
                    "ran_cancelled ${task.key} on ${task.worker.id}: it is live after the cancellation deadline",
                )
            }
        }
    }

    /** Restarts the measurement of waiting times. Called while faults occur, as jobs may then wait without limit. */
    fun resetWaitingTimes() = waitingSince.clear()

    /**
     * Checks that, when all faults are over, no job waits longer than [MAX_WAIT] while an allowed machine has free
     * resources and the job's team is below its quota.
     */
    fun checkWaiting(spec: JobSpec) {
        val live = fleet.liveTasks()
        if (!canStartTasksSeparately(spec) || !isWaiting(spec, live) || fleet.workers.none { hasRoom(it, spec) }) {
            waitingSince.remove(spec.id)
        } else if (context.now - waitingSince.getOrPut(spec.id) { context.now } > MAX_WAIT) {
            context.recordViolation("waits_in_vain ${spec.id}, although resources are free: ${describe(spec.id)}")
            waitingSince.remove(spec.id)
        }
    }

    /** Gangs, and jobs whose tasks depend on the zones of the other tasks, may wait for more than one placement. */
    private fun canStartTasksSeparately(spec: JobSpec): Boolean {
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
        val MAX_WAIT = 90.seconds
    }
}
