package glenspool.core.model

import glenspool.core.ForgetCause
import glenspool.core.OrderCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import kotlin.time.Duration

/** What a worker is told to do with one attempt of a task. */
sealed interface Command {
    val key: TaskKey
    val attempt: Long
    val cause: OrderCause
}

/** Start the task, unless this attempt is known already. */
data class StartTask(override val key: TaskKey, override val attempt: Long, override val cause: StartCause) : Command

/** Stop the task; it may take [grace] to write a checkpoint. */
data class StopTask(
    override val key: TaskKey,
    override val attempt: Long,
    val grace: Duration,
    override val cause: StopCause,
) : Command

/** Forget an exited task, which then no longer appears in heartbeats. */
data class ForgetTask(override val key: TaskKey, override val attempt: Long, override val cause: ForgetCause) : Command

/** The command as workers receive it: causes are known to controllers only, so commands may differ in them alone. */
fun Command.withoutCause(): Command =
    when (this) {
        is StartTask -> copy(cause = StartCause.PLACED)
        is StopTask -> copy(cause = StopCause.CANCELLED)
        is ForgetTask -> copy(cause = ForgetCause.RECORDED)
    }
