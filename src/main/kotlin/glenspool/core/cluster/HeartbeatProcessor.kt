package glenspool.core.cluster

import glenspool.core.HeartbeatSource
import glenspool.core.SchedulingContext
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration

/**
 * Reconciles heartbeats with the leader's state. It concludes only what they prove: which tasks are on a machine, which
 * are certainly gone, and which are done.
 */
class HeartbeatProcessor(
    private val context: SchedulingContext,
    private val cluster: ClusterState,
    private val orphans: Orphans,
    private val imageLocations: ImageLocations,
    private val performance: TypePerformance,
    private val missingTasks: MissingTaskHandler,
    private val fencing: StartFencing,
) {
    private val runningTwice = RunningTwiceCheck(context, cluster)
    private val now: Duration get() = context.now

    /** Applies a heartbeat and returns its machine, or null if the heartbeat is outdated or a duplicate. */
    fun process(heartbeat: Heartbeat, source: HeartbeatSource): Machine? {
        // A duplicate may arrive long after the machine was deleted, and must not add the machine again.
        if (cluster.wasDeleted(heartbeat.machine)) return null
        val known = cluster.machines[heartbeat.machine]
        // A heartbeat with the same sequence number is a duplicate too, and must not count as contact.
        if (known != null && !known.isNewer(heartbeat)) return null
        val machine =
            cluster.findOrAdd(heartbeat.machine) {
                Machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, now)
            }
        machine.updateDescription(heartbeat)
        if (!machine.reachability.hadContact) imageLocations.restore(machine)
        logNewIncarnation(machine, heartbeat)
        val wasTrusted = machine.isTrusted
        machine.applyHeartbeat(heartbeat, source, context.token, context.electionToken, now)
        if (machine.isTrusted && !wasTrusted) context.requestRound()
        context.hooks.observer.machineObserved(heartbeat, source, machine.isTrusted, now)
        reconcileTasks(machine, heartbeat)
        return machine
    }

    private fun logNewIncarnation(machine: Machine, heartbeat: Heartbeat) {
        if (machine.incarnation == 0L || heartbeat.incarnation <= machine.incarnation) return
        val tasks = machine.placements.size
        context.log(isImportant = true) {
            "lease-expired machine=${machine.id} incarnation=${heartbeat.incarnation} tasks=$tasks"
        }
    }

    private fun reconcileTasks(machine: Machine, heartbeat: Heartbeat) {
        if (heartbeat.tasks.isEmpty() && machine.placements.isEmpty() && machine.orphans.isEmpty()) return
        val present = HashSet<TaskKey>()
        val orphaned = HashMap<TaskKey, Resources>()
        for (status in heartbeat.tasks) {
            val job = cluster.jobs[status.key.job]
            val placement = machine.placements[status.key]?.takeIf { it.attempt == status.attempt }
            when {
                status.state == TaskState.EXITED -> taskExited(machine, job, placement, status)
                placement != null -> {
                    present.add(status.key)
                    taskPresent(machine, placement, status)
                }
                else -> {
                    orphaned[status.key] = job?.resourceRequest ?: Resources.ZERO
                    if (job != null) runningTwice.check(machine, job, status)
                }
            }
        }
        if (machine.isTrusted) {
            machine.placements.values
                .filter { it.key !in present && fencing.isProvedGone(machine, it) }
                .forEach { missingTasks.handle(it, machine) }
        }
        orphans.reconcile(machine, orphaned)
    }

    private fun taskPresent(machine: Machine, placement: Placement, status: TaskStatus) {
        val job = placement.job
        val wasWithoutImage = placement.taskState == null || placement.taskState == TaskState.FETCHING
        if (status.state != TaskState.FETCHING && wasWithoutImage) {
            machine.imageCache.recordUse(job.spec.image, job.spec.imageGb, cluster.typeOf(machine)?.cacheGb ?: 0.0)
        }
        val beginsToRun = placement.markObserved(status.state, now)
        if (beginsToRun && job.spec.kind == JobKind.GANG && isFullyRunning(job)) job.gangStarted = true
    }

    private fun isFullyRunning(gang: Job): Boolean =
        gang.placements.size == gang.spec.tasks &&
            gang.placements.values.all { it.taskState == TaskState.RUNNING }

    private fun taskExited(machine: Machine, job: Job?, placement: Placement?, status: TaskStatus) {
        if (status.exit == ExitReason.DONE && job != null) taskDone(machine, job, placement, status.key.task)
        if (placement != null) missingTasks.attemptEnded(placement, machine, status.exit)
    }

    private fun taskDone(machine: Machine, job: Job, placement: Placement?, task: Int) {
        if (job.spec.kind == JobKind.SERVICE || task >= job.spec.tasks) return
        if (job.spec.kind == JobKind.GANG) {
            // The tasks of a gang complete together, so if one of them is done, all of them are.
            if (job.isComplete) return
            job.markAllTasksDone()
            job.addDeferredChange(now)
        } else if (!job.done[task]) {
            job.markTaskDone(task)
            job.addDeferredChange(now)
            if (placement != null) performance.taskCompleted(placement, machine, now)
        }
    }
}
