package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState

/** Advances tasks over time. They fetch images, run and complete, and the tasks of a gang start and end together. */
internal class TaskProgress(
    private val context: SimulationContext,
    private val jobs: SimulatedJobs,
    private val fleet: SimulatedFleet,
) {
    private class GangMember(val worker: SimulatedWorker, val key: TaskKey, val task: WorkerTask)

    private data class GangAttempt(val job: String, val attempt: Long)

    fun advanceAll() {
        for (worker in fleet.workers) {
            if (worker.isHanging) continue
            for ((slot, task) in worker.tasks) advance(worker, slot.key, task)
        }
        gangAttempts().forEach { (gang, members) -> advanceGang(gang, members) }
    }

    private fun advance(worker: SimulatedWorker, key: TaskKey, task: WorkerTask) {
        if (!task.isLive || context.now < task.transitionAt) return
        val spec = jobs.specs.getValue(key.job)
        val isGang = spec.kind == JobKind.GANG
        if (task.state == TaskState.FETCHING) {
            worker.images.add(spec.image)
            task.state = if (isGang) TaskState.WAITING else TaskState.RUNNING
            task.transitionAt = context.now + if (isGang) context.config.gangWait else spec.estimatedDuration
        } else if (task.state == TaskState.RUNNING && spec.kind == JobKind.ARRAY) {
            complete(key, task)
        } else if (task.state == TaskState.WAITING) {
            task.exit(ExitReason.GANG_INCOMPLETE)
        }
    }

    private fun complete(key: TaskKey, task: WorkerTask) {
        jobs.markTaskCompleted(key.job, key.task)
        task.exit(ExitReason.DONE)
    }

    private fun gangAttempts(): Map<GangAttempt, List<GangMember>> =
        fleet.workers
            .flatMap { worker -> worker.tasks.map { (slot, task) -> GangMember(worker, slot.key, task) } }
            .filter { jobs.specs.getValue(it.key.job).kind == JobKind.GANG }
            .groupBy { GangAttempt(it.key.job, it.task.attempt) }

    /** Runs a gang when all members wait, completes it when all have run long enough, and ends it when one is lost. */
    private fun advanceGang(gang: GangAttempt, members: List<GangMember>) {
        val spec = jobs.specs.getValue(gang.job)
        val waiting = members.filter { it.task.state == TaskState.WAITING }
        val running = members.filter { it.task.state == TaskState.RUNNING }
        val isRunComplete =
            running.size == spec.tasks && running.all { !it.worker.isHanging && context.now >= it.task.transitionAt }
        if (waiting.size == spec.tasks) {
            for (member in waiting) {
                member.task.state = TaskState.RUNNING
                member.task.transitionAt = context.now + spec.estimatedDuration
            }
        } else if (isRunComplete) {
            running.forEach { complete(it.key, it.task) }
        } else if (running.isNotEmpty() && running.size < spec.tasks) {
            running.forEach { it.task.exit(ExitReason.GANG_BROKEN) }
        }
    }
}
