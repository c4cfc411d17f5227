package glenspool.core

import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.JobSpec
import glenspool.core.model.Resources
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.simulation.SchedulerDriver
import glenspool.simulation.config
import kotlin.time.Duration.Companion.seconds

/** Drives the scheduler event by event, with the events and queries that most tests of this package need. */
abstract class SchedulerTestBase(
    settings: SchedulerConfig = config(peerZones = setOf("b")),
    hooks: SchedulerHooks = SchedulerHooks(),
) : SchedulerDriver(settings, hooks) {
    /** A request so large that no second task fits on a machine of the big type. */
    protected val wholeMachine = Resources(14.0, 4.0, 50.0)

    protected fun scheduledJob(id: String): Job = core.jobs.getValue(id)

    protected fun knownMachine(id: String): Machine = core.machines.getValue(id)

    protected fun runningTask(job: String, index: Int, attempt: Long): TaskStatus =
        task(job, index, attempt, TaskState.RUNNING)

    protected fun exitedTask(job: String, index: Int, attempt: Long, reason: ExitReason): TaskStatus =
        task(job, index, attempt, TaskState.EXITED, reason)

    protected fun TaskStatus.exited(reason: ExitReason): TaskStatus = copy(state = TaskState.EXITED, exit = reason)

    /** Delivers a heartbeat of the machine. Returns the commands in the reply. */
    protected fun heartbeatReply(machine: String, vararg tasks: TaskStatus): List<Command> =
        receiveHeartbeat(heartbeat(machine, tasks.toList())).first

    /** Advances the fencing token, so that a worker that shows it rejects all starts that were sent before. */
    protected fun invalidateEarlierStarts() = step { fencingTokenAdvanced(TOKEN + 1) }

    /** Like [heartbeatReply], for a worker that has learned the token of [invalidateEarlierStarts]. */
    protected fun replyWithAdvancedToken(machine: String, vararg tasks: TaskStatus): List<Command> =
        receiveHeartbeat(heartbeat(machine, tasks.toList(), token = TOKEN + 1)).first

    /** Delivers a heartbeat of the machine. Returns the resulting actions besides the reply. */
    protected fun heartbeatActions(machine: String, vararg tasks: TaskStatus): List<Action> =
        receiveHeartbeat(heartbeat(machine, tasks.toList())).second

    /** Ends a request that the machine has executed. Its answer is a heartbeat that shows these tasks. */
    protected fun commandsExecuted(request: SendCommands, vararg tasks: TaskStatus): List<Action> =
        step {
            val reply = heartbeat(request.machine, tasks.toList())
            commandsEnded(request.machine, request, CommandOutcome.DONE, reply)
        }

    /** Ends a request without an answer of the machine. */
    protected fun commandsUnanswered(
        request: SendCommands,
        outcome: CommandOutcome = CommandOutcome.UNKNOWN,
    ): List<Action> = step { commandsEnded(request.machine, request, outcome, null) }

    protected fun cancel(job: String): List<Action> = step { jobCancelled(job, ++revision, now) }

    /** Places the submitted jobs and stores the placements. Returns the requests that then start their tasks. */
    protected fun placeAndStore(): List<SendCommands> {
        advanceTime(1.seconds)
        return confirmTransaction().commandRequests()
    }

    /** Submits and places a job and starts its tasks. Returns the running task of each machine that was sent one. */
    protected fun placeAndRun(spec: JobSpec): Map<String, TaskStatus> {
        submit(spec)
        advanceTime(1.seconds)
        return executePlacements()
    }

    protected fun List<Action>.commandRequests(): List<SendCommands> = filterIsInstance<SendCommands>()

    protected fun List<Action>.stops(): List<StopTask> =
        commandRequests().flatMap { it.commands }.filterIsInstance<StopTask>()

    protected fun List<Action>.writes(): List<JobWrite> = filterIsInstance<StoreChanges>().flatMap { it.writes }

    protected fun List<Action>.deletions(): List<DeleteMachines> = filterIsInstance<DeleteMachines>()

    protected fun List<Action>.deletedMachines(): Set<String> = deletions().flatMap { it.machines }.toSet()

    protected fun List<Action>.scaleOuts(): List<ScaleOut> = filterIsInstance<ScaleOut>()
}
