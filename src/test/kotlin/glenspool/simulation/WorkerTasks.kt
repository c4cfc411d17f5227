package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.wire.Fields
import kotlin.time.Duration

/** When a task ends by itself, and how. */
internal class PlannedEnd(val at: Duration, val reason: ExitReason)

/** What a stand-in worker records about its tasks. */
internal interface WorkerTaskListener {
    /** A task starts. Returns when it ends by itself. */
    fun started(slot: TaskSlot): PlannedEnd

    /** A running task is stopped by a command. */
    fun stopped(slot: TaskSlot)

    /** A task has ended, for whatever reason. */
    fun ended(slot: TaskSlot, reason: ExitReason)
}

/**
 * The attempts that a stand-in worker knows, and the execution of commands by the rules of the workers' protocol: a
 * start has no effect if the attempt is known in any state, and exited attempts are known until they are cleared. Not
 * thread-safe.
 */
internal class WorkerTasks(private val now: () -> Duration, private val listener: WorkerTaskListener) {
    private class Attempt(val plannedEnd: PlannedEnd, var exit: ExitReason? = null)

    private val attempts = LinkedHashMap<TaskSlot, Attempt>()

    /** The tasks that have not ended. */
    fun running(): List<TaskKey> = attempts.filterValues { it.exit == null }.keys.map { it.key }

    /** Adds a running task that no command has started. */
    fun addRunning(slot: TaskSlot) {
        attempts[slot] = Attempt(PlannedEnd(Duration.INFINITE, ExitReason.DONE))
    }

    /** Ends the tasks whose time has come. Returns all known attempts. */
    fun statuses(): List<TaskStatus> {
        for ((slot, attempt) in attempts) {
            if (now() >= attempt.plannedEnd.at) end(slot, attempt, attempt.plannedEnd.reason)
        }
        return attempts.map { (slot, attempt) ->
            val state = if (attempt.exit == null) TaskState.RUNNING else TaskState.EXITED
            TaskStatus(slot.key, slot.attempt, state, attempt.exit, false)
        }
    }

    /** Ends all tasks and forgets all attempts, as a worker does when its lease expires. */
    fun endAll() {
        attempts.forEach { (slot, attempt) -> end(slot, attempt, ExitReason.STOPPED) }
        attempts.clear()
    }

    /** Executes the commands of a request or of an answer. Returns the tasks that they start. */
    @Suppress("UNCHECKED_CAST")
    fun executeAll(body: Fields): List<TaskSlot> =
        (body["orders"] as List<Fields>).mapNotNull { command ->
            slotOf(command).takeIf { execute(command["verb"] as String, it) }
        }

    /** Returns whether the command has started a task. */
    private fun execute(verb: String, slot: TaskSlot): Boolean {
        val known = attempts[slot]
        when {
            verb == "run" && known == null -> return run(slot)
            known == null -> Unit
            verb == "stop" && known.exit == null -> {
                listener.stopped(slot)
                end(slot, known, ExitReason.STOPPED)
            }
            verb == "clear" && known.exit != null -> attempts.remove(slot)
        }
        return false
    }

    private fun run(slot: TaskSlot): Boolean {
        val isOnMachine = attempts.any { (known, attempt) -> known.key == slot.key && attempt.exit == null }
        if (isOnMachine) {
            attempts[slot] = Attempt(PlannedEnd(Duration.INFINITE, ExitReason.DONE), ExitReason.ALREADY_PRESENT)
        } else {
            attempts[slot] = Attempt(listener.started(slot))
        }
        return !isOnMachine
    }

    private fun end(slot: TaskSlot, attempt: Attempt, reason: ExitReason) {
        if (attempt.exit != null) return
        attempt.exit = reason
        listener.ended(slot, reason)
    }

    companion object {
        /** Returns the attempt that a command is about. */
        fun slotOf(command: Fields): TaskSlot {
            val (job, task) = (command["thread"] as String).split('/')
            return TaskSlot(TaskKey(job, task.toInt()), command["try"] as Long)
        }
    }
}
