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

/** Compares rounds on random fleets with a slow, simple model, which checks every task, machine and rule in turn. */
class PlacementRoundModelTest {
    private class PlacedTask(val job: Job, val task: Int, val machine: Machine) {
        val team get() = job.spec.team
    }

    private class StubPlacementView(private val quotas: Map<String, Int>) : PlacementView {
        override val types = listOf(bigType, leanType).associateBy { it.name }
        override val mostCommonType = bigType
        override val resourceFactor = 2.0
        override val workCounters = WorkCounters()
        val placed = ArrayList<PlacedTask>()
        val machines = ArrayList<Machine>()

        fun quotaOf(team: String): Int = quotas[team] ?: 1000

        override fun zoneOf(machine: String) = machines.first { it.id == machine }.zone

        override fun remainingQuota(job: Job) = quotaOf(job.spec.team) - placed.count { it.team == job.spec.team }

        override fun isWithinGuarantee(job: Job) = false

        override fun requiresCachedImage(job: Job) = job.spec.image == "i0"

        override fun fastestType(jobClass: String): String? = null

        override fun place(job: Job, task: Int, machine: Machine, attempt: Long?) {
            val placement = Placement(job, task, attempt ?: 1, machine.id, Duration.ZERO)
            job.addPlacement(placement, maySplit = false)
            machine.workload.addPlacement(placement)
            placed.add(PlacedTask(job, task, machine))
        }

        override fun newGangAttempt(gang: Job) = 1L

        override fun gangPlaced(gang: Job) = Unit

        override fun latestStart(job: Job) = Duration.ZERO

        override fun recordCapacity(job: Job) = 50

        override fun isAvoided(job: Job, machine: Machine) = machine.id in job.machinesWithFailures

        override fun costPenalty(job: Job, machine: Machine) = if (job.spec.spot && !machine.spot) 1 else 0
    }

    /** A placement round on a random fleet with random jobs. The constructor runs the round. */
    private class RandomRound(seed: Long) {
        private val random = Random(seed)
        val view = StubPlacementView(mapOf("t1" to 4, "t2" to 9))
        val jobs: List<Job>

        init {
            for (number in 0 until 1 + random.nextInt(8)) view.machines.add(randomMachine("m$number"))
            jobs = List(1 + random.nextInt(12)) { newJob(randomSpec("j$it")) }
            if (random.nextInt(4) == 0) jobs[0].machinesWithFailures.add("m0")
            PlacementRound(view, view.machines, jobs).run { false }
        }

        private fun randomMachine(id: String): Machine {
            val type = if (random.nextInt(3) == 0) "lean" else "big"
            val zone = if (random.nextBoolean()) "a" else "b"
            val machine = Machine(id, type, zone, random.nextBoolean(), Duration.ZERO)
            if (random.nextBoolean()) machine.imageCache.recordUse("i${random.nextInt(3)}", 1.0, 100.0)
            return machine
        }

        private fun randomSpec(id: String): JobSpec {
            val kind = JobKind.entries[random.nextInt(3)]
            val gpus = if (random.nextBoolean()) 1.0 + random.nextInt(2) else 0.0
            return job(
                id, kind, 1 + random.nextInt(6),
                Resources(1.0 + random.nextInt(6), gpus, 2.0 + random.nextInt(30)),
                "t${random.nextInt(3)}", Priority.entries[random.nextInt(4)],
                types = listOf(null, null, listOf("big"), listOf("lean"))[random.nextInt(4)],
                zone = listOf(null, null, "a", "b")[random.nextInt(4)],
                sameZone = kind == JobKind.GANG && random.nextBoolean(),
                spread = kind == JobKind.SERVICE && random.nextBoolean(),
                spot = random.nextBoolean(),
                image = "i${random.nextInt(3)}",
            )
        }
    }

    /** Whether the rules allow one more task of the job on the machine, in the simplest possible form. */
    private fun isLegal(view: StubPlacementView, job: Job, machine: Machine, placed: List<PlacedTask>): Boolean {
        val spec = job.spec
        val zones = placed.filter { it.job === job }.map { it.machine.zone }
        val used =
            placed
                .filter { it.machine === machine }
                .map { it.job.resourceRequest }
                .fold(Resources.ZERO, Resources::plus)
        return isAllowed(spec, machine) &&
            machine.id !in job.machinesWithFailures &&
            (used + spec.resourceRequest).fitsIn(view.types.getValue(machine.type).capacity) &&
            (!spec.sameZone || zones.all { it == machine.zone }) &&
            (!spec.spread || zones.count { it == machine.zone } + 1 <= (spec.tasks + 1) / 2) &&
            placed.count { it.team == spec.team } < view.quotaOf(spec.team)
    }

    @Test
    fun `every placement is legal when it is made, and no legal placement is missed`() {
        var placedCount = 0
        for (seed in 1L..400L) {
            val round = RandomRound(seed)
            val placed = round.view.placed
            placedCount += placed.size
            for ((index, task) in placed.withIndex()) {
                val isLegal = isLegal(round.view, task.job, task.machine, placed.subList(0, index))
                assertTrue(isLegal, "seed $seed: ${task.job.spec} on ${task.machine.id}")
            }
            assertEquals(placed.size, placed.map { it.job.spec.id to it.task }.distinct().size)
            for (job in round.jobs) assertNoPlacementMissed(round.view, job, "seed $seed")
        }
        assertTrue(placedCount > 2000)
    }

    private fun assertNoPlacementMissed(view: StubPlacementView, job: Job, context: String) {
        if (job.spec.kind == JobKind.GANG) {
            val placed = job.placements.size
            assertTrue(placed == 0 || placed == job.spec.tasks, "$context: gang placed incompletely")
        } else if (job.waitingTaskCount() > 0) {
            val missed = view.machines.firstOrNull { isLegal(view, job, it, view.placed) }
            assertEquals(null, missed?.id, "$context: ${job.spec} could have been placed")
        }
    }

    @Test
    fun `the bottleneck is the GPU if requested, else the resource requested most by share`() {
        assertEquals(Resource.GPU, bottleneck(Resources(8.0, 1.0, 64.0), bigType, 2.0))
        assertEquals(Resource.MEMORY, bottleneck(Resources(1.0, 0.0, 32.0), bigType, 2.0))
        assertEquals(Resource.CPU, bottleneck(Resources(4.0, 0.0, 32.0), bigType, 2.0))
        assertEquals(Resource.CPU, bottleneck(Resources(1.0, 0.0, 8.0), bigType, 2.0))
        assertEquals(Resource.CPU, bottleneck(Resources(1.0, 0.0, 60.0), null, 2.0))
    }

    @Test
    fun `a slow machine is used last`() {
        val slow = bigMachine("slow")
        repeat(2) { slow.health.taskCompleted(5.0) }
        val view = viewOf(slow, bigMachine("sound"))
        val jobs = List(2) { newJob(job("a$it", resourceRequest = Resources(10.0, 3.0, 40.0))) }
        PlacementRound(view, view.machines, jobs).run { false }
        assertEquals(listOf("sound", "slow"), jobs.map { it.placements.getValue(0).machine })
    }

    @Test
    fun `a machine that caches the image is preferred to a larger or emptier one`() {
        val warm = bigMachine("warm")
        warm.imageCache.recordUse("img", 2.0, 100.0)
        val view = viewOf(bigMachine("empty"), warm)
        view.place(newJob(job("o", tasks = 1, image = "x")), 0, warm, null)
        val job = newJob(job("a"))
        PlacementRound(view, view.machines, listOf(job)).run { false }
        assertEquals("warm", job.placements.getValue(0).machine)
    }

    private fun bigMachine(id: String) = Machine(id, "big", "a", false, Duration.ZERO)

    private fun viewOf(vararg machines: Machine) = StubPlacementView(emptyMap()).also { it.machines += machines }

    private companion object {
        fun newJob(spec: JobSpec) = Job(JobRecord(spec, Duration.ZERO, 0, BitSet(), emptyList()), 1)
    }
}
