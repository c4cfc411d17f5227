package glenspool.core.capacity

import glenspool.core.Rent
import glenspool.core.Scheduler
import glenspool.core.cluster.Machine
import glenspool.core.cluster.allowed
import glenspool.core.lifecycle.Job
import glenspool.core.model.Amount
import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import kotlin.math.ceil
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private data class Offer(val type: String, val zone: String, val spot: Boolean)

/**
 * Renting and returning. Waiting work is packed on paper onto machines that are on their way, and what does
 * not fit is rented; empty machines that nothing is expected to need go back.
 */
class Capacity(private val core: Scheduler) {
    private val refusedUntil = HashMap<Offer, Duration>()
    private val open = LinkedHashMap<String, Rent>()
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
        if (job.spec.kind != JobKind.SERVICE || job.rank != Priority.CRITICAL) return
        val a = arrivals.getOrPut(job.spec.jobClass) { ArrivalRate(job.spec) }
        if (a.since == null) a.since = now
        a.recent.addLast(now to job.spec.tasks)
        while (a.recent.size > RECENT) a.recent.removeFirst()
    }

    fun answered(r: Rent, got: Int, now: Duration) {
        open.remove(r.request)
        retryAt.remove(r.request)
        if (got < r.count) refusedUntil[Offer(r.type, r.zone, r.spot)] = now + core.config.tuning.refusalPause
    }

    fun unanswered(r: Rent, now: Duration) {
        retryAt[r.request] = now + 2.seconds
    }

    fun tick(now: Duration) {
        for ((id, at) in retryAt.entries.toList()) {
            if (now < at) continue
            retryAt.remove(id)
            open[id]?.let { core.rent(it) }
        }
    }

    private class Virtual(val offer: Offer, var room: Amount, val fresh: Boolean)

    fun plan(now: Duration) {
        if (now - lastPlan < PLAN_PERIOD) return
        lastPlan = now
        val virtual = ArrayList<Virtual>()
        for (m in core.machines.values) {
            val t = core.types[m.type] ?: continue
            if (!m.deleting && !m.failed && !m.trusted) virtual.add(Virtual(Offer(m.type, m.zone, m.spot), m.free(t), false))
        }
        for (r in open.values) {
            val t = core.types[r.type] ?: continue
            repeat(r.count) { virtual.add(Virtual(Offer(r.type, r.zone, r.spot), t.room, false)) }
        }
        val waiting = core.jobs.values
            .filter { !it.cancelled && !it.complete && it.waitingCount() > 0 && it.failedOn.size < 3 }
            .sortedWith(compareByDescending<Job> { it.rank }.thenBy { it.submitted })
        if (waiting.isNotEmpty()) keepAgain()
        val (arrays, whole) = waiting.partition { it.spec.kind == JobKind.ARRAY }
        for (job in whole) pack(job, virtual, now)
        packHeadroom(virtual, now)
        packArrays(arrays, virtual, now)
        order(virtual)
        if (waiting.isEmpty()) retireSurplus(now) else surplusSince = null
        giveBack(now)
    }

    /**
     * Arrays run through their places one after another, so they need new machines only when the backlog would
     * take too long to drain: sooner for cheap spot machines than for ordinary ones.
     */
    private fun packArrays(jobs: List<Job>, virtual: MutableList<Virtual>, now: Duration) {
        var work = Duration.ZERO
        var places = core.jobs.values.sumOf { j -> if (j.spec.kind == JobKind.ARRAY) j.placements.size else 0 } +
            virtual.sumOf { v -> jobs.firstOrNull()?.let { it.need.countIn(v.room) } ?: 0 }
        for (job in jobs) {
            if (now - job.seenAt < ARRAY_PATIENCE) continue
            val spec = job.spec
            val each = maxOf(spec.estimate, 2.seconds)
            val slack = slackOf(job)
            val lead = leadTime(spec)
            val spotPatience = maxOf(lead * 0.5, slack * 0.25) * spotDiscount(spec)
            val ordinaryPatience = maxOf(lead * 1.5, slack * 0.5)
            repeat(minOf(job.waitingCount(), core.teamRoom(job), MAX_PER_JOB)) {
                if (place(spec, virtual, null)) return@repeat
                work += each
                val drain = work / maxOf(places, 1)
                val patience = if (spec.spot) spotPatience else minOf(spotPatience, ordinaryPatience)
                if (drain <= patience) return@repeat
                val v = fresh(spec, virtual, null, now, if (spec.spot) true else null)
                    ?: (if (drain > ordinaryPatience) fresh(spec, virtual, null, now, null) else null)
                    ?: return@repeat
                virtual.add(v)
                places += spec.need.countIn(v.room)
                place(spec, virtual, null)
                work -= each
            }
        }
    }

    /** What a spot machine costs of an ordinary one's price: the cheaper, the sooner it is worth renting. */
    private fun spotDiscount(spec: JobSpec): Double {
        if (!spec.spot) return 1.0
        val t = core.types.values.firstOrNull { spec.need.fits(it.room) } ?: return 1.0
        return (t.spotPrice / t.price.coerceAtLeast(1e-9)).coerceIn(0.0, 1.0)
    }

    /** How long the job may wait for its places and still meet the first aim that it can meet at all. */
    private fun slackOf(job: Job): Duration {
        val spec = job.spec
        val deadline = spec.deadline
        if (deadline != null) return maxOf(Duration.ZERO, deadline - spec.estimate)
        return core.finishBounds[spec.jobClass].orEmpty().map { it - spec.estimate * 1.15 }.firstOrNull { it >= Duration.ZERO } ?: 60.seconds
    }

    /** From the rental request until a task runs. */
    private fun leadTime(spec: JobSpec): Duration {
        val t = core.types.values.firstOrNull { spec.need.fits(it.room) } ?: return 60.seconds
        return t.boot * 1.1 + (spec.imageGb / t.fetchGbPerS.coerceAtLeast(0.01)).seconds
    }

    private var surplusSince: Duration? = null

    /** Waiting work takes machines back that were about to be returned. */
    private fun keepAgain() {
        for (m in core.machines.values) m.retiring = false
    }

    /**
     * Machines are kept busy a little each, so none would ever become empty by itself: when the fleet has had
     * more than a cushion of room for a while, the dearest machine with only short work gets no more of it.
     */
    private fun retireSurplus(now: Duration) {
        val ready = core.machines.values.filter { it.trusted && !it.deleting && !it.failed && it.notice == null && it.type in core.types }
        val active = ready.filter { !it.retiring }
        val load = active.sumOf { m -> share(m) }
        if (active.size - load <= 1.0 + active.size * CUSHION) {
            surplusSince = null
            return
        }
        val since = surplusSince ?: now.also { surplusSince = now }
        if (now - since < SURPLUS_WAIT) return
        val candidates = active.filter { m -> m.placements.values.all { it.job.spec.kind == JobKind.ARRAY } && m.strays.isEmpty() }
            .sortedWith(compareByDescending<Machine> { price(it) }.thenBy { share(it) })
        for (m in candidates) {
            m.retiring = true
            if (arrivals.values.none { a -> allowed(a.spec, m) && freeSlots(a.spec) < headroomFor(a, now) }) {
                surplusSince = now - SURPLUS_WAIT + 2.seconds
                return
            }
            m.retiring = false
        }
    }

    /** How much of the machine is in use, by its fullest resource. */
    private fun share(m: Machine): Double {
        val t = core.types[m.type]?.room ?: return 0.0
        val u = m.used()
        return maxOf(u.cpus / t.cpus.coerceAtLeast(1e-9), if (t.gpus > 0) u.gpus / t.gpus else 0.0, u.memoryGb / t.memoryGb.coerceAtLeast(1e-9))
    }

    private fun pack(job: Job, virtual: MutableList<Virtual>, now: Duration) {
        var n = minOf(job.waitingCount(), core.teamRoom(job), MAX_PER_JOB)
        if (job.spec.kind == JobKind.GANG) {
            if (core.teamRoom(job) < job.waitingCount()) return
        }
        var zone: String? = null
        if (job.spec.sameZone) zone = virtual.groupingBy { it.offer.zone }.eachCount().maxByOrNull { it.value }?.key
        while (n > 0) {
            if (!put(job.spec, virtual, zone, now)) return
            n--
        }
    }

    private fun put(spec: JobSpec, virtual: MutableList<Virtual>, zone: String?, now: Duration): Boolean {
        if (place(spec, virtual, zone)) return true
        virtual.add(fresh(spec, virtual, zone, now, null) ?: return false)
        return place(spec, virtual, zone)
    }

    private fun place(spec: JobSpec, virtual: List<Virtual>, zone: String?): Boolean {
        val v = virtual.firstOrNull { v ->
            (spec.types == null || v.offer.type in spec.types) &&
                (spec.zone == null || spec.zone == v.offer.zone) &&
                (spec.spot || !v.offer.spot) &&
                (zone == null || zone == v.offer.zone) &&
                spec.need.fits(v.room)
        } ?: return false
        v.room -= spec.need
        return true
    }

    /** The cheapest kind of machine for the task that is not known to be refused, in the zone with fewest machines. */
    private fun fresh(spec: JobSpec, virtual: List<Virtual>, zone: String?, now: Duration, onlySpot: Boolean?): Virtual? {
        val offers = ArrayList<Pair<Offer, MachineType>>()
        for (t in core.types.values) {
            if (spec.types != null && t.name !in spec.types || !spec.need.fits(t.room)) continue
            for (z in t.zones.ifEmpty { core.config.zones }) {
                if (spec.zone != null && spec.zone != z || zone != null && zone != z) continue
                for (spot in if (spec.spot) listOf(true, false) else listOf(false)) {
                    if (onlySpot != null && spot != onlySpot) continue
                    val o = Offer(t.name, z, spot)
                    if ((refusedUntil[o] ?: Duration.ZERO) <= now) offers.add(o to t)
                }
            }
        }
        val counts = core.machines.values.groupingBy { it.zone }.eachCount()
        val best = offers.minWithOrNull(
            compareBy<Pair<Offer, MachineType>> { (o, t) -> (if (o.spot) t.spotPrice else t.price) / maxOf(1, spec.need.countIn(t.room)) }
                .thenBy { (o, _) -> (counts[o.zone] ?: 0) + virtual.count { it.fresh && it.offer.zone == o.zone } },
        ) ?: return null
        return Virtual(best.first, best.second.room, true)
    }

    /** How many tasks of the class are likely to arrive while another machine could be got ready. */
    private fun headroomFor(a: ArrivalRate, now: Duration): Int {
        val since = a.since ?: return 0
        val window = maxOf(now - since, 60.seconds)
        val recent = a.recent.filter { now - it.first < window && now - it.first < 300.seconds && it.first > since + 5.seconds }
        val rate = recent.sumOf { it.second } / (minOf(window, 300.seconds) / 1.seconds)
        val type = core.types.values.firstOrNull { a.spec.need.fits(it.room) } ?: return 0
        val lead = type.boot * 1.2 + (a.spec.imageGb / type.fetchGbPerS.coerceAtLeast(0.01)).seconds + 5.seconds
        val mean = rate * (lead / 1.seconds) * core.config.tuning.headroom
        return ceil(mean + sqrt(mean)).toInt().coerceIn(1, 16)
    }

    private fun freeSlots(spec: JobSpec, skip: Machine? = null): Int {
        var n = 0
        for (m in core.machines.values) {
            if (m === skip || m.retiring || m.deleting || m.failed || m.notice != null || !m.trusted || !allowed(spec, m)) continue
            val t = core.types[m.type] ?: continue
            // Room that lower work holds can be freed at once, so it counts as spare.
            var room = m.free(t)
            for (p in m.placements.values) if (p.job.rank < Priority.URGENT && p.job.spec.kind == JobKind.ARRAY) room += p.job.need
            while (spec.need.fits(room) && n < 1000) {
                room -= spec.need
                n++
            }
        }
        return n
    }

    private fun packHeadroom(virtual: MutableList<Virtual>, now: Duration) {
        for (a in arrivals.values) {
            var missing = headroomFor(a, now) - freeSlots(a.spec)
            while (missing-- > 0) if (!put(a.spec, virtual, null, now)) break
        }
    }

    private fun order(virtual: List<Virtual>) {
        for ((offer, list) in virtual.filter { it.fresh }.groupBy { it.offer }) {
            if (open.size >= MAX_OPEN) return
            // The token is this leadership's alone, so the name is never used again by anybody.
            val r = Rent("r-${core.token}-${++serial}", offer.type, offer.zone, offer.spot, minOf(list.size, MAX_RENT))
            open[r.request] = r
            core.rent(r)
        }
    }

    private fun giveBack(now: Duration) {
        for (m in core.machines.values.sortedByDescending { price(it) }) {
            if (!m.trusted || m.deleting) continue
            if (m.busyTasks() > 0) {
                m.idleSince = null
                continue
            }
            val since = m.idleSince ?: now.also { m.idleSince = now }
            if (!m.retiring && now - since < idleBound(m)) continue
            if (!m.retiring && arrivals.values.any { a -> allowed(a.spec, m) && freeSlots(a.spec, m) < headroomFor(a, now) }) continue
            core.returnMachine(m)
            return
        }
    }

    /** Keeping an empty machine is worth as long as getting another one ready would take. */
    private fun idleBound(m: Machine): Duration {
        val t = core.types[m.type] ?: return core.config.tuning.idleReturn
        val images = core.jobs.values.map { it.spec.imageGb }
        val gb = if (images.isEmpty()) 0.0 else images.average()
        return core.config.tuning.idleReturn + (t.boot + (gb / t.fetchGbPerS.coerceAtLeast(0.01)).seconds) * 0.5
    }

    private fun price(m: Machine): Double = core.types[m.type]?.let { if (m.spot) it.spotPrice else it.price } ?: 0.0

    companion object {
        private const val RECENT = 200
        private const val CUSHION = 0.08
        private val SURPLUS_WAIT = 10.seconds
        private const val MAX_RENT = 50
        private const val MAX_OPEN = 6
        private const val MAX_PER_JOB = 400
        private val PLAN_PERIOD = 1.seconds
        private val ARRAY_PATIENCE = 2.seconds
    }
}
