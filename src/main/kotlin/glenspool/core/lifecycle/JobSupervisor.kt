package glenspool.core.lifecycle

import glenspool.core.SchedulingContext
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.CommandQueue
import glenspool.core.cluster.Machine
import glenspool.core.cluster.StartFencing
import glenspool.core.model.JobKind
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Sends start and stop commands of placements again if they had no effect, and stops the tasks of broken gangs. */
class JobSupervisor(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val commands: CommandQueue,
    private val fencing: StartFencing,
) {
    private val now: Duration get() = context.now

    /** Checks all jobs. */
    fun tick() {
        for (job in cluster.jobs.values.toList()) if (job.placements.isNotEmpty()) supervise(job)
    }

    private fun supervise(job: Job) {
        if (job.isCancelled && !job.storeState.isWriteInFlight) {
            job.placements.values
                .filter { it.stage == PlacementStage.PLANNED }
                .forEach(cluster::removePlacement)
        }
        if (job.spec.kind == JobKind.GANG && !job.isCancelled && job.placements.isNotEmpty()) superviseGang(job)
        for (placement in job.placements.values.toList()) supervise(placement)
    }

    private fun supervise(placement: Placement) {
        // A placement that is observed and not being stopped needs no action.
        if (placement.stage == PlacementStage.OBSERVED && placement.stopCause == null) return
        val machine = cluster.machines[placement.machine] ?: return
        if (isStoppedBeforeStart(placement, machine)) {
            // The task was never started, so no heartbeat would ever show that it ended.
            cluster.removePlacement(placement)
            placement.job.addDeferredChange(now)
            return
        }
        retryStart(placement, machine)
        retryStop(placement, machine)
    }

    /** Whether a placement is stopped whose start command was never sent or was certainly not executed. */
    private fun isStoppedBeforeStart(placement: Placement, machine: Machine): Boolean {
        val isStopped = placement.stopCause != null && placement.stage == PlacementStage.STORED
        return isStopped &&
            !placement.wasStartSent &&
            !fencing.mayStillStart(machine, placement.key, placement.attempt)
    }

    private fun retryStart(placement: Placement, machine: Machine) {
        if (placement.stage != PlacementStage.STORED) return
        if (isStartMissing(placement, machine)) sendStart(placement, machine)
        if (isStartUnanswered(placement, machine)) {
            sendStart(placement, machine)
            placement.markStartSent(now)
        }
    }

    private fun isStartMissing(placement: Placement, machine: Machine): Boolean {
        val requests = machine.requests
        if (placement.wasStartSent || placement.isDeferred || now < requests.nextRequestAt) return false
        return !requests.hasPending(placement.key, placement.attempt)
    }

    private fun isStartUnanswered(placement: Placement, machine: Machine): Boolean {
        val sentAt = placement.startSentAt ?: return false
        return now - sentAt > START_TIMEOUT && machine.requests.starts.hasUnanswered(placement.key)
    }

    private fun sendStart(placement: Placement, machine: Machine) =
        commands
            .add(machine, StartTask(placement.key, placement.attempt, StartCause.RETRIED))

    private fun retryStop(placement: Placement, machine: Machine) {
        val cause = placement.stopCause ?: return
        if (placement.stage == PlacementStage.PLANNED) return
        val sentAt = placement.stopSentAt
        val timeout = maxOf(MIN_STOP_TIMEOUT, context.config.heartbeatInterval)
        if (sentAt != null && now - sentAt <= timeout) return
        // A task that writes a checkpoint is not stopped again unless it is cancelled.
        if (placement.taskState != TaskState.CHECKPOINTING || cause == StopCause.CANCELLED) {
            commands.add(machine, StopTask(placement.key, placement.attempt, placement.stopGrace, cause))
        }
        placement.markStopSent(now)
    }

    /**
     * Defers the tasks of a newly placed gang that are on machines with the image while others have to fetch it. A task
     * that has its image exits if the others take longer than the gang's waiting time.
     */
    fun deferTasksWithImage(gang: Job) {
        val (withImage, fetching) =
            gang.placements.values.partition { placement ->
                cluster.machines[placement.machine]?.hasImage(gang.spec.image) == true
            }
        if (fetching.isNotEmpty()) withImage.forEach { it.isDeferred = true }
    }

    private fun superviseGang(gang: Job) {
        val placements = gang.placements.values.toList()
        val isFullyPlaced = placements.size >= gang.spec.tasks - gang.done.cardinality()
        val isStopping = placements.any { it.stopCause != null }
        if (isFullyPlaced && !isStopping) return startDeferred(placements)
        // Placements that were only reserved are removed immediately, because no start was ever sent for them.
        placements.filter { it.isDeferred && !it.wasStartSent }.forEach(cluster::removePlacement)
        val hasStarted = gang.gangStarted || placements.any { it.taskState.isRunning }
        // Before the gang has started, running fetches are allowed to finish. If they were stopped, the images would be
        // discarded, and every further attempt would exceed the gang's waiting time again.
        if (!hasStarted && !isStopping && gang.placements.values.any { it.taskState.isWithoutImage }) return
        val grace = if (isFullyPlaced) gang.checkpointGrace else Duration.ZERO
        for (placement in gang.placements.values) {
            val isToBeStopped = placement.stopCause == null && placement.stage != PlacementStage.PLANNED
            if (isToBeStopped) commands.stop(placement, StopCause.GANG_BROKEN, grace)
        }
    }

    /** Allows deferred tasks to start once all other tasks of the gang have fetched the image. */
    private fun startDeferred(placements: List<Placement>) {
        if (placements.none { it.isDeferred }) return
        val allFetched = placements.all { it.isDeferred || !it.taskState.isWithoutImage }
        if (allFetched) placements.forEach { it.isDeferred = false }
    }

    private val TaskState?.isRunning get() = this == TaskState.RUNNING || this == TaskState.CHECKPOINTING

    private val TaskState?.isWithoutImage get() = this == null || this == TaskState.FETCHING

    private companion object {
        val START_TIMEOUT = 2.seconds
        val MIN_STOP_TIMEOUT = 2.seconds
    }
}
