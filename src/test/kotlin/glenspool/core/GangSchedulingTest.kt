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

/** Gangs start together: resources are reserved for them, and lower priorities are preempted only where that helps. */
class GangSchedulingTest : SchedulerTestBase() {
    private fun gang(id: String) = job(id, JobKind.GANG, 2, wholeMachine, priority = Priority.URGENT)

    private fun smallJob(tasks: Int) = job("small", tasks = tasks, resourceRequest = wholeMachine)

    @Test
    fun `a gang's image fetches go on when a waiting task of the gang times out`() {
        // Stopping the fetches would discard the image, and every later attempt would run into the same timeout.
        registerMachines(2)
        submit(gang("g"))
        val requests = placeAndStore()
        assertEquals(2, requests.size)
        val starts = requests.associate { it.machine to it.commands.filterIsInstance<StartTask>().single() }
        for (request in requests) {
            val start = starts.getValue(request.machine)
            val state = if (request.machine == "m1") TaskState.WAITING else TaskState.FETCHING
            commandsExecuted(request, task("g", start.key.task, start.attempt, state))
        }
        val timedOutStart = starts.getValue("m1")
        val exited = exitedTask("g", timedOutStart.key.task, timedOutStart.attempt, ExitReason.GANG_INCOMPLETE)
        val actionsAfterTimeout = heartbeatActions("m1", exited) + advanceTime(3.seconds)
        assertTrue(actionsAfterTimeout.stops().isEmpty())
        val fetchingStart = starts.getValue("m2")
        val fetchedTask = task("g", fetchingStart.key.task, fetchingStart.attempt, TaskState.WAITING)
        val actionsAfterFetch = heartbeatActions("m2", fetchedTask) + advanceTime(1.seconds)
        assertEquals(listOf(fetchingStart.key), actionsAfterFetch.stops().map { it.key }.distinct())
    }

    @Test
    fun `resources freed by preemption for a gang are not given to other tasks`() {
        registerMachines(2)
        val running = placeAndRun(smallJob(2))
        submit(job("more", tasks = 8, resourceRequest = wholeMachine))
        submit(gang("gang"))
        assertEquals(2, advanceTime(1.seconds).stops().size)
        // One machine becomes free before the other. It has to stay free for the gang and get no other small task.
        val (first, firstTask) = running.entries.first()
        heartbeatReply(first, firstTask.exited(ExitReason.STOPPED))
        advanceTime(2.seconds)
        assertTrue(knownMachine(first).placements.isEmpty())
        val (second, secondTask) = running.entries.last()
        heartbeatReply(second, secondTask.exited(ExitReason.STOPPED))
        advanceTime(2.seconds)
        assertEquals(2, scheduledJob("gang").placements.size)
    }

    @Test
    fun `no work is preempted for a gang while a task of its last attempt still runs`() {
        registerMachines(2)
        val gang = placeAndRun(gang("gang"))
        heartbeatReply("m3")
        val small = placeAndRun(smallJob(1))
        // One task of the gang is gone, and the cloud is about to reclaim its spot machine. The other task still runs
        // for a while.
        val (lostMachine, remainingMachine) = gang.keys.toList()
        val broken = gang.getValue(lostMachine).exited(ExitReason.GANG_BROKEN)
        val (_, actionsAtNotice) =
            receiveHeartbeat(heartbeat(lostMachine, listOf(broken)).copy(preemptionNotice = 10.seconds))
        val running = small + (remainingMachine to gang.getValue(remainingMachine))
        val stops = (actionsAtNotice + runWithHeartbeats(4.seconds, running, emptySet())).stops()
        assertTrue(stops.none { it.key.job == "small" }, "preempted for resources that cannot be used yet: $stops")
    }

    @Test
    fun `the machines of a broken gang are reserved for its next attempt`() {
        registerMachines(2)
        val gang = placeAndRun(gang("gang"))
        submit(smallJob(4))
        val (first, second) = gang.keys.toList()

        fun reportBroken(machine: String) =
            heartbeatReply(machine, gang.getValue(machine).exited(ExitReason.GANG_BROKEN))
        reportBroken(first)
        val actions = advanceTime(2.seconds)
        assertTrue(knownMachine(first).placements.isEmpty(), "a small task was placed on a machine of the gang")
        assertTrue(actions.stops().none { it.key.job == "small" })
        reportBroken(second)
        advanceTime(2.seconds)
        val attempts = scheduledJob("gang").placements.values.map { it.attempt }
        assertEquals(setOf(2L), attempts.toSet())
        assertEquals(0, scheduledJob("small").placements.size)
    }
}
