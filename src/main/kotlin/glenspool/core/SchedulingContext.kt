package glenspool.core

import glenspool.core.model.Command
import kotlin.time.Duration

/**
 * State that all components of a [Scheduler] share within one step: the time, the leader's fencing token, the settings,
 * and the list of resulting actions. It does not hold jobs or machines.
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

    /** The monotonic time of this step. */
    var now: Duration = startedAt
        private set

    /** The wall-clock time of this step, as the time since the epoch. */
    var wallTime: Duration = Duration.ZERO
        private set

    val workCounters = WorkCounters()

    /** The orders that were given in this term. */
    val orderCounts = OrderCounts()

    /** What start fencing did in this term. */
    val fencingCounts = FencingCounts()

    /** Whether a change requires another placement round. */
    var isRoundRequested: Boolean = true
        private set

    private val actions = ArrayList<Action>()

    /** Sets the times of a new step. */
    fun beginStep(now: Duration, wallTime: Duration) {
        this.now = now
        this.wallTime = wallTime
    }

    /** Adds an action to the result of this step. */
    fun addAction(action: Action) {
        actions.add(action)
    }

    /** Returns the actions of this step and clears the list. */
    fun takeActions(): List<Action> {
        val taken = actions.toList()
        actions.clear()
        return taken
    }

    /** Counts commands that leave the scheduler. */
    fun countOrders(commands: List<Command>) = commands.forEach { orderCounts.add(it.cause) }

    /** Requests a placement round. */
    fun requestRound() {
        isRoundRequested = true
    }

    /** Marks the start of a placement round, which covers all earlier requests. */
    fun beginRound() {
        isRoundRequested = false
    }

    /** Adopts a higher fencing token within the term. */
    fun advanceToken(newToken: Long) {
        token = newToken
    }

    /** Logs a line. A line that is not important is logged only if the deployment's settings ask for details. */
    fun log(isImportant: Boolean = false, text: () -> String) {
        if (isImportant || config.logsDetails) addAction(LogMessage(text(), isImportant))
    }
}
