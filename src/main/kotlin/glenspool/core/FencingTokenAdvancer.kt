package glenspool.core

import glenspool.core.cluster.CommandQueue
import kotlin.time.Duration.Companion.seconds

/** Advances the fencing token when a start has no answer for too long, so that it becomes void wherever it is. */
class FencingTokenAdvancer(private val context: SchedulingContext, private val commands: CommandQueue) {
    private var isAdvancing = false
    private var advancedAt = context.startedAt - LONG_AGO

    /** Looks for starts without an answer. */
    fun tick() {
        if (commands.hasStaleStart()) advance()
    }

    private fun advance() {
        if (isAdvancing || context.now - advancedAt < context.config.lease / 2) return
        isAdvancing = true
        context.addAction(AdvanceFencingToken)
    }

    /** The outcome: the new token, or null if it was not advanced. */
    fun advanceEnded(newToken: Long?) {
        isAdvancing = false
        if (newToken == null || newToken <= context.token) return
        context.advanceToken(newToken)
        advancedAt = context.now
    }

    private companion object {
        val LONG_AGO = 1000.seconds
    }
}
