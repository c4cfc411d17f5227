package glenspool.core

import glenspool.core.cluster.CommandQueue
import kotlin.time.Duration.Companion.seconds

/**
 * Advances the fencing token when a start command has been unanswered for too long, so that the command becomes invalid
 * wherever it is in flight.
 */
class FencingTokenAdvancer(private val context: SchedulingContext, private val commands: CommandQueue) {
    private var isAdvancing = false
    private var advancedAt = context.startedAt - INITIAL_ADVANCE_AGE

    /** Advances the token if a start command has been unanswered for too long. */
    fun tick() {
        if (commands.hasStaleStart()) advance()
    }

    private fun advance() {
        if (isAdvancing || context.now - advancedAt < context.config.lease / 2) return
        isAdvancing = true
        context.addAction(AdvanceFencingToken)
    }

    /** An advance has ended; [newToken] is null if it failed. */
    fun advanceEnded(newToken: Long?) {
        isAdvancing = false
        if (newToken == null || newToken <= context.token) return
        context.advanceToken(newToken)
        advancedAt = context.now
    }

    private companion object {
        /** Dates the last advance so far back that the first one is not delayed. */
        val INITIAL_ADVANCE_AGE = 1000.seconds
    }
}
