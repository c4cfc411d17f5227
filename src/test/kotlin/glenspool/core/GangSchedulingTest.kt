package glenspool.core

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.Priority
import glenspool.core.model.StartTask
import glenspool.core.model.TaskState
import glenspool.simulation.job
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.time.Duration.Companion.seconds

/** Gangs start together: capacity is kept for them, and lower priorities are preempted only where that helps. */
class GangSchedulingTest : SchedulerTestBase() {
    private fun gang(id: String) = job(id, JobKind.GANG, 2, wholeMachine, priority = Priority.URGENT)

    private fun small(tasks: Int) = job("small", tasks = tasks, resourceRequest = wholeMachine)

    @Test
    fun `a gang's image fetches go on when a waiting task of the gang times out`() {
        // Stopping them would throw the image away, and the next attempt would meet the same wait for ever.
        started(2)
        submit(gang("g"))
        val requests = placeAndStore()
        assertEquals(2, requests.size)
        val starts = requests.associate { it.machine to it.commands.filterIsInstance<StartTask>().single() }
        for (request in requests) {
            val start = starts.getValue(request.machine)
            val state = if (request.machine == "m1") TaskState.WAITING else TaskState.FETCHING
            executed(request, task("g", start.key.task, start.attempt, state))
        }
        val gaveUp = starts.getValue("m1")
        val exited = exitedTask("g", gaveUp.key.task, gaveUp.attempt, ExitReason.GANG_INCOMPLETE)
        val afterGivingUp = heartbeatActions("m1", exited) + wait(3.seconds)
        assertTrue(afterGivingUp.stops().isEmpty())
        val other = starts.getValue("m2")
        val fetched = task("g", other.key.task, other.attempt, TaskState.WAITING)
        val afterFetch = heartbeatActions("m2", fetched) + wait(1.seconds)
        assertEquals(listOf(other.key), afterFetch.stops().map { it.key }.distinct())
    }

    @Test
    fun `resources freed by preemption for a gang are not given to other tasks`() {
        started(2)
        val running = placeAndRun(small(2))
        submit(job("more", tasks = 8, resourceRequest = wholeMachine))
        submit(gang("gang"))
        assertEquals(2, wait(1.seconds).stops().size)
        // One machine is free before the other: it must wait for the gang, not take another small task.
        val (first, firstTask) = running.entries.first()
        heartbeatReply(first, firstTask.exited(ExitReason.STOPPED))
        wait(2.seconds)
        assertTrue(knownMachine(first).placements.isEmpty())
        val (second, secondTask) = running.entries.last()
        heartbeatReply(second, secondTask.exited(ExitReason.STOPPED))
        wait(2.seconds)
        assertEquals(2, scheduledJob("gang").placements.size)
    }

    @Test
    fun `no work is preempted for a gang while a task of its last attempt still runs`() {
        started(2)
        val gang = placeAndRun(gang("gang"))
        heartbeatReply("m3")
        val small = placeAndRun(small(1))
        // One task of the gang is gone and its spot machine about to be reclaimed; the other still runs for a while.
        val (lost, remaining) = gang.keys.toList()
        val broken = gang.getValue(lost).exited(ExitReason.GANG_BROKEN)
        val (_, atNotice) = say(heartbeat(lost, listOf(broken)).copy(preemptionNotice = 10.seconds))
        val running = small + (remaining to gang.getValue(remaining))
        val stops = (atNotice + live(4.seconds, running, emptySet())).stops()
        assertTrue(stops.none { it.key.job == "small" }, "the capacity is of no use yet: $stops")
    }

    @Test
    fun `the machines of a broken gang are reserved for its next attempt`() {
        started(2)
        val gang = placeAndRun(gang("gang"))
        submit(small(4))
        val (first, second) = gang.keys.toList()

        fun reportBroken(machine: String) =
            heartbeatReply(machine, gang.getValue(machine).exited(ExitReason.GANG_BROKEN))
        reportBroken(first)
        val meanwhile = wait(2.seconds)
        assertTrue(knownMachine(first).placements.isEmpty(), "small work took the capacity")
        assertTrue(meanwhile.stops().none { it.key.job == "small" })
        reportBroken(second)
        wait(2.seconds)
        val attempts = scheduledJob("gang").placements.values.map { it.attempt }
        assertEquals(setOf(2L), attempts.toSet())
        assertEquals(0, scheduledJob("small").placements.size)
    }
}
