package glenspool.core.autoscaling

import glenspool.core.ProposedOrder
import glenspool.core.ScaleOut
import glenspool.core.ScaleOutCause
import glenspool.core.Scheduler
import glenspool.core.cluster.Machine
import glenspool.core.cluster.allowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import kotlin.math.ceil
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private data class MachineOffer(val type: String, val zone: String, val spot: Boolean)

/**
 * Renting and returning. Waiting work is packed on paper onto machines that are on their way, and what does
 * not fit is rented; empty machines that nothing is expected to need go back.
 */
class Autoscaler(private val core: Scheduler) {
    private val refusedUntil = HashMap<MachineOffer, Duration>()
    private val open = LinkedHashMap<String, ScaleOut>()
    private val retryAt = HashMap<String, Duration>()
    private var serial = 0
    private var lastPlan = Duration.ZERO - 100.seconds
    private val arrivals = HashMap<String, ArrivalRate>()

    private class ArrivalRate(val spec: JobSpec) {
        var since: Duration? = null
        val recent = ArrayDeque<Pair<Duration, Int>>()
    }

    /** Arrivals of critical services; the headroom follows them. */
    fun arrived(job: Job, now: Duration) {
        if (job.spec.kind != JobKind.SERVICE || job.effectivePriority != Priority.CRITICAL) return
        val a = arrivals.getOrPut(job.spec.jobClass) { ArrivalRate(job.spec) }
        if (a.since == null) a.since = now
        a.recent.addLast(now to job.spec.tasks)
        while (a.recent.size > RECENT) a.recent.removeFirst()
    }

    fun answered(r: ScaleOut, got: Int, now: Duration) {
        open.remove(r.request)
        retryAt.remove(r.request)
        if (got < r.count) refusedUntil[MachineOffer(r.type, r.zone, r.spot)] = now + core.config.tuning.refusalPause
    }

    fun unanswered(r: ScaleOut, now: Duration) {
        retryAt[r.request] = now + 2.seconds
    }

    fun tick(now: Duration) {
        for ((id, at) in retryAt.entries.toList()) {
            if (now < at) continue
            retryAt.remove(id)
            // The same request again, which rents nothing twice.
            open[id]?.let(core::act)
        }
    }

    /** A machine on paper. [wantedFor]: why it is to be rented; null if it is on its way already. */
    private class PlannedMachine(val offer: MachineOffer, var available: Resources, val wantedFor: ScaleOutCause?)

    /** Machines that are on their way or wanted, on paper, for one plan. */
    private class PackingPlan(val machinesIn: Map<String, Int>) {
        val virtual = ArrayList<PlannedMachine>()
        private val freshIn = HashMap<String, Int>()

        fun add(v: PlannedMachine) {
            virtual.add(v)
            if (v.wantedFor != null) freshIn.merge(v.offer.zone, 1, Int::plus)
        }

        fun crowd(zone: String): Int = (machinesIn[zone] ?: 0) + (freshIn[zone] ?: 0)
    }

    /** Where one job's tasks go on paper. Rooms only shrink, so what did not fit one task fits none after it. */
    private class PackingCursor(
        val spec: JobSpec,
        private val zone: String? = null,
        /** How many tasks of a spread job each zone may still take. */
        private val zoneRoom: MutableMap<String, Int>? = null,
    ) {
        private var at = 0

        fun takes(z: String): Boolean = (zone == null || zone == z) && (zoneRoom == null || zoneRoom.getOrDefault(z, 0) > 0)

        fun place(paper: PackingPlan): Boolean {
            while (at < paper.virtual.size) {
                val v = paper.virtual[at]
                if (suits(v) && spec.resourceRequest.fits(v.available)) {
                    v.available -= spec.resourceRequest
                    zoneRoom?.merge(v.offer.zone, -1, Int::plus)
                    return true
                }
                at++
            }
            return false
        }

        private fun suits(v: PlannedMachine) =
            (spec.types == null || v.offer.type in spec.types) &&
                (spec.zone == null || spec.zone == v.offer.zone) &&
                (spec.spot || !v.offer.spot) &&
                takes(v.offer.zone)
    }

    fun plan(now: Duration) {
        if (now - lastPlan < PLAN_PERIOD) return
        lastPlan = now
        val paper =
            PackingPlan(
                core.machines.values
                    .groupingBy { it.zone }
                    .eachCount(),
            )
        for (m in core.machines.values) {
            val t = core.types[m.type] ?: continue
            // A machine that was heard and then no more, or that nothing reaches, is not on its way.
            val lost = m.unreachableSince != null || silent(m)
            if (!m.isDeleting &&
                !m.failed &&
                !m.trusted &&
                !lost
            ) {
                paper.add(PlannedMachine(MachineOffer(m.type, m.zone, m.spot), m.free(t), null))
            }
        }
        for (r in open.values) {
            val t = core.types[r.type] ?: continue
            repeat(r.count) { paper.add(PlannedMachine(MachineOffer(r.type, r.zone, r.spot), t.capacity, null)) }
        }
        val waiting =
            core.jobs.values
                .filter { it.waitingCount() > 0 && it.failedOn.size < 3 }
                .sortedWith(compareByDescending<Job> { it.effectivePriority }.thenBy { it.waitingSince })
        val spare = Headroom(now)
        val (arrays, whole) = waiting.partition { it.spec.kind == JobKind.ARRAY }
        for (job in whole) pack(job, paper, now)
        packHeadroom(paper, spare, now)
        packArrays(arrays, paper, now)
        order(paper)
        retireSurplus(waiting, spare, now)
        giveBack(spare, now)
    }

    /** Spare places for critical services, counted once for a plan and then kept up as machines go. */
    private inner class Headroom(now: Duration) {
        private val needed = arrivals.values.associateWith { headroomFor(it, now) }
        private val slots = HashMap<ArrivalRate, Int>()

        init {
            for (a in arrivals.values) slots[a] = core.machines.values.sumOf { slotsOn(a.spec, it) }
        }

        fun missing(a: ArrivalRate): Int = needed.getValue(a) - slots.getValue(a)

        /** Takes the machine's places out of the count if enough remain. */
        fun release(m: Machine): Boolean {
            val lost = arrivals.values.associateWith { slotsOn(it.spec, m) }
            if (lost.any { (a, n) -> n > 0 && slots.getValue(a) - n < needed.getValue(a) }) return false
            for ((a, n) in lost) slots.merge(a, -n, Int::plus)
            return true
        }
    }

    /**
     * Arrays run through their places one after another, so they need new machines only when the backlog would
     * take too long to drain: sooner for cheap spot machines than for ordinary ones.
     */
    private fun packArrays(jobs: List<Job>, paper: PackingPlan, now: Duration) {
        var work = Duration.ZERO
        var places =
            core.jobs.values.sumOf { j -> if (j.spec.kind == JobKind.ARRAY) j.placements.size else 0 } +
                paper.virtual.sumOf { v -> jobs.firstOrNull()?.let { it.resourceRequest.countIn(v.available) } ?: 0 }
        for (job in jobs) {
            if (now - job.knownSince < ARRAY_PATIENCE) continue
            val spec = job.spec
            val each = maxOf(spec.estimatedDuration, 2.seconds)
            val slack = slackOf(job)
            val lead = leadTime(spec)
            val spotPatience = maxOf(lead * 0.5, slack * 0.25) * spotDiscount(spec)
            val ordinaryPatience = maxOf(lead * 1.5, slack * 0.5)
            val cursor = PackingCursor(spec)
            // Places that drain are those of other work; where none is of use to this job, waiting for them has no end.
            val bound = core.config.tuning.waitBound * (if (job.hasStarted) 2 else 1)
            var stuck = job.placements.isEmpty() && (now - job.knownSince > bound || nowhere(spec))
            repeat(minOf(job.waitingCount(), core.remainingQuota(job), MAX_PER_JOB)) {
                if (cursor.place(paper)) return@repeat
                work += each
                val drain = work / maxOf(places, 1)
                val patience = if (spec.spot) spotPatience else minOf(spotPatience, ordinaryPatience)
                if (drain <= patience && !stuck) return@repeat
                val v =
                    fresh(cursor, paper, now, if (spec.spot) true else null, ScaleOutCause.BACKLOG)
                        ?: (
                            if (drain > ordinaryPatience ||
                                stuck
                            ) {
                                fresh(cursor, paper, now, null, ScaleOutCause.BACKLOG)
                            } else {
                                null
                            }
                        )
                        ?: return@repeat
                paper.add(v)
                stuck = false
                places += spec.resourceRequest.countIn(v.available)
                cursor.place(paper)
                work -= each
            }
        }
    }

    /** Whether no machine of the fleet could ever take the task, however empty. */
    private fun nowhere(spec: JobSpec): Boolean =
        core.machines.values.none { m ->
            !m.isDeleting &&
                !m.failed &&
                !m.cordoned &&
                m.preemptionNotice == null &&
                allowed(spec, m) &&
                core.types[m.type].let { it != null && spec.resourceRequest.fits(it.capacity) }
        }

    /** What a spot machine costs of an ordinary one's price: the cheaper, the sooner it is worth renting. */
    private fun spotDiscount(spec: JobSpec): Double {
        if (!spec.spot) return 1.0
        val t = core.types.values.firstOrNull { spec.resourceRequest.fits(it.capacity) } ?: return 1.0
        return (t.spotPrice / t.price.coerceAtLeast(1e-9)).coerceIn(0.0, 1.0)
    }

    /** How long the job may wait for its places and still meet the first aim that it can meet at all. */
    private fun slackOf(job: Job): Duration {
        val spec = job.spec
        job.dueBy?.let { return maxOf(Duration.ZERO, it - job.waitingSince - spec.estimatedDuration) }
        return core.finishBounds[spec.jobClass].orEmpty().map { it - spec.estimatedDuration * 1.15 }.firstOrNull {
            it >=
                Duration.ZERO
        }
            ?: 60.seconds
    }

    /** From the rental request until a task runs. */
    private fun leadTime(spec: JobSpec): Duration {
        val t = core.types.values.firstOrNull { spec.resourceRequest.fits(it.capacity) } ?: return 60.seconds
        return t.boot * 1.1 + (spec.imageGb / t.fetchGbPerS.coerceAtLeast(0.01)).seconds
    }

    private var surplusSince: Duration? = null

    /** Waiting work takes machines back that were about to be returned. */
    private fun keepAgain() {
        for (m in core.machines.values) m.cordoned = false
    }

    /**
     * Machines are kept busy a little each, so none would ever become empty by itself: when the fleet has had
     * more than a cushion of room for a while, the dearest machine with only short work gets no more of it.
     */
    private fun retireSurplus(waiting: List<Job>, spare: Headroom, now: Duration) {
        val ready =
            core.machines.values.filter {
                it.trusted &&
                    !it.isDeleting &&
                    !it.failed &&
                    it.preemptionNotice == null &&
                    it.type in core.types
            }
        val active = ready.filter { !it.cordoned }
        // What waits is load too. In a large fleet something always waits, and most of it for a moment only.
        val load =
            active.sumOf { m -> share(m) } +
                waiting.sumOf { j -> minOf(j.waitingCount(), core.remainingQuota(j)) * shareOf(j.resourceRequest) }
        if (load > active.size) keepAgain()
        if (active.size - load <= 1.0 + active.size * CUSHION) {
            surplusSince = null
            return
        }
        val since = surplusSince ?: now.also { surplusSince = now }
        if (now - since < SURPLUS_WAIT) return
        val candidates =
            active
                .filter { m ->
                    m.placements.values.all { it.job.spec.kind == JobKind.ARRAY } &&
                        m.orphans.isEmpty()
                }.sortedWith(compareByDescending<Machine> { price(it) }.thenBy { share(it) })
        // As many at a time as the fleet is large, so that a large one shrinks as fast as a small one.
        var left = maxOf(1, active.size / RETIRE_SHARE)
        for (m in candidates) {
            if (left == 0) return
            if (!spare.release(m)) continue
            m.cordoned = true
            surplusSince = now - SURPLUS_WAIT + 2.seconds
            left--
        }
    }

    /** How much of the machine is in use, by its fullest resource. */
    private fun share(m: Machine): Double = core.types[m.type]?.let { share(m.used(), it.capacity) } ?: 0.0

    private fun shareOf(resourceRequest: Resources): Double = core.commonType?.let { share(resourceRequest, it.capacity) } ?: 0.0

    private fun share(u: Resources, available: Resources): Double =
        maxOf(
            u.cpus / available.cpus.coerceAtLeast(1e-9),
            if (available.gpus >
                0
            ) {
                u.gpus / available.gpus
            } else {
                0.0
            },
            u.memoryGb / available.memoryGb.coerceAtLeast(1e-9),
        )

    private fun pack(job: Job, paper: PackingPlan, now: Duration) {
        var n = minOf(job.waitingCount(), core.remainingQuota(job), MAX_PER_JOB)
        if (job.spec.kind == JobKind.GANG) {
            if (core.remainingQuota(job) < job.waitingCount()) return
        }
        var zone: String? = null
        if (job.spec.sameZone) {
            zone =
                paper.virtual
                    .groupingBy { it.offer.zone }
                    .eachCount()
                    .maxByOrNull { it.value }
                    ?.key
        }
        val cursor = PackingCursor(job.spec, zone, zoneRoom(job))
        while (n > 0) {
            if (!put(cursor, paper, now, ScaleOutCause.WAITING_WORK)) return
            n--
        }
    }

    /**
     * A machine in a zone that has its share of a spread job already would be of no use to it, however often one is
     * rented.
     */
    private fun zoneRoom(job: Job): MutableMap<String, Int>? {
        if (!job.spec.spread) return null
        val left = core.config.zones.associateWithTo(HashMap()) { job.spec.zoneCap }
        for (p in job.placements.values) core.zoneOf(p.machine)?.let { left.merge(it, -1, Int::plus) }
        return left
    }

    private fun put(cursor: PackingCursor, paper: PackingPlan, now: Duration, cause: ScaleOutCause): Boolean {
        if (cursor.place(paper)) return true
        paper.add(fresh(cursor, paper, now, null, cause) ?: return false)
        return cursor.place(paper)
    }

    /** The cheapest kind of machine for the task that is not known to be refused, in the zone with fewest machines. */
    private fun fresh(cursor: PackingCursor, paper: PackingPlan, now: Duration, onlySpot: Boolean?, cause: ScaleOutCause): PlannedMachine? {
        val spec = cursor.spec
        val offers = ArrayList<Pair<MachineOffer, MachineType>>()
        for (t in core.types.values) {
            if (spec.types != null && t.name !in spec.types || !spec.resourceRequest.fits(t.capacity)) continue
            for (z in t.zones.ifEmpty { core.config.zones }) {
                if (spec.zone != null && spec.zone != z || !cursor.takes(z)) continue
                for (spot in if (spec.spot) listOf(true, false) else listOf(false)) {
                    if (onlySpot != null && spot != onlySpot) continue
                    val o = MachineOffer(t.name, z, spot)
                    if ((refusedUntil[o] ?: Duration.ZERO) <= now) offers.add(o to t)
                }
            }
        }
        val best =
            offers.minWithOrNull(
                compareBy<Pair<MachineOffer, MachineType>> { (o, t) ->
                    (if (o.spot) t.spotPrice else t.price) /
                        maxOf(1, spec.resourceRequest.countIn(t.capacity))
                }.thenBy { (o, _) -> paper.crowd(o.zone) },
            ) ?: return null
        return PlannedMachine(best.first, best.second.capacity, cause)
    }

    /** How many tasks of the class are likely to arrive while another machine could be got ready. */
    private fun headroomFor(a: ArrivalRate, now: Duration): Int {
        val since = a.since ?: return 0
        val window = maxOf(now - since, 60.seconds)
        val recent =
            a.recent.filter {
                now - it.first < window &&
                    now - it.first < 300.seconds &&
                    it.first > since + 5.seconds
            }
        val rate = recent.sumOf { it.second } / (minOf(window, 300.seconds) / 1.seconds)
        val type = core.types.values.firstOrNull { a.spec.resourceRequest.fits(it.capacity) } ?: return 0
        val lead = type.boot * 1.2 + (a.spec.imageGb / type.fetchGbPerS.coerceAtLeast(0.01)).seconds + 5.seconds
        val mean = rate * (lead / 1.seconds) * core.config.tuning.headroom
        return ceil(mean + sqrt(mean)).toInt().coerceAtLeast(1)
    }

    private fun silent(m: Machine) = m.lastHeardAt.let { it != null && core.now - it > core.freshness }

    private fun slotsOn(spec: JobSpec, m: Machine): Int {
        if (m.cordoned ||
            m.isDeleting ||
            m.failed ||
            m.preemptionNotice != null ||
            !m.trusted ||
            m.unreachableSince != null ||
            silent(m) ||
            !allowed(spec, m)
        ) {
            return 0
        }
        val t = core.types[m.type] ?: return 0
        // Room that lower work holds can be freed at once, so it counts as spare.
        var available = m.free(t)
        for (p in m.placements.values) {
            if (p.job.effectivePriority < Priority.URGENT &&
                p.job.spec.kind == JobKind.ARRAY
            ) {
                available += p.job.resourceRequest
            }
        }
        return spec.resourceRequest.countIn(available)
    }

    private fun packHeadroom(paper: PackingPlan, spare: Headroom, now: Duration) {
        for (a in arrivals.values) {
            var missing = spare.missing(a)
            val cursor = PackingCursor(a.spec)
            while (missing-- > 0) if (!put(cursor, paper, now, ScaleOutCause.HEADROOM)) break
        }
    }

    private fun order(paper: PackingPlan) {
        for ((offer, list) in paper.virtual.filter { it.wantedFor != null }.groupBy { it.offer }) {
            if (open.size >= MAX_OPEN) return
            // The token is this leadership's alone, so the name is never used again by anybody.
            val causes =
                list
                    .take(MAX_RENT)
                    .mapNotNull { it.wantedFor }
                    .takeWhile { core.hooks.gate.admits(ProposedOrder(it)) }
                    .groupingBy { it }
                    .eachCount()
            if (causes.isEmpty()) continue
            val r = ScaleOut("r-${core.token}-${++serial}", offer.type, offer.zone, offer.spot, causes)
            open[r.request] = r
            core.rent(r)
        }
    }

    private fun giveBack(spare: Headroom, now: Duration) {
        val idle = ArrayList<Machine>()
        for (m in core.machines.values) {
            if (!m.trusted || m.isDeleting) continue
            if (m.busyTasks() > 0) m.idleSince = null else idle.add(m)
        }
        if (idle.isEmpty()) return
        val gb =
            core.jobs.values.let { jobs ->
                if (jobs.isEmpty()) 0.0 else jobs.sumOf { it.spec.imageGb } / jobs.size
            }
        var left = maxOf(1, idle.size / RETURN_SHARE)
        for (m in idle.sortedByDescending { price(it) }) {
            if (left == 0) return
            val since = m.idleSince ?: now.also { m.idleSince = now }
            if (!m.cordoned && (now - since < idleBound(m, gb) || !spare.release(m))) continue
            core.returnMachine(m)
            left--
        }
    }

    /** Keeping an empty machine is worth as long as getting another one ready would take. */
    private fun idleBound(m: Machine, imageGb: Double): Duration {
        val t = core.types[m.type] ?: return core.config.tuning.idleReturn
        return core.config.tuning.idleReturn + (t.boot + (imageGb / t.fetchGbPerS.coerceAtLeast(0.01)).seconds) * 0.5
    }

    private fun price(m: Machine): Double = core.types[m.type]?.let { if (m.spot) it.spotPrice else it.price } ?: 0.0

    companion object {
        private const val RECENT = 200
        private const val CUSHION = 0.08
        private val SURPLUS_WAIT = 10.seconds
        private const val MAX_RENT = 50
        private const val MAX_OPEN = 12

        /** One in so many is retired, or returned, at a time. */
        private const val RETIRE_SHARE = 40
        private const val RETURN_SHARE = 4
        private const val MAX_PER_JOB = 400
        private val PLAN_PERIOD = 1.seconds
        private val ARRAY_PATIENCE = 2.seconds
    }
}
