package glenspool.core.placement

import glenspool.core.Scheduler
import glenspool.core.StopCause
import glenspool.core.cluster.Machine
import glenspool.core.cluster.zoneAllows
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.lifecycle.PlacementStage
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import glenspool.core.cluster.allowed as mayUse

/** Preemption: where lower work makes way for a waiting job of higher priority, and who waits for that. */
class Preemptor(private val core: Scheduler) {
    /**
     * Urgent work whose image is cached only where lower work fills the machine: that work makes room at once,
     * and the job waits the moment that takes, since a fetch elsewhere would take far longer.
     */
    fun clearCached(open: List<Job>, ready: List<Machine>) {
        for (job in open) {
            if (job.effectivePriority < Priority.URGENT || job.resourcesExpectedBy != null || stillLeaving(job)) continue
            val patience = if (job.effectivePriority == Priority.CRITICAL) ROOM_PATIENCE else ROOM_PATIENCE_SAVING
            if (core.fetchTime(job) < patience * 2) continue
            val wanted = minOf(job.waitingCount(), core.remainingQuota(job))
            if (wanted <= 0 || job.spec.kind == JobKind.GANG && wanted < job.waitingCount()) continue
            val usable = ready.filter { it.hasImage(job.spec.image) && allowed(job, it) }
            if (roomFor(job, usable) >= wantedAtOnce(job)) continue
            if (job.spec.kind == JobKind.GANG &&
                (
                    job.spec.sameZone &&
                        usable.distinctBy { it.zone }.size > 1 ||
                        usable.sumOf { possibleRoom(it, job) } < wanted
                )
            ) {
                continue
            }
            val claimed = HashMap<Machine, Resources>()
            var left = wanted
            for (m in usable.sortedBy { m -> m.placements.values.count { it.job === job } }) {
                if (left <= 0) break
                val made = makeRoomOn(m, job, claimed, if (job.spec.kind == JobKind.GANG) left else 1)
                left -= made
                // Or the next round would give the room to the very work that was stopped.
                if (job.spec.kind == JobKind.GANG && made > 0) m.reserve(job, core.now)
            }
            if (claimed.isNotEmpty()) job.resourcesExpectedBy = core.now + patience
        }
    }

    /** Some of the gang's last attempt is still on its machines: until all of it is gone no room is of use to it. */
    private fun stillLeaving(job: Job) = job.spec.kind == JobKind.GANG && job.placements.isNotEmpty()

    private fun wantedAtOnce(job: Job) = if (job.spec.kind == JobKind.GANG) job.waitingCount() else 1

    /** How many tasks of the job the machines have room for. */
    private fun roomFor(job: Job, on: List<Machine>): Int =
        on.sumOf { m ->
            core.types[m.type]?.let { job.resourceRequest.countIn(m.free(it)) }
                ?: 0
        }

    /** The same if lower work made way. */
    private fun possibleRoom(m: Machine, job: Job): Int {
        var available = core.types[m.type]?.let { m.free(it) } ?: return 0
        for (p in m.placements.values) if (yields(p, job) || p.stop != null) available += p.job.resourceRequest
        return job.resourceRequest.countIn(available)
    }

    private fun yields(p: Placement, to: Job) = p.stop == null && p.step == PlacementStage.OBSERVED && p.job.effectivePriority < to.effectivePriority && p.job.spec.kind != JobKind.GANG

    fun waitsForRoom(job: Job, ready: List<Machine>): Boolean {
        val until = job.resourcesExpectedBy ?: return false
        return core.now < until &&
            roomFor(job, ready.filter { it.hasImage(job.spec.image) && allowed(job, it) }) < wantedAtOnce(job)
    }

    /** Stops lower work where a waiting job of higher priority needs its room, least loss first. */
    fun makeRoom(ready: List<Machine>) {
        val waiting =
            core.jobs.values
                .filter {
                    !it.cancelled &&
                        it.effectivePriority >= Priority.URGENT &&
                        !stillLeaving(it) &&
                        it.waiting(1).isNotEmpty() &&
                        it.notBefore.let { b -> b == null || core.now >= b }
                }.sortedWith(compareByDescending<Job> { it.effectivePriority }.thenBy { it.waitingSince })
        if (waiting.isEmpty()) return
        // Only where something could make way, or already does, or there is room: most of a large fleet drops out here.
        val top = waiting.first().effectivePriority
        val possible =
            ready.filter { m ->
                val free = core.types[m.type]?.let { m.free(it) }
                m.placements.values.any { it.stop != null || it.job.effectivePriority < top } ||
                    free != null &&
                    waiting.any { it.resourceRequest.fits(free) }
            }
        // Room that earlier stops are already making is not asked for twice.
        val claimed = HashMap<Machine, Resources>()
        for (job in waiting) {
            var n = minOf(job.waitingCount(), core.remainingQuota(job))
            val whole = job.spec.kind == JobKind.GANG
            if (whole && core.remainingQuota(job) < job.waitingCount()) continue
            val (cached, rest) = possible.filter { allowed(job, it) }.partition { it.hasImage(job.spec.image) }
            var usable = cached + rest
            if (whole) {
                // Work is not stopped for a gang that would not be whole even then.
                val zones = if (job.spec.sameZone) usable.groupBy { it.zone }.values else listOf(usable)
                usable = zones.maxByOrNull { z -> z.sumOf { possibleRoom(it, job) } } ?: continue
                if (usable.sumOf { possibleRoom(it, job) } < n) continue
                // What was stopped for it before comes first, so that no more is stopped than it needs; then where
                // least is lost.
                usable =
                    usable
                        .map {
                            it to (
                                if (it.reservedFor ===
                                    job
                                ) {
                                    Duration.ZERO
                                } else {
                                    costOf(it, job)
                                }
                            )
                        }.sortedBy { it.second }
                        .map { it.first }
            }
            for (m in usable) {
                if (n <= 0) break
                val made = makeRoomOn(m, job, claimed, n)
                n -= made
                if (whole && made > 0) m.reserve(job, core.now)
            }
        }
    }

    /**
     * Machine time that is lost if the gang has the machine: its own fetch, and what the work that makes way has spent.
     */
    private fun costOf(m: Machine, job: Job): Duration {
        val fetch = if (m.hasImage(job.spec.image)) Duration.ZERO else core.fetchTime(job)
        val leaving = m.placements.values.filter { yields(it, job) }
        return if (leaving.isEmpty()) {
            fetch
        } else {
            fetch +
                leaving.fold(Duration.ZERO) { sum, p -> sum + loss(p) } / leaving.size
        }
    }

    /** What stopping it throws away: its fetch, and progress that is not saved. */
    private fun loss(p: Placement): Duration = p.job.lossOf(p, core.now, core.fetchTime(p.job))

    private fun allowed(job: Job, m: Machine) =
        mayUse(job.spec, m) &&
            !core.avoids(job, m) &&
            !m.reservedAgainst(job, core.now) &&
            zoneAllows(job, m.zone, core::zoneOf)

    private fun makeRoomOn(m: Machine, job: Job, claimed: HashMap<Machine, Resources>, wanted: Int): Int {
        val type = core.types[m.type] ?: return 0
        var available = m.free(type) - (claimed[m] ?: Resources.ZERO)
        val stopping = m.placements.values.filter { it.stop != null && it.stop != StopCause.GANG_BROKEN }
        for (p in stopping) available += p.job.resourceRequest
        var made = 0
        val victims =
            m.placements.values
                .filter { yields(it, job) }
                .sortedWith(
                    compareBy<Placement> {
                        it.job.effectivePriority
                    }.thenByDescending { core.order(it.job) }.thenBy { loss(it) },
                ).toMutableList()
        while (made < wanted) {
            if (!job.resourceRequest.fits(available)) {
                val chosen = ArrayList<Placement>()
                var r = available
                while (!job.resourceRequest.fits(r) && victims.isNotEmpty()) {
                    val v = victims.removeAt(0)
                    chosen.add(v)
                    r += v.job.resourceRequest
                }
                if (!job.resourceRequest.fits(r)) return made
                for (v in chosen) {
                    val grace =
                        if (job.effectivePriority ==
                            Priority.CRITICAL
                        ) {
                            Duration.ZERO
                        } else {
                            v.job.spec.checkpointDuration + Scheduler.GRACE_SLACK
                        }
                    core.stop(v, StopCause.PREEMPTED, grace)
                }
                available = r
            }
            available -= job.resourceRequest
            claimed[m] = (claimed[m] ?: Resources.ZERO) + job.resourceRequest
            made++
        }
        return made
    }

    private companion object {
        /** How long a service waits for room on a machine with its image; the exit is reported in far less. */
        val ROOM_PATIENCE = 600.milliseconds

        /** The same where the lower work saves first. */
        val ROOM_PATIENCE_SAVING = 7.seconds
    }
}
