package glenspool.core.lifecycle

import glenspool.core.Scheduler
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.model.JobKind
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Sees each job's places through: starts and stops that were not carried out are sent again, broken gangs are ended.
 */
class JobSupervisor(private val core: Scheduler) {
    private val now: Duration get() = core.now

    fun tend(job: Job) {
        if (job.placements.isEmpty()) return
        if (job.cancelled && !job.writeInFlight) {
            job.placements.values
                .filter { it.step == PlacementStage.PLANNED }
                .forEach(core::drop)
        }
        if (job.spec.kind == JobKind.GANG && !job.cancelled && job.placements.isNotEmpty()) tendGang(job)
        for (p in job.placements.values.toList()) {
            // A place that is seen and not being stopped needs nothing.
            if (p.step == PlacementStage.OBSERVED && p.stop == null) continue
            val m = core.machines[p.machine] ?: continue
            if (p.stop != null && p.step == PlacementStage.STORED && p.startSent == null && !m.mayStillStart(p.key, p.attempt)) {
                // Its start was never sent, or surely not carried out: no report would ever show it ended.
                core.drop(p)
                job.storeLater(now)
                continue
            }
            if (p.step == PlacementStage.STORED &&
                p.startSent == null &&
                !p.deferred &&
                now >= m.nextRequestAt &&
                m.pendingCommands.none { it.key == p.key && it.attempt == p.attempt }
            ) {
                core.commands.add(m, StartTask(p.key, p.attempt, StartCause.RETRIED))
            }
            if (p.step == PlacementStage.STORED &&
                m.unconfirmedStarts.any { it.key == p.key } &&
                p.startSent.let { it != null && now - it > 2.seconds }
            ) {
                core.commands.add(m, StartTask(p.key, p.attempt, StartCause.RETRIED))
                p.startSent = now
            }
            val sent = p.stopSent
            val stop = p.stop
            if (stop != null &&
                p.step != PlacementStage.PLANNED &&
                (sent == null || now - sent > maxOf(2.seconds, core.config.heartbeatInterval))
            ) {
                if (p.state != TaskState.CHECKPOINTING ||
                    stop == StopCause.CANCELLED
                ) {
                    core.commands.add(m, StopTask(p.key, p.attempt, p.stopGrace, stop))
                }
                p.stopSent = now
            }
        }
    }

    /**
     * A gang whose tasks are on machines with and without the image: those without start first, since a task
     * that has its image gives up when the others take longer than the gang's waiting time.
     */
    fun deferCached(job: Job) {
        val (cached, fetching) =
            job.placements.values.partition {
                core.machines[it.machine]?.hasImage(job.spec.image) ==
                    true
            }
        if (fetching.isEmpty()) return
        cached.forEach { it.deferred = true }
    }

    private fun tendGang(job: Job) {
        val all = job.placements.values.toList()
        val missing = all.size < job.spec.tasks - job.done.cardinality()
        val stopping = all.any { it.stop != null }
        if (!missing && !stopping) {
            if (all.any { it.deferred } &&
                all.all { it.deferred || (it.state != null && it.state != TaskState.FETCHING) }
            ) {
                all.forEach {
                    it.deferred =
                        false
                }
            }
            return
        }
        // Places that were only reserved are given up at once: no start was ever sent.
        all.filter { it.deferred && it.startSent == null }.forEach(core::drop)
        val started = job.gangStarted || all.any { it.state == TaskState.RUNNING || it.state == TaskState.CHECKPOINTING }
        // Before the start, fetches under way are let through: stopping them would throw the image away, and the
        // next attempt would run into the same waiting time for ever.
        if (!started &&
            !stopping &&
            job.placements.values.any { it.state == null || it.state == TaskState.FETCHING }
        ) {
            return
        }
        val grace = if (!missing) job.spec.checkpointDuration + Scheduler.GRACE_SLACK else Duration.ZERO
        for (p in job.placements.values) {
            if (p.stop == null && p.step != PlacementStage.PLANNED) core.stop(p, StopCause.GANG_BROKEN, grace)
        }
    }
}
