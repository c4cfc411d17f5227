package glenspool.core

import glenspool.core.cluster.Machine
import glenspool.core.cluster.isAllowed
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.Placement
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resource
import glenspool.core.model.Resources
import glenspool.core.placement.PlacementRound
import glenspool.core.placement.PlacementView
import glenspool.core.placement.bottleneck
import glenspool.simulation.bigType
import glenspool.simulation.job
import glenspool.simulation.leanType
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.Random
import kotlin.time.Duration

/** Rounds on random fleets against a slow plain model, which looks at every task, machine and rule in turn. */
class PlacementRoundModelTest {
    private class Plain(val limit: Map<String, Int>) : PlacementView {
        override val types = listOf(bigType, leanType).associateBy { it.name }
        override val commonType = bigType
        override val resourceFactor = 2.0
        override val workCounters = WorkCounters()
        val placed = ArrayList<Triple<Job, Int, Machine>>()
        val all = ArrayList<Machine>()

        override fun zoneOf(machine: String) = all.first { it.id == machine }.zone

        override fun remainingQuota(job: Job) =
            (limit[job.spec.team] ?: 1000) - placed.count { it.first.spec.team == job.spec.team }

        override fun isWithinGuarantee(job: Job) = false

        override fun requiresCachedImage(job: Job) = job.spec.image == "i0"

        override fun fastestType(jobClass: String): String? = null

        override fun place(job: Job, task: Int, machine: Machine, attempt: Long?) {
            val p = Placement(job, task, attempt ?: 1, machine.id, Duration.ZERO)
            job.place(p, maySplit = false)
            machine.workload.place(p)
            placed.add(Triple(job, task, machine))
        }

        override fun newGangAttempt(gang: Job) = 1L

        override fun gangPlaced(gang: Job) = Unit

        override fun latestStart(job: Job) = Duration.ZERO

        override fun recordCapacity(job: Job) = 50

        override fun isAvoided(job: Job, machine: Machine) = machine.id in job.failedOn

        override fun costPenalty(job: Job, machine: Machine) = if (job.spec.spot && !machine.spot) 1 else 0
    }

    private fun randomSpec(r: Random, n: Int): JobSpec {
        val kind = JobKind.entries[r.nextInt(3)]
        val gpu = if (r.nextBoolean()) 1.0 + r.nextInt(2) else 0.0
        return job(
            "j$n", kind, 1 + r.nextInt(6), Resources(1.0 + r.nextInt(6), gpu, 2.0 + r.nextInt(30)), "t${r.nextInt(3)}",
            Priority.entries[
                r
                    .nextInt(4),
            ],
            types = listOf(null, null, listOf("big"), listOf("lean"))[r.nextInt(4)],
            zone =
                listOf(null, null, "a", "b")[
                    r
                        .nextInt(4),
                ],
            sameZone = kind == JobKind.GANG && r.nextBoolean(), spread = kind == JobKind.SERVICE && r.nextBoolean(),
            spot =
                r
                    .nextBoolean(),
            image = "i${r.nextInt(3)}",
        )
    }

    private fun one(seed: Long): Pair<Plain, List<Job>> {
        val r = Random(seed)
        val view = Plain(mapOf("t1" to 4, "t2" to 9))
        for (i in 0 until 1 + r.nextInt(8)) {
            val m =
                Machine(
                    "m$i",
                    if (r.nextInt(3) ==
                        0
                    ) {
                        "lean"
                    } else {
                        "big"
                    },
                    if (r.nextBoolean()) "a" else "b", r.nextBoolean(), Duration.ZERO,
                )
            if (r.nextBoolean()) m.imageCache.used("i${r.nextInt(3)}", 1.0, 100.0)
            view.all.add(m)
        }
        val jobs =
            List(1 + r.nextInt(12)) { Job(JobRecord(randomSpec(r, it), Duration.ZERO, 0, BitSet(), emptyList()), 1) }
        if (r.nextInt(4) == 0) jobs[0].failedOn.add("m0")
        PlacementRound(view, view.all, jobs).run { false }
        return view to jobs
    }

    /** The rules for one more task of the job on the machine, said as plainly as possible. */
    private fun legal(view: Plain, job: Job, m: Machine, others: List<Triple<Job, Int, Machine>>): Boolean {
        val s = job.spec
        val mates = others.filter { it.first === job }.map { it.third.zone }
        val used =
            others.filter { it.third === m }.map { it.first.resourceRequest }.fold(Resources.ZERO) { x, y ->
                x +
                    y
            }
        return isAllowed(s, m) &&
            m.id !in job.failedOn &&
            (used + s.resourceRequest).fitsIn(view.types.getValue(m.type).capacity) &&
            (!s.sameZone || mates.all { it == m.zone }) &&
            (!s.spread || mates.count { it == m.zone } + 1 <= (s.tasks + 1) / 2) &&
            others.count { it.first.spec.team == s.team } < (view.limit[s.team] ?: 1000)
    }

    @Test
    fun `every placement is legal at its moment, and no legal one is left out`() {
        var placed = 0
        for (seed in 1L..400L) {
            val (view, jobs) = one(seed)
            placed += view.placed.size
            for ((i, p) in view.placed.withIndex()) {
                assertTrue(legal(view, p.first, p.third, view.placed.subList(0, i)), "seed $seed: ${p.first.spec} on ${p.third.id}")
            }
            assertEquals(
                view.placed.size,
                view.placed
                    .map { it.first.spec.id to it.second }
                    .distinct()
                    .size,
            )
            for (j in jobs) {
                if (j.spec.kind == JobKind.GANG) {
                    assertTrue(j.placements.size == 0 || j.placements.size == j.spec.tasks, "seed $seed: half a gang")
                } else if (j.waitingCount() > 0) {
                    val missed = view.all.firstOrNull { legal(view, j, it, view.placed) }
                    assertEquals(null, missed?.id, "seed $seed: ${j.spec} could run")
                }
            }
        }
        assertTrue(placed > 2000)
    }

    @Test
    fun `the bottleneck is the GPU if asked for, else what is asked for most by share`() {
        assertEquals(Resource.GPU, bottleneck(Resources(8.0, 1.0, 64.0), bigType, 2.0))
        assertEquals(Resource.MEMORY, bottleneck(Resources(1.0, 0.0, 32.0), bigType, 2.0))
        assertEquals(Resource.CPU, bottleneck(Resources(4.0, 0.0, 32.0), bigType, 2.0))
        assertEquals(Resource.CPU, bottleneck(Resources(1.0, 0.0, 8.0), bigType, 2.0))
        assertEquals(Resource.CPU, bottleneck(Resources(1.0, 0.0, 60.0), null, 2.0))
    }

    @Test
    fun `a slow machine is taken last`() {
        val view = Plain(emptyMap())
        val slow =
            Machine("slow", "big", "a", false, Duration.ZERO).also { slow ->
                repeat(2) { slow.health.taskCompleted(5.0) }
            }
        val sound = Machine("sound", "big", "a", false, Duration.ZERO)
        view.all += listOf(slow, sound)
        val jobs =
            List(2) {
                Job(JobRecord(job("a$it", resourceRequest = Resources(10.0, 3.0, 40.0)), Duration.ZERO, 0, BitSet(), emptyList()), 1)
            }
        PlacementRound(view, view.all, jobs).run { false }
        assertEquals(listOf("sound", "slow"), jobs.map { it.placements.getValue(0).machine })
    }

    @Test
    fun `a cached image wins over a larger or emptier machine`() {
        val view = Plain(emptyMap())
        val full = Machine("full", "big", "a", false, Duration.ZERO)
        val warm = Machine("warm", "big", "a", false, Duration.ZERO).also { it.imageCache.used("img", 2.0, 100.0) }
        view.all += listOf(full, warm)
        val other = Job(JobRecord(job("o", tasks = 1, image = "x"), Duration.ZERO, 0, BitSet(), emptyList()), 1)
        view.place(other, 0, warm, null)
        val j = Job(JobRecord(job("a"), Duration.ZERO, 0, BitSet(), emptyList()), 1)
        PlacementRound(view, view.all, listOf(j)).run { false }
        assertEquals("warm", j.placements.getValue(0).machine)
    }
}
