package glenspool.core.cluster

import glenspool.core.model.Command
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/**
 * The requests to one machine: queued commands, the request in flight, and starts that may still be executed.
 */
class MachineRequests {
    private val pending = ArrayList<Command>()

    /** The starts that the worker may still execute. */
    val starts = SentStarts()

    /** Commands that have not been sent yet. */
    val pendingCommands: List<Command> get() = pending

    /** Whether a request is in flight; there is only one at a time. */
    var isInFlight = false
        private set

    /** When the last request was sent; it distinguishes the starts of that request from earlier ones. */
    var sentAt: Duration? = null
        private set

    /** No request is sent before this time. */
    var nextRequestAt: Duration = Duration.ZERO
        private set

    /** No probe is sent before this time. */
    var nextProbeAt: Duration = Duration.ZERO
        private set

    /** When it was last asked whether its worker began anew, see [RestartedWorkers]; null if it never was. */
    var restartProbedAt: Duration? = null

    /** Queues a command for the next request. */
    fun add(command: Command) {
        pending.add(command)
    }

    /** Replaces all queued commands. */
    fun replacePending(commands: List<Command>) {
        pending.clear()
        pending.addAll(commands)
    }

    /** Discards all queued commands; nothing is sent to a machine that is being deleted. */
    fun clearPending() = pending.clear()

    /** Discards the queued start of a placement that was removed. */
    fun dropStart(key: TaskKey, attempt: Long) {
        if (pending.isNotEmpty()) pending.removeIf { it is StartTask && it.isFor(key, attempt) }
    }

    /** Whether any command for the attempt is queued. */
    fun hasPending(key: TaskKey, attempt: Long): Boolean = pending.any { it.isFor(key, attempt) }

    private fun Command.isFor(key: TaskKey, attempt: Long) = this.key == key && this.attempt == attempt

    /** Records that a request is sent. */
    fun requestSent(now: Duration) {
        sentAt = now
        isInFlight = true
    }

    /** Records that the request in flight has ended. */
    fun requestEnded() {
        isInFlight = false
    }

    /** Sends no request before [time]. */
    fun delayRequestsUntil(time: Duration) {
        nextRequestAt = time
    }

    /** Sends no probe before [time]. */
    fun delayProbesUntil(time: Duration) {
        nextProbeAt = time
    }
}
