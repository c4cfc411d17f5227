package glenspool.simulation

import glenspool.core.Action
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.model.JobSpec
import glenspool.core.model.MachineType
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.frozen.DecisionTrace
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.RecoveryNotice
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Runs the real scheduler with a simulated key-value store, cloud and workers, in simulated time. Every rule that the
 * scheduler can break is checked at every start and tick. Messages may be lost or delayed for minutes, and leaders may
 * be replaced while their commands and transactions are still in transit.
 */
class ClusterSimulation(
    seed: Long,
    config: SchedulerConfig,
    types: List<MachineType>,
    faults: FaultRates,
    maxMachines: Int = 24,
    /** Creates the recovery of a new term, or null if recovery is not managed. */
    recoveryFactory: RecoveryFactory? = null,
    /** Records all decisions of the leaders. */
    trace: DecisionTrace? = null,
) {
    private val context = SimulationContext(seed, config, types, faults, trace)
    private val store = SimulatedStore(context)
    private val jobs = SimulatedJobs(context, store, ::storeChanged)
    private val fleet = SimulatedFleet(context, ::machineUp)
    private val leader = SimulatedLeader(context, store, recoveryFactory, ::perform)
    private val jobStatusChecker = JobStatusChecker(context, store, jobs)
    private val livenessChecker = LivenessChecker(context, store, jobs, fleet, ::describe)
    private val execution = TaskExecution(context, jobs, TaskStartChecker(context, store, jobs, fleet))
    private val progress = TaskProgress(context, jobs, fleet)
    private val heartbeats = HeartbeatExchange(context, leader, execution)
    private val cloud = SimulatedCloud(context, fleet, leader, maxMachines)
    private val requests = WorkerRequests(context, fleet, leader, execution)
    private val transactions = LeaderTransactions(context, store, leader, jobStatusChecker)
    private val actions = ActionPerformer(context, store, leader, cloud, requests, transactions)
    private val injector = FaultInjector(context, store, jobs, fleet, leader)
    private var ticks = 0

    private fun storeChanged(): Unit = leader.readChanges()

    private fun machineUp(worker: SimulatedWorker): Unit = heartbeats.sendPeriodically(worker)

    private fun perform(action: Action, scheduler: Scheduler): Unit = actions.perform(action, scheduler)

    val now: Duration get() = context.now
    val state: InMemoryStore get() = store.state

    /** Violations of rules, each with its time and the task or job concerned. */
    val violations: List<String> get() = context.violations

    /** Violations that leaders have reported themselves, each with its time. */
    val reportedViolations: List<String> get() = context.reportedViolations

    /** Orders as workers and the cloud received them. A test may clear the list. */
    val receivedOrders: MutableList<ReceivedOrder> get() = context.receivedOrders

    /** Number of tasks started so far. */
    val startCount: Int get() = execution.startCount

    /** The time of the first start of a task, by job. */
    val firstStartTimes: Map<String, Duration> get() = execution.firstStartTimes

    /** Number of transactions that were refused because a value was too large. */
    val oversizedTransactionCount: Int get() = transactions.oversizedTransactionCount

    // Requests of users, and the states of their jobs.

    val specs: Map<String, JobSpec> get() = jobs.specs
    val dependenciesOf: Map<String, List<String>> get() = jobs.dependenciesOf

    /** Tasks that completed on a machine, by job. */
    val completedTasks: Map<String, BitSet> get() = jobs.completedTasks

    fun submit(spec: JobSpec, dependencies: List<String> = emptyList()) = jobs.submit(spec, dependencies)

    /** Cancels a job. Returns whether the cancellation was confirmed to the user. */
    fun cancel(id: String): Boolean = jobs.cancel(id)

    /** Returns since when a job is aborted, by its own cancellation or that of a dependency, or null if it is not. */
    fun abortedSince(id: String): Duration? = jobs.abortedSince(id)

    /** Returns the stored final state of a job, or null if it has none. */
    fun finalState(id: String): String? = store.finalState(id)

    /** Whether the store has a record of the job, which means that the job has not ended. */
    fun hasRecord(id: String): Boolean = store.hasRecord(id)

    fun runningReplicas(id: String): Int =
        fleet.workers.sumOf { worker ->
            worker.tasks.count { (slot, task) -> slot.job == id && task.state == TaskState.RUNNING }
        }

    // Leaders.

    /**
     * Whether all controllers run the new version. If so, placements may be stored separately from the record, and no
     * controller of an old version is elected.
     */
    var allControllersNew: Boolean by leader::allControllersNew

    /** The recovery of the current term, or null if none was due. */
    val recovery: RecoveryEngine? get() = leader.recovery
    val recoveryNotices: List<RecoveryNotice> get() = leader.recoveryNotices

    fun elect() = leader.elect()

    /** Ends the leader, whose messages in transit still arrive. Another leader is elected after [untilElection]. */
    fun changeLeader(untilElection: Duration) = leader.endTerm(untilElection)

    /** Stops all controllers for [span], so that none answers workers or sends commands. */
    fun stopControllers(span: Duration) = leader.stopControllers(span)

    /** Whether the leader starts no further tasks of the job because its team is at its quota. */
    fun isTeamAtQuota(id: String): Boolean {
        val scheduler = leader.scheduler ?: return false
        return scheduler.jobs[id]?.let(scheduler::remainingQuota) == 0
    }

    /** Describes the leader's state of a job for failure messages. */
    fun describe(id: String): String = describe(leader.scheduler, now, id)

    // Machines.

    /** Adds a machine that is up after [boot]. Returns its name. */
    fun addMachine(type: MachineType, zone: String, spot: Boolean, boot: Duration) = fleet.add(type, zone, spot, boot)

    /** Names of machines that are up, in the order in which they were added. */
    val machineNames: List<String> get() = fleet.workers.filter { it.isUp }.map { it.id }

    /** Returns the tasks on a machine that have not ended. */
    fun tasksOn(machine: String): List<TaskKey> = fleet[machine]?.liveSlots().orEmpty().map { it.key }

    /** Returns the attempts on a machine that have not ended. */
    internal fun attemptsOn(machine: String): Set<TaskSlot> = fleet[machine]?.liveSlots().orEmpty().toSet()

    /** Adds a running task that no leader ordered. The worker knows [spec] even if the store has no record of it. */
    fun addOrphanedTask(machine: String, spec: JobSpec, task: Int, attempt: Long) {
        jobs.addUnrecorded(spec)
        fleet.getValue(machine).tasks[TaskSlot(TaskKey(spec.id, task), attempt)] =
            WorkerTask(attempt, TaskState.RUNNING, now + 10_000.seconds)
    }

    /** Stops a task as orphaned and starts it again, which simulates a scheduler that misjudges the task. */
    fun restartTask(machine: String, key: TaskKey) {
        val worker = fleet.getValue(machine)
        val attempt = worker.liveSlots().single { it.key == key }.attempt
        execution.execute(worker, StopTask(key, attempt, Duration.ZERO, StopCause.ORPHANED))
        execution.execute(worker, StartTask(key, attempt + 1, StartCause.PLACED))
    }

    // Faults.

    /** Ends the tasks of the job on one of its machines as failed. Returns the machine. */
    fun failTasksOnOneMachine(job: String): String = fleet.workers.first { it.failTasksOf(job) > 0 }.id

    /** Restarts the machine immediately, which loses its tasks, its session and the tokens that it has seen. */
    fun restartMachine(machine: String) = fleet.getValue(machine).restart()

    /**
     * Delivers a copy of each request that workers have executed and answered so far. Returns the number of tasks that
     * the copies start, each of which is a violation.
     */
    fun deliverCopiesOfCommands(): Int = requests.deliverCopies()

    /** Like [deliverCopiesOfCommands], and copies also arrive at machines that have restarted since. */
    fun deliverCopiesAcrossRestarts(): Int = requests.deliverCopiesAcrossRestarts()

    /** Whether a worker has executed a request with several commands. */
    fun hasExecutedSeveralCommandsAtOnce(): Boolean = requests.hasExecutedSeveralCommandsAtOnce()

    /** Whether a worker has executed a request that starts one task and stops another. */
    fun hasExecutedStartAndStopAtOnce(): Boolean = requests.hasExecutedStartAndStopAtOnce()

    /** Lets the machine's lease expire, which ends all of its tasks. */
    fun expireLease(machine: String) = fleet.getValue(machine).expireLease()

    /** Partitions the machine for [span], so that it neither sends nor receives. */
    fun partitionMachine(machine: String, span: Duration) {
        fleet.getValue(machine).partitionedUntil = now + span
    }

    /** Drops the machine's heartbeats for [span], while commands still reach it. */
    fun dropHeartbeats(machine: String, span: Duration) {
        fleet.getValue(machine).heartbeatsLostUntil = now + span
    }

    /** Removes the machine, as if the cloud had reclaimed it. */
    fun removeMachine(machine: String) = fleet.remove(machine)

    /** Lets the store answer no requests for [span]. */
    fun startStoreOutage(span: Duration) {
        store.downUntil = now + span
    }

    /** Injects the fault into each machine that is up with probability [share], for [span]. */
    fun injectFault(fault: MachineFault, share: Double, span: Duration) = injector.inject(fault, share, span)

    /** Cancels up to [maxJobs] jobs that have tasks on machines. If [hang], some of these machines hang. */
    fun cancelRunningJobs(maxJobs: Int, hang: Boolean) = injector.cancelRunningJobs(maxJobs, hang)

    /** Partitions a zone for [span], with a controller that is not the leader but renews the workers' leases. */
    fun partitionZone(zone: String, span: Duration) = injector.partitionZone(zone, span)

    // Time.

    /**
     * Runs until the given time. If [withoutRandomFaults], no further faults are drawn for machines, the leader and the
     * store, so that all jobs can end.
     */
    fun run(until: Duration, withoutRandomFaults: Boolean = false) {
        while (now < until) {
            val nextTick = now + TICK
            if (context.events.runNext(nextTick)) continue
            context.events.advanceTo(nextTick)
            tick(withoutRandomFaults)
        }
    }

    private fun tick(withoutRandomFaults: Boolean) {
        progress.advanceAll()
        livenessChecker.checkCancelledTasks()
        leader.tick()
        if (store.isDown) deleteOverdueMachines()
        if (ticks++ % TICKS_PER_SECOND == 0) {
            cloud.deliverList()
            specs.keys.forEach(jobStatusChecker::checkAnswer)
            jobStatusChecker.checkAnswer("nobody-submitted-$ticks")
        }
        val isNewSecond = ticks % TICKS_PER_SECOND == 0
        if (!withoutRandomFaults) {
            if (isNewSecond) injector.injectRandomFaults()
            livenessChecker.resetWaitingTimes()
        } else if (isNewSecond) {
            specs.values.forEach(livenessChecker::checkWaiting)
        }
    }

    /** While the store is down, deletes machines with overdue cancelled work, unless they show that it has ended. */
    private fun deleteOverdueMachines() {
        val scheduler = leader.scheduler ?: return
        for (overdue in scheduler.overdueMachines(now)) {
            val worker = fleet[overdue.machine] ?: continue
            val isReachable = worker.isReachable && now >= worker.unreachableUntil
            val hasCancelledWork = worker.liveSlots().any { it.job in overdue.jobs }
            if (!isReachable || hasCancelledWork) cloud.deleteOverdue(overdue.machine, scheduler)
        }
    }

    private companion object {
        val TICK = 200.milliseconds
        const val TICKS_PER_SECOND = 5
    }
}
