package glenspool.core

import glenspool.core.model.Command
import kotlin.time.Duration

/**
 * What all parts of a [Scheduler] share within one step: the time, the leader's fencing token, the settings, and the
 * list of actions that the step comes to. It knows nothing of jobs and machines.
 */
class SchedulingContext(
    val config: SchedulerConfig,
    token: Long,
    val startedAt: Duration,
    val hooks: SchedulerHooks = SchedulerHooks(),
) {
    /** The fencing token with which commands are sent. It grows within a term when it is advanced. */
    var token: Long = token
        private set

    /** The token of the term's election. */
    val electionToken: Long = token

    /** The steady time of this step. */
    var now: Duration = startedAt
        private set

    /** The time of day of this step, as the time since the epoch. */
    var wallTime: Duration = Duration.ZERO
        private set

    val workCounters = WorkCounters()

    /** The orders that were given in this term. */
    val orderCounts = OrderCounts()

    /** Whether something has changed that placement has to look at. */
    var isRoundRequested: Boolean = true
        private set

    private val actions = ArrayList<Action>()

    /** Sets the times of a new step. */
    fun beginStep(now: Duration, wallTime: Duration) {
        this.now = now
        this.wallTime = wallTime
    }

    /** Adds to the actions of this step. */
    fun addAction(action: Action) {
        actions.add(action)
    }

    /** The actions of this step, once. */
    fun takeActions(): List<Action> {
        val taken = actions.toList()
        actions.clear()
        return taken
    }

    /** Counts commands that leave the scheduler. */
    fun countOrders(commands: List<Command>) = commands.forEach { orderCounts.add(it.cause) }

    /** Asks for a placement round soon. */
    fun requestRound() {
        isRoundRequested = true
    }

    /** A placement round looks at everything that was asked for before. */
    fun beginRound() {
        isRoundRequested = false
    }

    /** Adopts a higher fencing token within the term. */
    fun advanceToken(newToken: Long) {
        token = newToken
    }

    /** Writes a line to the log; details only if the deployment asks for them. */
    fun log(isImportant: Boolean = false, text: () -> String) {
        if (isImportant || config.logsDetails) addAction(LogMessage(text(), isImportant))
    }
}
