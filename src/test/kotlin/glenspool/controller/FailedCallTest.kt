package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.config.StoreLimits
import glenspool.core.AdvanceFencingToken
import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.StoreImageLocations
import glenspool.core.model.Heartbeat
import glenspool.core.model.Resources
import glenspool.core.model.TaskState
import glenspool.core.model.Team
import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.rollout.UnmanagedFeatures
import glenspool.simulation.InMemoryStore
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.config
import glenspool.simulation.job
import glenspool.simulation.linesOfStandardError
import glenspool.state.KeyValueStoreClient
import glenspool.state.StoreCache
import glenspool.worker.CommandReply
import glenspool.worker.WorkerCalls
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
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

    private val state = InMemoryStore()
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 8, state::serve)
    private val http = HttpClient(2.seconds)
    private val client = KeyValueStoreClient("127.0.0.1:${listener.port}", http)
    private val cache = StoreCache(client, 1000.0) { _, _ -> }
    private val elected = LinkedBlockingQueue<Term>()
    private val events = LinkedBlockingQueue<Event>()
    private val leadership = Leadership("a", "boot", client, cache, { elected.add(it) }, {})
    private val workers = FailingWorkers()
    private val writer =
        StoreWriter(StoreLimits(1000.0, 1000.0, 4096, 8), client, cache, leadership, UnmanagedFeatures { true }) { _, _ ->
        }
    private val cloud = CloudClient("127.0.0.1:${listener.port}", http, 1000.0)
    private val executor = ActionExecutor(leadership, client, cloud, workers, writer, 1.seconds) { events.add(it) }
    private val threads =
        ServiceThreads({}).also { threads ->
            threads.start("syncs") { cache.serveSyncs() }
            threads.start("leadership") { leadership.run() }
        }

    @AfterEach
    fun close() {
        threads.close()
        executor.close()
        listener.close()
    }

    private fun awaitElection(): Term = checkNotNull(elected.poll(5, TimeUnit.SECONDS)) { "not elected" }

    /** Carries out the request with [FailingWorkers], and returns the event that the core receives. */
    private fun perform(request: SendCommands): Event.CommandsEnded {
        executor.perform(request, awaitElection())
        return events.poll(5, TimeUnit.SECONDS) as Event.CommandsEnded
    }

    /** Guards against image locations that are never stored again after a failed write. */
    @Test
    fun `the core learns that image locations were not stored`() {
        val term = awaitElection()
        state.isDown = true
        executor.perform(StoreImageLocations(3, emptyMap()), term)
        assertEquals(Event.ImageLocationsNotStored(3, term), events.poll(5, TimeUnit.SECONDS))
    }

    /** Guards against a log line that reports a token where the store has rejected it. */
    @Test
    fun `a fencing token that was not advanced is not logged as advanced`() {
        val term = awaitElection()

        fun linesOfAdvance(): List<String> {
            val lines =
                linesOfStandardError {
                    executor.perform(AdvanceFencingToken, term)
                    events.poll(5, TimeUnit.SECONDS)
                }
            return lines.filter { "fencing token" in it }
        }
        assertEquals(listOf("INFO ActionExecutor - fencing token advanced to=2"), linesOfAdvance())
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
