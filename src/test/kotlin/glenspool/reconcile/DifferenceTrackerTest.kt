package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.ReferenceDifferences
import glenspool.simulation.job
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import java.util.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private fun heartbeat(machine: String, incarnation: Long, sequence: Long, tasks: List<TaskStatus>): Heartbeat {
    val confirmedToken = 1L
    return Heartbeat(machine, "addr", "big", "a", false, incarnation, sequence, confirmedToken, null, tasks)
}

/** Returns the differences by the names that the reference model uses, made of kind, machine and task. */
private fun namesOf(findings: Map<String, MachineFindings>): List<String> =
    findings.values
        .flatMap { it.differences }
        .map { difference ->
            val task = difference.task?.let { " ${it.job}/${it.task}" }.orEmpty()
            "${difference.kind} ${difference.machine}$task"
        }.sorted()

/** Checks the incremental comparison against a full comparison and against a slow reference model. */
class DifferenceTrackerTest {
    /** Gives the same random events to the tracker and to the reference model. */
    private class Scenario(private val random: Random) {
        val tracker = DifferenceTracker()
        val reference = ReferenceDifferences()
        private val machines = List(5) { "m$it" }
        private val jobs = List(4) { "j$it" }
        private var now = Duration.ZERO
        private var sequence = 0L

        private fun isOneIn(number: Int) = random.nextInt(number) == 0

        fun randomEvent() {
            now += 1.seconds
            val job = jobs[random.nextInt(jobs.size)]
            val machine = machines[random.nextInt(machines.size)]
            when (random.nextInt(12)) {
                in 0..2 -> storeJob(job, isAdopted = random.nextBoolean())
                in 3..7 -> observe(machine)
                8 -> listMachines()
                9 -> cancel(job)
                10 -> end(job)
                else -> delete(machine)
            }
        }

        private fun storeJob(id: String, isAdopted: Boolean) {
            val kind = if (id == "j0") JobKind.SERVICE else JobKind.ARRAY
            val done = BitSet()
            if (kind == JobKind.ARRAY && isOneIn(3)) done.set(random.nextInt(TASKS_PER_JOB))
            val placements =
                (0 until TASKS_PER_JOB)
                    .filter { random.nextBoolean() }
                    .map { StoredPlacement(it, 1L + random.nextInt(2), machines[random.nextInt(machines.size)]) }
            val before =
                reference.records[id]
                    ?.placements
                    .orEmpty()
                    .toSet()
            val record = JobRecord(job(id, kind, TASKS_PER_JOB), now, 2, done, placements)
            reference.records[id] = record
            for (placement in placements - before) {
                val name = "$id/${placement.task}#${placement.attempt}@${placement.machine}"
                if (isAdopted) reference.adoptedPlacements.add(name) else reference.adoptedPlacements.remove(name)
            }
            tracker.jobStored(record, isAdopted)
        }

        private fun observe(machine: String) {
            val keys = jobs.flatMap { job -> (0 until TASKS_PER_JOB).map { TaskKey(job, it) } }
            val tasks =
                keys.filter { isOneIn(5) }.map { key ->
                    val hasEnded = isOneIn(3)
                    val state = if (hasEnded) TaskState.EXITED else TaskState.RUNNING
                    val exit = if (hasEnded) ExitReason.DONE else null
                    TaskStatus(key, 1L + random.nextInt(2), state, exit, false)
                }
            val heartbeat = heartbeat(machine, incarnation = 1, ++sequence, tasks)
            val source = if (isOneIn(3)) HeartbeatSource.REPLY else HeartbeatSource.WORKER
            val isTrusted = random.nextInt(4) > 0
            val hasReported =
                source == HeartbeatSource.WORKER || reference.reportedMachines[machine]?.hasReported == true
            reference.reportedMachines[machine] =
                ReferenceDifferences.ReportedMachine(heartbeat, isTrusted, hasReported)
            tracker.machineObserved(heartbeat, source, isTrusted, now)
        }

        private fun listMachines() {
            val stages =
                machines.filter { random.nextInt(4) > 0 }.associateWith {
                    if (isOneIn(4)) MachineStage.BOOTING else MachineStage.RUNNING
                }
            reference.isListRead = true
            for ((machine, entry) in reference.listedMachines.toMap()) {
                if (machine !in stages) {
                    reference.listedMachines[machine] = ReferenceDifferences.CloudListEntry(entry.stage, missing = true)
                }
            }
            for ((machine, stage) in stages) {
                reference.listedMachines[machine] = ReferenceDifferences.CloudListEntry(stage, missing = false)
            }
            val list = stages.map { (id, stage) -> ListedMachine(id, "addr", "big", "a", false, stage, 9.seconds) }
            tracker.machinesListed(list, now)
        }

        private fun cancel(job: String) {
            if (!reference.records.containsKey(job)) return
            reference.cancelledJobs.add(job)
            tracker.jobCancelled(job)
        }

        private fun end(job: String) {
            reference.records.remove(job)
            reference.cancelledJobs.remove(job)
            reference.adoptedPlacements.removeIf { it.startsWith("$job/") }
            tracker.jobEnded(job)
        }

        private fun delete(machine: String) {
            reference.reportedMachines.remove(machine)
            reference.listedMachines.remove(machine)
            tracker.machineDeleted(machine)
        }

        /** Repeats all current records and observations to the tracker. */
        fun repeatAllObservations() {
            reference.records.values.forEach { tracker.jobStored(it, isAdopted = false) }
            for (seen in reference.reportedMachines.values) {
                val source = if (seen.hasReported) HeartbeatSource.WORKER else HeartbeatSource.REPLY
                tracker.machineObserved(seen.heartbeat, source, seen.trusted, 99.seconds)
            }
        }
    }

    @Property(tries = 400)
    fun `incremental findings equal a full comparison and the reference model`(
        @ForAll seed: Long,
    ) {
        val scenario = Scenario(Random(seed))
        val tracker = scenario.tracker
        repeat(60) {
            scenario.randomEvent()

            val findings = tracker.findings
            assertEquals(MachineComparison.all(tracker.views), findings.toMap(), "seed $seed")
            assertEquals(scenario.reference.differenceNames(), namesOf(findings), "seed $seed")
            val totals = tracker.totals()
            assertEquals(findings.values.sumOf { it.differences.size }, totals.byKind.values.sum())
            assertEquals(findings.values.sumOf { it.adopted }, totals.adopted)
            assertEquals(findings.values.sumOf { it.confirmed }, totals.confirmed)
        }
    }

    @Property(tries = 50)
    fun `repeated observations change nothing`(
        @ForAll seed: Long,
    ) {
        val scenario = Scenario(Random(seed))
        repeat(30) { scenario.randomEvent() }
        val before = namesOf(scenario.tracker.findings)

        scenario.repeatAllObservations()

        assertEquals(before, namesOf(scenario.tracker.findings), "seed $seed")
    }

    /** Returns the comparisons per changed heartbeat in a fleet whose machines run four tasks each. */
    private fun comparisonsPerHeartbeat(fleet: Int): Long {
        val tracker = DifferenceTracker()
        for (number in 0 until fleet) {
            val placements = (0 until 4).map { StoredPlacement(it, 1, "m${(number + it * 7) % fleet}") }
            val record = JobRecord(job("j$number", tasks = 4), Duration.ZERO, 1, BitSet(), placements)
            tracker.jobStored(record, isAdopted = true)
        }

        fun observeFleet(sequence: Long, state: TaskState, at: Duration) {
            for (number in 0 until fleet) {
                val keys = (0 until 4).map { TaskKey("j${(number - it * 7).mod(fleet)}", it) }
                val tasks = keys.map { TaskStatus(it, 1, state, null, false) }
                val heartbeat = heartbeat("m$number", incarnation = 1, sequence, tasks)
                tracker.machineObserved(heartbeat, HeartbeatSource.WORKER, isTrusted = true, at)
            }
        }
        observeFleet(sequence = 1, TaskState.RUNNING, 1.seconds)
        assertEquals(DifferenceTotals(emptyMap(), fleet * 4, fleet * 4), tracker.totals())
        val before = tracker.comparisonCount
        observeFleet(sequence = 1, TaskState.RUNNING, 2.seconds)
        assertEquals(before, tracker.comparisonCount, "an unchanged heartbeat causes no comparison")
        observeFleet(sequence = 2, TaskState.CHECKPOINTING, 2.seconds)
        return (tracker.comparisonCount - before) / fleet
    }

    @Test
    fun `a changed heartbeat causes one comparison, independent of the fleet size`() {
        assertEquals(listOf(1L, 1L, 1L), listOf(40, 300, 4000).map(::comparisonsPerHeartbeat))
    }

    @Test
    fun `a task counts as missing only after a heartbeat that shows this leader's token`() {
        val tracker = DifferenceTracker()
        val placements = listOf(StoredPlacement(0, 1, "m1"))
        val withoutTasks = heartbeat("m1", incarnation = 2, sequence = 1, emptyList())

        tracker.jobStored(JobRecord(job("a", tasks = 1), Duration.ZERO, 1, BitSet(), placements), isAdopted = true)
        assertEquals(listOf("UNHEARD_MACHINE m1"), namesOf(tracker.findings))

        tracker.machineObserved(withoutTasks, HeartbeatSource.WORKER, isTrusted = false, 1.seconds)
        assertTrue(tracker.findings.values.all { it.differences.isEmpty() })

        tracker.machineObserved(withoutTasks, HeartbeatSource.WORKER, isTrusted = true, 2.seconds)
        assertEquals(listOf("MISSING_TASK m1 a/0"), namesOf(tracker.findings))
        val difference =
            tracker.findings
                .getValue("m1")
                .differences
                .single()
        assertEquals(Evidence(EvidenceSource.REPORT, 2.seconds), difference.evidence)
    }

    private companion object {
        const val TASKS_PER_JOB = 3
    }
}
