package glenspool.core.model

import glenspool.core.ForgetCause
import glenspool.core.OrderCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import kotlin.time.Duration

/** A command to a worker about one attempt of a task. */
sealed interface Command {
    val key: TaskKey
    val attempt: Long
    val cause: OrderCause
}

/** Starts the task, unless the worker already knows this attempt. */
data class StartTask(override val key: TaskKey, override val attempt: Long, override val cause: StartCause) : Command

/** Stops the task, which may take [grace] to write a checkpoint. */
data class StopTask(
    override val key: TaskKey,
    override val attempt: Long,
    val grace: Duration,
    override val cause: StopCause,
) : Command

/** Makes the worker forget an exited task, which then no longer appears in heartbeats. */
data class ForgetTask(override val key: TaskKey, override val attempt: Long, override val cause: ForgetCause) : Command

/**
 * Returns the command with a fixed cause. Causes are not sent to workers, so commands that differ only in their causes
 * are the same to a worker.
 */
fun Command.withoutCause(): Command =
    when (this) {
        is StartTask -> copy(cause = StartCause.PLACED)
        is StopTask -> copy(cause = StopCause.CANCELLED)
        is ForgetTask -> copy(cause = ForgetCause.RECORDED)
    }
