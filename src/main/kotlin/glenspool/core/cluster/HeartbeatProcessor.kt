package glenspool.core.cluster

import glenspool.core.ForgetCause
import glenspool.core.HeartbeatSource
import glenspool.core.MissingTaskPolicy
import glenspool.core.ProposedOrder
import glenspool.core.Scheduler
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What reports prove, and what they do not: which tasks are on a machine, which are surely gone, which are done. */
class HeartbeatProcessor(private val core: Scheduler) {
    private val startToken = core.token
    private val now: Duration get() = core.now
    private val typeRuns = HashMap<String, HashMap<String, Double>>()

    fun fastestType(jobClass: String): String? = typeRuns[jobClass]?.minByOrNull { it.value }?.key

    /** Takes a report in if it is newer than what is known. Null: it is old, or a copy. */
    fun observe(r: Heartbeat, source: HeartbeatSource): Machine? {
        // A copy of a report may come long after the machine was deleted: it is not back.
        if (core.wasDeleted(r.machine)) return null
        val known = core.machines[r.machine]
        // The same number is a copy too: it must not renew the evidence of life.
        if (known != null && !known.newer(r)) return null
        val m = known ?: core.addMachine(Machine(r.machine, r.type, r.zone, r.spot, now))
        m.type = r.type
        m.zone = r.zone
        m.spot = r.spot
        m.addr = r.addr
        m.booting = false
        if (!m.wasHeard) core.images.hand(m)
        if (r.incarnation > m.incarnation) {
            if (m.incarnation >
                0
            ) {
                core.note(important = true) {
                    "lease-ended machine=${m.id} session=${r.incarnation} tasks=${m.placements.size}"
                }
            }
            m.unconfirmedStarts.removeIf { it.incarnation < r.incarnation }
        }
        m.unconfirmedStarts.removeIf { it.token < r.token }
        m.incarnation = r.incarnation
        m.sequence = r.sequence
        // It has learnt a token since: something of ours has reached it.
        if (r.token > m.token && r.token >= core.token) m.markReachable(now)
        m.token = maxOf(m.token, r.token)
        m.lastHeardAt = now
        if (source == HeartbeatSource.WORKER) {
            m.lastHeartbeatAt = now
        } else if (m.firstReplyAt == null) {
            m.firstReplyAt = now
        }
        m.preemptionNotice = r.preemptionNotice
        m.taskStatuses = r.tasks
        // Until the worker has seen this leader's token, commands of an earlier leader may still be carried out:
        // such a report shows what is there, but not what will not be. A worker that began anew has forgotten the
        // token, so it is this report's that counts, not the highest that the machine ever showed.
        val trusted = r.token >= startToken
        if (trusted && !m.trusted) core.wantRound()
        m.trusted = trusted
        core.hooks.observer.machineObserved(r, source, trusted, now)
        digest(m, r)
        return m
    }

    private fun digest(m: Machine, r: Heartbeat) {
        if (r.tasks.isEmpty() && m.placements.isEmpty() && m.orphans.isEmpty()) return
        val present = HashSet<TaskKey>()
        val orphanNow = HashMap<TaskKey, Resources>()
        for (t in r.tasks) {
            val job = core.jobs[t.key.job]
            val p = m.placements[t.key]?.takeIf { it.attempt == t.attempt }
            if (t.state == TaskState.EXITED) {
                exited(m, job, p, t)
                continue
            }
            if (p != null) {
                present.add(t.key)
                progress(m, p, t)
            } else {
                orphanNow[t.key] = job?.resourceRequest ?: Resources.ZERO
            }
        }
        if (m.trusted) {
            m.placements.values
                .filter { isProvedAbsent(it, m, present) }
                .forEach { absent(it, m) }
        }
        settleOrphans(m, orphanNow)
    }

    private fun settleOrphans(m: Machine, shown: Map<TaskKey, Resources>) {
        if (m.orphans.isEmpty() && shown.isEmpty()) return
        m.orphans.keys
            .filter { it !in shown }
            .forEach { core.orphans.drop(m, it) }
        for ((k, a) in shown) if (m.addOrphan(k, a, now)) core.orphans.found(m, k)
    }

    /** The report shows this leader's token and not the task, and no start of it can still arrive. */
    private fun isProvedAbsent(p: Placement, m: Machine, present: Set<TaskKey>): Boolean = p.key !in present && p.step != PlacementStage.PLANNED && p.startSent != null && !m.mayStillStart(p.key, p.attempt)

    private fun absent(p: Placement, m: Machine) {
        val rule = core.hooks.absence()
        when {
            rule == MissingTaskPolicy.RESTORE_AND_WAIT && mayYetReport(m, p.job) -> Unit
            rule != MissingTaskPolicy.RESCHEDULE && mayBeRestored(p, m) -> restore(p, m)
            else -> gone(p, m, null)
        }
    }

    /** It answers questions and has not reported by itself: it is given the time in which a worker finds its leader. */
    private fun mayYetReport(m: Machine, job: Job): Boolean {
        val heartbeats = if (job.effectivePriority == Priority.CRITICAL) REPORTS_TO_WAIT_CRITICAL else REPORTS_TO_WAIT
        return m.lastHeartbeatAt == null && now - (m.firstReplyAt ?: now) < core.config.heartbeatInterval * heartbeats
    }

    /**
     * The place is stored and holds room, limit and zone, so the task may simply be started there again. Not a gang's:
     * its tasks find each other by their attempt. Not where the machine is about to go, or the job failed.
     */
    private fun mayBeRestored(p: Placement, m: Machine): Boolean {
        val job = p.job
        val wanted =
            !job.cancelled && !job.finished && !job.done[p.task] && p.stop == null && job.spec.kind != JobKind.GANG
        // Whichever message shows the absence, its own reports must arrive, or what is started there ends with its
        // lease.
        val heartbeats = m.lastHeartbeatAt.let { it != null && now - it <= core.freshness }
        return wanted && heartbeats && m.id !in job.failedOn && !m.cordoned && m.isReady(now, core.freshness)
    }

    private fun restore(p: Placement, m: Machine) {
        p.step = PlacementStage.STORED
        p.state = null
        p.runningSince = null
        p.startSent = null
        core.commands.add(m, StartTask(p.key, p.attempt, StartCause.RESTORED))
    }

    private fun progress(m: Machine, p: Placement, t: TaskStatus) {
        if (p.step != PlacementStage.OBSERVED) p.step = PlacementStage.OBSERVED
        if (p.startSent == null) p.startSent = now
        if (t.state != TaskState.FETCHING && p.state.let { it == null || it == TaskState.FETCHING }) {
            m.sawImage(p.job.spec.image, p.job.spec.imageGb, core.types[m.type]?.cacheGb ?: 0.0)
        }
        if (t.state == TaskState.RUNNING && p.runningSince == null) {
            p.runningSince = now
            if (p.job.spec.kind == JobKind.GANG &&
                p.job.placements.size == p.job.spec.tasks &&
                p.job.placements.values
                    .all { it.state == TaskState.RUNNING || it === p }
            ) {
                p.job.gangStarted = true
            }
        }
        p.state = t.state
    }

    private fun exited(m: Machine, job: Job?, p: Placement?, t: TaskStatus) {
        if (t.exit == ExitReason.DONE && job != null && job.spec.kind != JobKind.SERVICE && t.key.task < job.spec.tasks) {
            if (job.spec.kind == JobKind.GANG) {
                // They complete together: if one task is done, all of them are.
                if (!job.complete) {
                    job.finishAllTasks()
                    job.storeLater(now)
                }
            } else if (!job.done[t.key.task]) {
                job.finishTask(t.key.task)
                job.storeLater(now)
                learn(m, p)
            }
        }
        if (p == null) return
        gone(p, m, t.exit)
    }

    /** Keeps the table of the fastest machine type per class, from how long tasks ran. */
    private fun learn(m: Machine, p: Placement?) {
        val started = p?.runningSince ?: return
        val est = p.job.spec.estimatedDuration
        if (est <= Duration.ZERO || p.job.spec.kind == JobKind.GANG) return
        val ratio = (now - started) / est
        val table = typeRuns.getOrPut(p.job.spec.jobClass) { HashMap() }
        val usual = table[m.type] ?: ratio
        // Before the sample itself counts: a machine is slow against the others of its type.
        m.slowness = m.slowness * 0.6 + (ratio / usual.coerceAtLeast(1e-6)).coerceAtMost(MAX_SLOWNESS) * 0.4
        table[m.type] = usual * 0.9 + ratio * 0.1
        m.consecutiveFailures = 0
    }

    /** The attempt is proved to be off its machine. */
    fun gone(p: Placement, m: Machine, exit: ExitReason?) {
        val job = p.job
        core.drop(p)
        job.storeLater(now)
        core.wantRound()
        // A broken gang begins again where its image is, not somewhere else because small work was quicker.
        if (job.spec.kind == JobKind.GANG && job.waitingCount() > 0) m.reserve(job, now)
        when (exit) {
            ExitReason.ERROR, ExitReason.UNKNOWN -> {
                job.failedOn.add(m.id)
                m.consecutiveFailures++
                if (job.failedOn.size >= 2) {
                    // On several machines the job is at fault: it must not consume the fleet.
                    job.notBefore = now + minOf(60.seconds, 2.seconds * (1 shl minOf(job.failedOn.size, 5)))
                } else {
                    job.notBefore = now + 1.seconds
                }
                if (m.consecutiveFailures >= 3) m.quarantinedUntil = now + 60.seconds
            }
            ExitReason.INSUFFICIENT_RESOURCES, ExitReason.ALREADY_PRESENT -> job.notBefore = now + 1.seconds
            else -> Unit
        }
    }

    /** What a worker is told besides the orders sent directly: repeated stops, and what it may forget. */
    fun routine(m: Machine): List<Command> {
        if (m.taskStatuses.isEmpty()) return emptyList()
        val result = ArrayList<Command>()
        for (t in m.taskStatuses) {
            val job = core.jobs[t.key.job]
            val p = m.placements[t.key]?.takeIf { it.attempt == t.attempt }
            if (t.state == TaskState.EXITED) {
                // A start still on its way would start the task again after this.
                if (m.mayStillStart(t.key, t.attempt)) continue
                if (t.exit == ExitReason.DONE &&
                    job != null &&
                    !job.finished &&
                    job.spec.kind != JobKind.SERVICE &&
                    !job.storedDone[t.key.task]
                ) {
                    continue
                }
                result.add(
                    ForgetTask(
                        t.key, t.attempt,
                        if (t.exit == ExitReason.DONE &&
                            job != null
                        ) {
                            ForgetCause.RECORDED
                        } else {
                            ForgetCause.NO_RESULT
                        },
                    ),
                )
            } else if (p == null) {
                val cause = orphanCause(job)
                if (mayStopOrphan(m, t.key, cause)) result.add(StopTask(t.key, t.attempt, Duration.ZERO, cause))
            } else {
                repeatedStop(p, t)?.let(result::add)
            }
        }
        result.forEach { core.orderCounts.add(it.cause) }
        return result
    }

    private fun mayStopOrphan(m: Machine, key: TaskKey, cause: StopCause): Boolean = cause == StopCause.CANCELLED || core.hooks.gate.admits(ProposedOrder(cause, m.id, key))

    private fun orphanCause(job: Job?): StopCause =
        when {
            job == null -> StopCause.UNRECORDED
            job.cancelled -> StopCause.CANCELLED
            else -> StopCause.ORPHANED
        }

    /** A stop that should have been carried out by now. */
    private fun repeatedStop(p: Placement, t: TaskStatus): StopTask? {
        val cause = p.stop ?: return null
        val sent = p.stopSent ?: return null
        if (now - sent <= core.config.heartbeatInterval * 0.7 || t.state == TaskState.CHECKPOINTING) return null
        return StopTask(t.key, t.attempt, p.stopGrace, cause)
    }

    private companion object {
        const val MAX_SLOWNESS = 5.0

        /**
         * A worker reports every report time, give or take a quarter; what must not wait is given one report, other
         * work several.
         */
        const val REPORTS_TO_WAIT_CRITICAL = 1.5
        const val REPORTS_TO_WAIT = 3.0
    }
}
