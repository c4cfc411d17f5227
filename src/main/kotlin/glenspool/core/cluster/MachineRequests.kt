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
 * The requests to one machine: commands that wait, the request on its way, and starts that may still be carried out.
 */
class MachineRequests {
    private val waiting = ArrayList<Command>()
    private val starts = ArrayList<UnconfirmedStart>()

    /** Commands that have not been sent yet. */
    val pendingCommands: List<Command> get() = waiting
    val unconfirmedStarts: List<UnconfirmedStart> get() = starts

    /** Whether a request is on its way; there is only one at a time. */
    var isInFlight = false
        private set

    /** When the last request was sent: it tells that request's starts from earlier ones. */
    var sentAt: Duration? = null
        private set

    /** No request is sent before this time. */
    var nextRequestAt: Duration = Duration.ZERO
        private set

    /** No probe is sent before this time. */
    var nextProbeAt: Duration = Duration.ZERO
        private set

    /** Lets a command wait for the next request. */
    fun add(command: Command) {
        waiting.add(command)
    }

    /** Replaces all commands that wait. */
    fun replacePending(commands: List<Command>) {
        waiting.clear()
        waiting.addAll(commands)
    }

    /** The machine is given up: nothing is sent to it any more. */
    fun clearPending() = waiting.clear()

    /** The placement is gone: a start of it that waits is not sent. */
    fun dropStart(key: TaskKey, attempt: Long) {
        if (waiting.isNotEmpty()) waiting.removeIf { it is StartTask && it.isFor(key, attempt) }
    }

    /** Whether any command for the attempt waits. */
    fun hasPending(key: TaskKey, attempt: Long): Boolean = waiting.any { it.isFor(key, attempt) }

    private fun Command.isFor(key: TaskKey, attempt: Long) = this.key == key && this.attempt == attempt

    /** A request is sent. */
    fun requestSent(now: Duration) {
        sentAt = now
        isInFlight = true
    }

    /** The request's outcome is known. */
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

    /** A start is on its way, and may be carried out at any later time. */
    fun startSent(start: UnconfirmedStart) {
        starts.add(start)
    }

    /** What was sent with the last request can't be carried out any more, or has been. */
    fun confirmLastRequest(token: Long, incarnation: Long) {
        starts.removeIf { it.token == token && it.incarnation == incarnation && it.since == sentAt }
    }

    /** The worker refuses what was sent to an earlier incarnation or with a lower token. */
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
