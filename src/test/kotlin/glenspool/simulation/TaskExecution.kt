package glenspool.simulation

import glenspool.core.SendCommands
import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.JobSpec
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Executes the commands that reach workers. */
internal class TaskExecution(
    private val context: SimulationContext,
    private val jobs: SimulatedJobs,
    private val startChecker: TaskStartChecker,
) {
    /** Number of tasks started so far. */
    var startCount = 0
        private set

    private val machinesByAttempt = HashMap<TaskSlot, String>()

    /** The time of the first start of a task, by job. */
    val firstStartTimes = HashMap<String, Duration>()

    /** Executes a request. Returns false if the worker refuses it because its token or incarnation is out of date. */
    fun execute(worker: SimulatedWorker, request: SendCommands): Boolean {
        if (request.token < worker.highestToken || request.incarnation != worker.incarnation) return false
        worker.highestToken = request.token
        request.commands.forEach { execute(worker, it) }
        return true
    }

    fun execute(worker: SimulatedWorker, command: Command) {
        val slot = TaskSlot(command.key, command.attempt)
        val task = worker.tasks[slot]
        when (command) {
            is StartTask ->
                if (task == null) {
                    context.recordOrders(command.cause)
                    worker.tasks[slot] = start(worker, command)
                }
            is StopTask ->
                if (task != null && task.isLive) {
                    context.recordOrders(command.cause)
                    task.exit(ExitReason.STOPPED)
                }
            is ForgetTask -> if (task != null && !task.isLive) worker.tasks.remove(slot)
        }
    }

    private fun start(worker: SimulatedWorker, command: StartTask): WorkerTask {
        val spec = jobs.specs[command.key.job]
        if (spec == null || command.key.task >= spec.tasks) return rejected(command.attempt, ExitReason.UNKNOWN)
        val live = worker.liveSlots()
        if (live.any { it.key == command.key }) return rejected(command.attempt, ExitReason.ALREADY_PRESENT)
        val placed = live.map { jobs.specs.getValue(it.job).resourceRequest }
        val requested = placed.fold(spec.resourceRequest) { sum, next -> sum + next }
        if (!requested.fitsIn(worker.type.capacity)) return rejected(command.attempt, ExitReason.INSUFFICIENT_RESOURCES)
        startChecker.check(command.key, spec, worker)
        checkMachineOf(TaskSlot(command.key, command.attempt), worker)
        val fetchTime = fetchTime(worker, spec)
        startCount++
        firstStartTimes.putIfAbsent(command.key.job, context.now)
        return WorkerTask(command.attempt, TaskState.FETCHING, context.now + fetchTime)
    }

    /** An attempt number belongs to one machine, so that a heartbeat about it can't be about a later stay elsewhere. */
    private fun checkMachineOf(slot: TaskSlot, worker: SimulatedWorker) {
        val machine = machinesByAttempt.getOrPut(slot) { worker.id }
        if (machine != worker.id) context.recordViolation("attempt $slot on $machine and ${worker.id}")
    }

    private fun rejected(attempt: Long, reason: ExitReason) = WorkerTask(attempt, TaskState.EXITED, context.now, reason)

    private fun fetchTime(worker: SimulatedWorker, spec: JobSpec): Duration =
        if (spec.image in worker.images) {
            Duration.ZERO
        } else {
            (spec.imageGb / worker.type.fetchGbPerS).seconds * (0.7 + 0.6 * context.random.nextDouble())
        }
}
