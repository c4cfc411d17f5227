package glenspool.core.placement

import glenspool.core.WorkCounters
import glenspool.core.cluster.Machine
import glenspool.core.cluster.allowed
import glenspool.core.cluster.zoneAllows
import glenspool.core.lifecycle.Job
import glenspool.core.model.JobKind
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Resource
import glenspool.core.model.Resources
import java.util.PriorityQueue
import kotlin.time.Duration

/** The bottleneck resource of a task, after DESIGN: GPU if it asks for one, else memory or CPU by share. */
fun bottleneck(resourceRequest: Resources, common: MachineType?, factor: Double): Resource =
    when {
        resourceRequest.gpus > 0.0 -> Resource.GPU
        common != null && resourceRequest.memoryGb / common.capacity.memoryGb > factor * (resourceRequest.cpus / common.capacity.cpus) -> Resource.MEMORY
        else -> Resource.CPU
    }

/** What a round may look at, and the one thing it does: [place]. */
interface PlacementView {
    val types: Map<String, MachineType>
    val commonType: MachineType?
    val factor: Double
    val workCounters: WorkCounters

    fun zoneOf(machine: String): String?

    /** How many more tasks of the job its team's limit allows. */
    fun remainingQuota(job: Job): Int

    /** Whether the job's team stays within its guarantee with one more task of the job. */
    fun withinGuarantee(job: Job): Boolean

    /** Whether the job's aim can be met only where its image is cached. */
    fun requiresCachedImage(job: Job): Boolean

    fun fastestType(jobClass: String): String?

    fun place(job: Job, task: Int, machine: Machine, attempt: Long?)

    fun newGangAttempt(job: Job): Long

    /** All tasks of the gang have their places. */
    fun gangPlaced(job: Job)

    /** A time that orders jobs of the same priority: who should start first. */
    fun order(job: Job): Duration

    /** How many tasks of the job may be placed at once, so that its record stays within a value's limit. */
    fun recordCapacity(job: Job): Int

    /** Whether the job avoids this machine, because it failed there. */
    fun avoids(job: Job, machine: Machine): Boolean

    /** Extra cost of using the machine for this job, 0 is best: keeps spot-able work off dear machines. */
    fun costPenalty(job: Job, machine: Machine): Int
}

/**
 * One round of matching. Priorities are served from the top; within one, gangs are placed whole first, then
 * machine queues per resource are drawn from in turn, each largest capacity, then most free room first, and
 * each machine takes a waiting task that is bound by that resource.
 */
class PlacementRound(private val view: PlacementView, machines: List<Machine>, private val jobs: List<Job>) {
    private val free = LinkedHashMap<Machine, Resources>()
    private val reservedMachines = HashSet<Machine>()

    /** All that are ready, also those that are full now: a gang may have their room held as it becomes free. */
    private val all = machines.filter { it.type in view.types }
    private val suits = HashMap<Job, Suitability>()

    init {
        // A full machine takes no part: with the smallest waiting task in mind, most of a busy fleet drops out here.
        val cpus = jobs.minOfOrNull { it.resourceRequest.cpus } ?: 0.0
        val gpus = jobs.minOfOrNull { it.resourceRequest.gpus } ?: 0.0
        val memory = jobs.minOfOrNull { it.resourceRequest.memoryGb } ?: 0.0
        val least = Resources(cpus, gpus, memory)
        for (m in all) view.types[m.type]?.let { t -> m.free(t).let { if (least.fits(it)) free[m] = it } }
    }

    /** Gangs that could not be placed and have waited past the bound have machines [reservedMachines] for them. */
    fun run(holdFor: (Job) -> Boolean) {
        for (priority in Priority.entries.asReversed()) {
            val keyed =
                jobs
                    .filter {
                        it.effectivePriority == priority
                    }.map { Triple(!view.withinGuarantee(it), view.order(it), it) }
            if (keyed.isEmpty()) continue
            val level =
                keyed
                    .sortedWith(
                        compareBy<Triple<Boolean, Duration, Job>> {
                            it.first
                        }.thenBy { it.second }.thenBy { it.third.spec.id },
                    ).map { it.third }
            for (job in level) {
                if (job.spec.kind == JobKind.GANG && !placeGang(job) && holdFor(job)) hold(job)
            }
            matchTasks(level.filter { it.spec.kind != JobKind.GANG })
        }
    }

    /** Whole or not at all: the plan is made on paper first. */
    private fun placeGang(job: Job): Boolean {
        if (job.placements.isNotEmpty()) return false
        val tasks = job.waiting(job.spec.tasks)
        if (tasks.size < job.spec.tasks - job.done.cardinality() || tasks.isEmpty()) return true
        if (view.remainingQuota(job) < tasks.size || view.recordCapacity(job) < tasks.size) return true
        val zones: List<String?> = if (job.spec.sameZone) free.keys.map { it.zone }.distinct() else listOf(null)
        val plan =
            zones.mapNotNull { planGang(job, tasks, it) }.minByOrNull { plan ->
                plan.count { !it.second.hasImage(job.spec.image) }
            }
                ?: return false
        val attempt = view.newGangAttempt(job)
        for ((task, m) in plan) {
            view.place(job, task, m, attempt)
            take(m, job)
        }
        view.gangPlaced(job)
        return true
    }

    private fun take(m: Machine, job: Job) {
        free[m] = free.getValue(m) - job.resourceRequest
        // Its image is on its way there now, and the machine is no longer empty: that may suit others better.
        for (s in suits.values) s.changed(m)
    }

    private fun planGang(job: Job, tasks: List<Int>, zone: String?): List<Pair<Int, Machine>>? {
        val available = HashMap<Machine, Resources>()
        val perZone = HashMap<String, Int>()
        val plan = ArrayList<Pair<Int, Machine>>()
        val fastest = view.fastestType(job.spec.jobClass)
        val fitting =
            free
                .filter { (m, r) ->
                    m !in reservedMachines &&
                        job.resourceRequest.fits(r) &&
                        allowed(job.spec, m) &&
                        (zone == null || m.zone == zone) &&
                        !view.avoids(job, m)
                }.keys
        if (fitting.sumOf { job.resourceRequest.countIn(free.getValue(it)) } < tasks.size) return null
        val candidates =
            fitting.sortedWith(
                compareBy<Machine> { if (it.type == fastest) 0 else 1 }
                    .thenBy { if (it.hasImage(job.spec.image)) 0 else 1 }
                    .thenBy { view.costPenalty(job, it) }
                    .thenBy { it.slowness }
                    .thenByDescending { free.getValue(it).gpus },
            )
        val left = ArrayDeque(tasks)
        for (m in candidates) {
            var r = available[m] ?: free.getValue(m)
            while (left.isNotEmpty() && job.resourceRequest.fits(r) && (perZone[m.zone] ?: 0) < job.spec.zoneCap) {
                plan.add(left.removeFirst() to m)
                perZone.merge(m.zone, 1, Int::plus)
                r -= job.resourceRequest
                available[m] = r
            }
            if (left.isEmpty()) return plan
        }
        return null
    }

    /** Keeps machines that the gang could use from lower work in this round, so that they become free for it. */
    private fun hold(job: Job) {
        var wanted = job.waitingCount()
        val usable =
            all.filter {
                it !in reservedMachines &&
                    allowed(job.spec, it) &&
                    !view.avoids(job, it) &&
                    job.resourceRequest.fits(view.types.getValue(it.type).capacity)
            }
        val zone =
            if (job.spec.sameZone) {
                usable
                    .groupingBy { it.zone }
                    .eachCount()
                    .maxByOrNull { it.value }
                    ?.key
            } else {
                null
            }
        for (m in usable.sortedBy { it.busyTasks() }) {
            if (wanted <= 0) return
            if (zone != null && m.zone != zone) continue
            reservedMachines.add(m)
            wanted -= job.resourceRequest.countIn(view.types.getValue(m.type).capacity)
        }
    }

    private fun matchTasks(level: List<Job>) {
        if (level.isEmpty()) return
        val byResource = level.groupBy { bottleneck(it.resourceRequest, view.commonType, view.factor) }
        for (pass in listOf(true, false)) {
            val waiting = byResource.mapValues { (_, l) -> l.filterTo(ArrayList()) { it.waitingCount() > 0 } }
            val queues =
                Resource.entries.associateWith { r ->
                    if (waiting[r].isNullOrEmpty()) {
                        ArrayDeque()
                    } else {
                        ArrayDeque(
                            free.keys
                                .filter { m -> m !in reservedMachines && free.getValue(m).of(r) > Resources.EPS }
                                .sortedWith(
                                    compareByDescending<Machine> {
                                        view.types
                                            .getValue(it.type)
                                            .capacity
                                            .of(r)
                                    }.thenByDescending { free.getValue(it).of(r) },
                                ),
                        )
                    }
                }
            while (queues.values.any { it.isNotEmpty() }) {
                for (r in Resource.entries) {
                    val q = queues.getValue(r)
                    val m = q.removeFirstOrNull() ?: continue
                    val list = waiting[r]
                    if (list.isNullOrEmpty()) {
                        q.clear()
                        continue
                    }
                    if (matchOne(m, list, pass) && free.getValue(m).of(r) > Resources.EPS) q.addLast(m)
                }
            }
        }
    }

    /**
     * Gives the machine one task. In the first pass only if no other machine suits the task better; in the second,
     * of the jobs next in order, one whose image is here goes first, since each needless fetch keeps room from work.
     */
    private fun matchOne(m: Machine, jobs: MutableList<Job>, preferredOnly: Boolean): Boolean {
        val available = free.getValue(m)
        var chosen: Job? = null
        var passed = 0
        val each = jobs.iterator()
        while (each.hasNext()) {
            val job = each.next()
            // What no machine can do for the job now, no later draw of this round can.
            if (job.waitingCount() <= 0 ||
                view.remainingQuota(job) <= 0 ||
                view.recordCapacity(job) <= 0 ||
                job.waiting(1).isEmpty()
            ) {
                each.remove()
                continue
            }
            if (!fits(job, m, available)) continue
            if (preferredOnly) {
                if (!preferred(job, m)) continue
                chosen = job
                break
            }
            if (chosen == null) chosen = job
            if (m.hasImage(job.spec.image)) {
                chosen = job
                break
            }
            if (++passed >= LOOK_AHEAD) break
        }
        val job = chosen ?: return false
        view.place(job, job.waiting(1).first(), m, null)
        take(m, job)
        return true
    }

    private fun fits(job: Job, m: Machine, available: Resources): Boolean =
        job.resourceRequest.fits(available) &&
            !(m.cordoned && job.spec.kind == JobKind.ARRAY) &&
            allowed(job.spec, m) &&
            !view.avoids(job, m) &&
            zoneAllows(job, m.zone, view::zoneOf)

    /** The fastest type, then a cached image, then a machine that fits the job's price and spread. */
    private fun preferred(job: Job, m: Machine): Boolean = suits.getOrPut(job) { Suitability(job) }.best() >= score(job, m)

    /**
     * How well the machines with room suit one job, best first. A machine that changed is entered anew and its old
     * entries are passed over, so that a draw need not look at every machine.
     */
    private inner class Suitability(private val job: Job) {
        private inner class Entry(val score: Int, val machine: Machine)

        private val queue = PriorityQueue<Entry>(11) { a, b -> a.score.compareTo(b.score) }

        init {
            for (m in free.keys) enter(m)
        }

        private fun enter(m: Machine) {
            if (usable(m)) queue.add(Entry(score(job, m), m))
        }

        private fun usable(m: Machine): Boolean =
            !(m.cordoned && job.spec.kind == JobKind.ARRAY) &&
                m !in reservedMachines &&
                job.resourceRequest.fits(free.getValue(m)) &&
                allowed(job.spec, m) &&
                !view.avoids(job, m)

        fun changed(m: Machine) = enter(m)

        fun best(): Int {
            while (true) {
                val top = queue.peek() ?: return Int.MAX_VALUE
                if (usable(top.machine) && score(job, top.machine) == top.score) return top.score
                queue.poll()
            }
        }
    }

    private fun score(job: Job, m: Machine): Int {
        view.workCounters.placementScores++
        val fastest = view.fastestType(job.spec.jobClass)
        var s = if (fastest == null || m.type == fastest) 0 else 1000
        s +=
            if (m.hasImage(job.spec.image)) {
                0
            } else if (m.willHaveImage(job.spec.image)) {
                50
            } else {
                100
            }
        s += view.costPenalty(job, m) * 60
        if (job.spec.kind == JobKind.SERVICE && view.requiresCachedImage(job)) {
            // Spread out, such services leave room and their images on many machines for those to come.
            s += 5 * m.services
        } else if (m.busyTasks() == 0 || m.cordoned) {
            // An empty machine is worth most whole: to a gang, or returned.
            s += 20
        }
        if (job.spec.kind == JobKind.SERVICE) s += m.placements.values.count { it.job === job }
        if (m.slowness > 1.5) s += 400
        return s
    }

    private companion object {
        /** So many jobs without their image here may be passed over for one that has it. */
        const val LOOK_AHEAD = 6
    }
}
