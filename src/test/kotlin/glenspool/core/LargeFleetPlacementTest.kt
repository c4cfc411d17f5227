package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import glenspool.core.model.TaskState
import glenspool.simulation.bigType
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.wire.Cbor
import glenspool.wire.RecordWire
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.BitSet
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The cost of placements on a thousand machines and more, measured by the numbers of scores and stored changes. */
class LargeFleetPlacementTest {
    private val fleet = LargeFleet()
    private val core = fleet.core

    @Test
    fun `a job on 4000 machines is stored completely in values within the size limit`() {
        val wide =
            job(
                "wide", tasks = 4000, resourceRequest = Resources(14.0, 4.0, 50.0), priority = Priority.URGENT,
                estimatedDuration = 1000.seconds,
            )
        fleet.step {
            splitRecordSupportChecked(true)
            machineTypesRead(listOf(bigType))
        }
        fleet.submit(wide)
        repeat(8) {
            for (number in 1..4000) {
                fleet.now += 0.25.milliseconds
                fleet.sendHeartbeat("m$number")
            }
            fleet.step { tick() }
        }
        val record = core.jobs.getValue("wide").record()
        assertEquals(4000, fleet.startedTasks)
        val placements = record.placements + record.placementParts.values.flatten()
        assertEquals((0 until 4000).toSet(), placements.map { it.task }.toSet())
        assertTrue(record.placementParts.size > 16, "${record.placementParts.size} parts")
        val values = record.placementParts.values.map { RecordWire.encodePlacements(it) } + RecordWire.encode(record)
        assertTrue(
            values.all {
                Cbor.jsonSizeBytes(it) <= config().valueBytes
            },
            "${values.map { Cbor.jsonSizeBytes(it) }}",
        )
    }

    @Test
    fun `placing a full fleet scores each job's machines about once, and stores each job about once`() {
        fleet.fill(1000, 1000)
        val started = fleet.startedTasks
        val scores = core.workCounters.placementScores
        assertEquals(4000, started)
        assertTrue(scores / started < 1500, "$scores scores for $started placements")
        assertTrue(fleet.storedChanges < started / 4, "${fleet.storedChanges} stored changes for $started placements")
    }

    @Test
    fun `fewer changes are stored than half the number of ended and started tasks`() {
        fleet.fill(1000, 1000)
        val changesBefore = fleet.storedChanges
        val startedBefore = fleet.startedTasks
        var ended = 0
        repeat(60) { round ->
            fleet.now += 500.milliseconds
            for (machine in fleet.tasksByMachine.keys.toList().filterIndexed { index, _ -> index % 60 == round }) {
                ended += finishTasks(machine)
                fleet.sendHeartbeat(machine)
                fleet.tasksByMachine.getValue(machine).values.removeIf { it.exit != null }
            }
            fleet.step { tick() }
        }
        val changes = fleet.storedChanges - changesBefore
        val started = fleet.startedTasks - startedBefore
        assertTrue(ended > 3900 && started > 3000, "$ended ended, $started started")
        val summary = "$changes stored changes for $ended ended and $started started tasks"
        assertTrue(changes < (ended + started) * 0.4, summary)
    }

    /** Finishes every task that runs on the machine, and returns how many these are. */
    private fun finishTasks(machine: String): Int {
        val tasks = fleet.tasksByMachine.getValue(machine)
        val running = tasks.filterValues { it.exit == null }
        for ((key, task) in running) tasks[key] = task.copy(state = TaskState.EXITED, exit = ExitReason.DONE)
        return running.size
    }

    @Test
    fun `critical work is stored before a backlog of results`() {
        fleet.fill(200, 300)
        for (machine in fleet.tasksByMachine.keys.toList()) {
            fleet.tasksByMachine.getValue(machine).replaceAll { _, task ->
                task.copy(state = TaskState.EXITED, exit = ExitReason.DONE)
            }
            core.step(fleet.now, fleet.now) { heartbeatReceived(fleet.heartbeat(machine)) }
        }
        fleet.now += 3.seconds
        val service = job("s", JobKind.SERVICE, 2, priority = Priority.CRITICAL)
        core.step(fleet.now, fleet.now) {
            jobRecordRead(JobRecord(service, now, 0, BitSet(), emptyList()), fleet.nextRevision())
        }
        // One transaction was in flight. The next one has to begin with the change that somebody is waiting for.
        val actions =
            core.step(fleet.now, fleet.now) { transactionEnded(StoreOutcome.Stored(fleet.nextRevision())) }
        val changes = actions.filterIsInstance<StoreChanges>().single()
        assertEquals("s", changes.writes.first().id)
    }
}
