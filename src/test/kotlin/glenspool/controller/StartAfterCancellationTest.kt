package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.config.StoreLimits
import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.Cancellations
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.http.HttpClient
import glenspool.rollout.UnmanagedFeatures
import glenspool.simulation.LoopbackLeader
import glenspool.worker.CommandReply
import glenspool.worker.WorkerCalls
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests commands that wait for a thread because hanging machines block all of them. */
class StartAfterCancellationTest {
    /** Workers of which those on hanging machines reply only once [goOn] is called. */
    private class BlockedWorkers : WorkerCalls {
        private val goesOn = CountDownLatch(1)
        val executed = ConcurrentLinkedQueue<Command>()

        fun goOn() = goesOn.countDown()

        override fun sendCommands(request: SendCommands): CommandReply {
            if (request.machine.startsWith(HANGING)) goesOn.await()
            executed.addAll(request.commands)
            return CommandReply(CommandOutcome.DONE, null)
        }

        override fun probe(addr: String): Heartbeat? = null
    }

    private val leader = LoopbackLeader()
    private val workers = BlockedWorkers()
    private val events = LinkedBlockingQueue<Event>()
    private val cancellations = Cancellations("boot", emptyList(), 100.seconds) { Duration.ZERO }
    private val writer =
        StoreWriter(
            StoreLimits(1000.0, 1000.0, 4096, 8),
            leader.client,
            leader.cache,
            leader.leadership,
            UnmanagedFeatures { true },
        ) { _, _ -> }
    private val executor =
        ActionExecutor(
            leader.leadership,
            leader.client,
            CloudClient(leader.storeAddress, HttpClient(2.seconds), 1000.0),
            workers,
            writer,
            resignBackoff = 1.seconds,
            isCancelled = cancellations::contains,
        ) { events.add(it) }

    @AfterEach
    fun close() {
        executor.close()
        leader.close()
    }

    private val term = leader.awaitElection()

    private fun send(machine: String, vararg commands: Command) =
        executor.perform(SendCommands(machine, machine, 1, 1, commands.toList()), term)

    @Test
    fun `a start that waited behind hanging machines is not sent once its job is cancelled`() {
        repeat(HANGING_MACHINES) { send("$HANGING-$it") }
        val stop = StopTask(TaskKey("c", 0), 1, Duration.ZERO, StopCause.PREEMPTED)
        val wanted = StartTask(TaskKey("b", 0), 1, StartCause.PLACED)
        send("m1", stop, StartTask(TaskKey("a", 0), 1, StartCause.PLACED), wanted)

        cancellations.add(Cancellation("a", Duration.ZERO, 1))
        workers.goOn()

        repeat(HANGING_MACHINES + 1) { checkNotNull(events.poll(5, TimeUnit.SECONDS)) { "a command has not ended" } }
        assertEquals(listOf(stop, wanted), workers.executed.toList())
    }

    private companion object {
        const val HANGING = "hanging"

        /** More than there are threads for commands. */
        const val HANGING_MACHINES = 300
    }
}
