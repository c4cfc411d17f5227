package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.config.StoreLimits
import glenspool.core.AdvanceFencingToken
import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.StoreImageLocations
import glenspool.core.TokenAdvanceCause
import glenspool.core.model.Heartbeat
import glenspool.core.model.Resources
import glenspool.core.model.TaskState
import glenspool.core.model.Team
import glenspool.http.HttpClient
import glenspool.rollout.UnmanagedFeatures
import glenspool.simulation.LoopbackLeader
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.simulation.linesOfStandardError
import glenspool.worker.CommandReply
import glenspool.worker.WorkerCalls
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

private val TEAM_WITH_ONE_GPU = listOf(Team("t0", 0.0, 0.0, null, 1.0))

/**
 * Calls that end with an exception after the request was sent. Guards against a start that counts as never sent: its
 * quota would be used by another task although the start may still be executed.
 */
class FailedCallTest : SchedulerDriver(config(TEAM_WITH_ONE_GPU)) {
    /** A connection to workers that fails with an exception after the request has been sent. */
    private class FailingWorkers : WorkerCalls {
        val sent = LinkedBlockingQueue<SendCommands>()

        override fun sendCommands(request: SendCommands): CommandReply {
            sent.add(request)
            error("the reply could not be processed")
        }

        override fun probe(addr: String): Heartbeat? = null
    }

    private val leader = LoopbackLeader()
    private val state = leader.state
    private val events = LinkedBlockingQueue<Event>()
    private val workers = FailingWorkers()
    private val limits = StoreLimits(1000.0, 1000.0, 4096, 8)
    private val writer =
        StoreWriter(limits, leader.client, leader.cache, leader.leadership, UnmanagedFeatures { true }) { _, _ -> }
    private val cloud = CloudClient(leader.storeAddress, HttpClient(2.seconds), 1000.0)
    private val executor =
        ActionExecutor(
            leader.leadership,
            leader.client,
            cloud,
            workers,
            writer,
            resignBackoff = 1.seconds,
            isCancelled = { false },
        ) { events.add(it) }

    @AfterEach
    fun close() {
        executor.close()
        leader.close()
    }

    /** Carries out the request with [FailingWorkers], and returns the event that the core receives. */
    private fun perform(request: SendCommands): Event.CommandsEnded {
        executor.perform(request, leader.awaitElection())
        return events.poll(5, TimeUnit.SECONDS) as Event.CommandsEnded
    }

    /** Guards against image locations that are never stored again after a failed write. */
    @Test
    fun `the core learns that image locations were not stored`() {
        val term = leader.awaitElection()
        state.isDown = true
        executor.perform(StoreImageLocations(3, emptyMap()), term)
        assertEquals(Event.ImageLocationsNotStored(3, term), events.poll(5, TimeUnit.SECONDS))
    }

    /** Guards against a log line that reports a token where the store has rejected it. */
    @Test
    fun `a fencing token that was not advanced is not logged as advanced`() {
        val term = leader.awaitElection()

        fun linesOfAdvance(): List<String> {
            val lines =
                linesOfStandardError {
                    executor.perform(AdvanceFencingToken(TokenAdvanceCause.UNANSWERED_START), term)
                    events.poll(5, TimeUnit.SECONDS)
                }
            return lines.filter { "fencing token" in it }
        }
        val expected = "INFO ActionExecutor - fencing token advanced to=2 cause=unanswered-start"
        assertEquals(listOf(expected), linesOfAdvance())
        state.isDown = true
        val rejected = linesOfAdvance()
        assertEquals(emptyList<String>(), rejected.filter { "advanced to=" in it })
        assertEquals(1, rejected.size)
    }

    @Test
    fun `a call that fails with an exception after its request was sent counts as unanswered`() {
        val ended = perform(sendSingleStart())
        assertEquals(1, workers.sent.size)
        assertEquals(CommandOutcome.UNKNOWN, ended.outcome)
    }

    @Test
    fun `the quota of a start that may still be executed is not used for another task`() {
        registerMachines(2)
        submit(job("a", resourceRequest = Resources(2.0, 1.0, 8.0)))
        advanceTime(1.seconds)
        val request = confirmTransaction().filterIsInstance<SendCommands>().single()
        val ended = perform(request)
        step { commandsEnded(request.machine, request, ended.outcome, ended.heartbeat) }

        // The worker executes the start, but is out of contact from then on.
        step { jobCancelled("a", ++revision, now) }
        submit(job("b", resourceRequest = Resources(2.0, 1.0, 8.0)))
        val otherMachine = if (request.machine == "m1") "m2" else "m1"
        val starts =
            List(3) {
                receiveHeartbeat(heartbeat(otherMachine)).second + advanceTime(1.seconds)
            }.flatten().starts()
        assertEquals(emptyList<String>(), starts.map { it.key.job })
        assertEquals(0, core.jobs.getValue("b").placements.size)

        // Only the worker's own report that the task is gone frees the quota.
        val command = request.commands.single()
        val running = task("a", 0, command.attempt, TaskState.RUNNING)
        receiveHeartbeat(heartbeat(request.machine, listOf(running)))
        assertFalse(core.jobs.getValue("b").placements.isNotEmpty())
    }
}
