package glenspool.core.cluster

import glenspool.core.model.Command
import glenspool.core.model.StartTask
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** A start command whose outcome is unknown: it may still be executed while token and incarnation match. */
data class UnconfirmedStart(
    val key: TaskKey,
    val attempt: Long,
    val token: Long,
    val incarnation: Long,
    val since: Duration,
)

/**
 * The requests to one machine: queued commands, the request in flight, and starts that may still be executed.
 */
class MachineRequests {
    private val pending = ArrayList<Command>()
    private val starts = ArrayList<UnconfirmedStart>()

    /** Commands that have not been sent yet. */
    val pendingCommands: List<Command> get() = pending
    val unconfirmedStarts: List<UnconfirmedStart> get() = starts

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

    /** Records a start in flight, which may be executed at any later time. */
    fun startSent(start: UnconfirmedStart) {
        starts.add(start)
    }

    /** Removes the starts of the last request, which have been executed or can no longer be. */
    fun confirmLastRequest(token: Long, incarnation: Long) {
        starts.removeIf { it.token == token && it.incarnation == incarnation && it.since == sentAt }
    }

    /** Removes the starts that the worker rejects, sent to an earlier incarnation or with a lower token. */
    fun dropInvalidStarts(token: Long, incarnation: Long, isNewIncarnation: Boolean) {
        if (isNewIncarnation) starts.removeIf { it.incarnation < incarnation }
        starts.removeIf { it.token < token }
    }

    /** Whether a start of this attempt may still arrive. */
    fun hasUnconfirmedStart(key: TaskKey, attempt: Long): Boolean =
        starts.any { it.key == key && it.attempt == attempt }

    /** Whether a start of any attempt of the job may still arrive. */
    fun hasUnconfirmedStart(job: String): Boolean = starts.any { it.key.job == job }
}
