package glenspool.simulation

import glenspool.core.model.JobSpec
import glenspool.core.model.TaskKey

/** Checks the rules that the start of a task can break. */
internal class TaskStartChecker(
    private val context: SimulationContext,
    private val store: SimulatedStore,
    private val jobs: SimulatedJobs,
    private val fleet: SimulatedFleet,
) {
    /** Checks a start that a worker is about to execute. */
    fun check(key: TaskKey, spec: JobSpec, worker: SimulatedWorker) {
        val live = fleet.liveTasks()
        if (live.any { it.key == key }) context.recordViolation("ran_twice $key: the task is live already")
        checkConstraints(key, spec, worker)
        checkZones(key, spec, worker, live)
        checkQuota(spec, live)
        val cancelledAt = jobs.cancelledAt[spec.id]
        if (cancelledAt != null && context.now - cancelledAt > context.config.cancellationDeadline) {
            context.recordViolation("ran_cancelled $key: started after the cancellation deadline")
        }
        for (dependency in jobs.dependenciesOf[spec.id].orEmpty()) {
            if (store.finalState(dependency) != "done") context.recordViolation("too_early $key before $dependency")
        }
    }

    private fun checkConstraints(key: TaskKey, spec: JobSpec, worker: SimulatedWorker) {
        if (!isAllowedOn(spec, worker)) context.recordViolation("wrong_place $key: not allowed on ${worker.id}")
    }

    private fun checkZones(key: TaskKey, spec: JobSpec, worker: SimulatedWorker, live: List<LiveTask>) {
        val others = live.filter { it.key.job == spec.id }
        if (spec.sameZone && others.any { it.worker.zone != worker.zone }) {
            context.recordViolation("wrong_place $key: not in the zone of the job's other tasks")
        }
        if (spec.spread && others.count { it.worker.zone == worker.zone } + 1 > spec.maxTasksPerZone) {
            context.recordViolation("wrong_place $key: too many of the job's tasks in its zone")
        }
    }

    private fun checkQuota(spec: JobSpec, live: List<LiveTask>) {
        val gpusMax = context.teamOf(spec).gpusMax ?: return
        val ofTeam = live.map { jobs.specs.getValue(it.key.job) }.filter { it.team == spec.team }
        val used = ofTeam.sumOf { it.resourceRequest.gpus } + spec.resourceRequest.gpus
        if (used > gpusMax + GPU_ROUNDING_TOLERANCE) context.recordViolation("quota ${spec.team}: $used GPUs")
    }

    companion object {
        /** Tolerance, in GPUs, for rounding errors of a sum of requests. */
        const val GPU_ROUNDING_TOLERANCE = 1e-6

        /** Whether the constraints of a job's description allow its tasks on a machine. */
        fun isAllowedOn(spec: JobSpec, worker: SimulatedWorker): Boolean =
            (spec.types == null || worker.type.name in spec.types) &&
                (spec.zone == null || spec.zone == worker.zone) &&
                (spec.spot || !worker.isSpot)
    }
}
