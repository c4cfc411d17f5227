package glenspool.core

import glenspool.core.cluster.CommandQueue
import glenspool.core.cluster.StartFencing
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Advances the fencing token when a start command has been unanswered for too long, or when [StartFencing] waits for
 * workers to learn a higher token, so that earlier starts become invalid wherever they are in flight.
 */
class FencingTokenAdvancer(
    private val context: SchedulingContext,
    private val commands: CommandQueue,
    private val fencing: StartFencing,
) {
    private var advancingFor: TokenAdvanceCause? = null
    private var advancedAt = context.startedAt - INITIAL_ADVANCE_AGE

    /** Advances the token if there is a cause. */
    fun tick() {
        if (advancingFor != null) return
        val cause = cause() ?: return
        if (context.now - advancedAt < minInterval(cause)) return
        advancingFor = cause
        context.addAction(AdvanceFencingToken(cause))
    }

    private fun cause(): TokenAdvanceCause? {
        val own = fencing.tokenAdvanceCause()
        if (own == TokenAdvanceCause.RESTARTED_WORKER) return own
        return if (commands.hasStaleStart()) TokenAdvanceCause.UNANSWERED_START else own
    }

    /** Each advance makes every worker send one more heartbeat, but a restarted worker must get its token soon. */
    private fun minInterval(cause: TokenAdvanceCause): Duration =
        if (cause == TokenAdvanceCause.RESTARTED_WORKER) MIN_INTERVAL else context.config.lease / 2

    /** An advance has ended; [newToken] is null if it failed. */
    fun advanceEnded(newToken: Long?) {
        val cause = advancingFor
        advancingFor = null
        if (newToken == null || newToken <= context.token) return
        context.advanceToken(newToken)
        fencing.tokenAdvanced()
        if (cause != null) context.fencingCounts.tokenAdvanced(cause)
        advancedAt = context.now
    }

    private companion object {
        /** Bounds the store's changes when many workers begin anew one after the other. */
        val MIN_INTERVAL = 1.seconds

        /** Dates the last advance so far back that the first one is not delayed. */
        val INITIAL_ADVANCE_AGE = 1000.seconds
    }
}
