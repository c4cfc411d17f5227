package glenspool.simulation

import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.model.Heartbeat
import glenspool.worker.CommandReply
import glenspool.worker.WorkerCalls
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.locks.LockSupport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Workers of which some hang: their calls end after the timeout of a call to a worker. The others answer that no task
 * is on their machine. The address of a machine is its name.
 */
class HangingWorkers(private val isHanging: (String) -> Boolean) : WorkerCalls {
    /** The number of probes so far. */
    val probes = AtomicInteger()

    override fun sendCommands(request: SendCommands): CommandReply {
        waitFor(CALL_TIMEOUT)
        return CommandReply(CommandOutcome.UNKNOWN, null)
    }

    override fun probe(addr: String): Heartbeat? {
        probes.incrementAndGet()
        if (isHanging(addr)) {
            waitFor(CALL_TIMEOUT)
            return null
        }
        waitFor(LATENCY)
        return Heartbeat(addr, addr, "big", "here", false, 1, 1, 1, null, emptyList())
    }

    private fun waitFor(time: Duration) {
        val end = TimeSource.Monotonic.markNow() + time
        while (end.hasNotPassedNow() && !Thread.currentThread().isInterrupted) {
            LockSupport.parkNanos(-end.elapsedNow().inWholeNanoseconds)
        }
    }

    private companion object {
        val CALL_TIMEOUT = 3.seconds
        val LATENCY = 5.milliseconds
    }
}
