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
 * The real core with a simulated key-value store, cloud and workers, in simulated time. Every rule that the core can
 * break is checked at every start and tick. Messages may be lost or held up for minutes; leaders are replaced while
 * their commands and transactions are still on their way.
 */
class ClusterSimulation(
    seed: Long,
    config: SchedulerConfig,
    types: List<MachineType>,
    faults: FaultRates,
    maxMachines: Int = 24,
    /** Makes the recovery of a term that begins; null: recovery is not managed. */
    recoveryFactory: RecoveryFactory? = null,
    /** Records all that the leaders decide. */
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

    /** Rules that were broken, each with its moment and the task or job concerned. */
    val violations: List<String> get() = context.violations

    /** Orders as workers and the cloud received them; a test may clear it. */
    val receivedOrders: MutableList<ReceivedOrder> get() = context.receivedOrders

    /** Tasks started so far. */
    val startCount: Int get() = execution.startCount

    /** When the first task of each job was started. */
    val firstStartTimes: Map<String, Duration> get() = execution.firstStartTimes

    /** Transactions that were refused because a value was too large. */
    val oversizedTransactionCount: Int get() = transactions.oversizedTransactionCount

    // What users do and what becomes of their jobs.

    val specs: Map<String, JobSpec> get() = jobs.specs
    val dependenciesOf: Map<String, List<String>> get() = jobs.dependenciesOf

    /** Tasks of each job that ran to their end. */
    val completedTasks: Map<String, BitSet> get() = jobs.completedTasks

    fun submit(spec: JobSpec, dependencies: List<String> = emptyList()) = jobs.submit(spec, dependencies)

    /** Cancels a job; true if that was confirmed to the user. */
    fun cancel(id: String): Boolean = jobs.cancel(id)

    /** Since when a job is aborted, by its own cancellation or that of a dependency; null if it is not. */
    fun abortedSince(id: String): Duration? = jobs.abortedSince(id)

    /** The stored final state of a job; null while it has none. */
    fun finalState(id: String): String? = store.finalState(id)

    /** Whether the store has a record of the job, which has not ended then. */
    fun hasRecord(id: String): Boolean = store.hasRecord(id)

    fun runningReplicas(id: String): Int =
        fleet.workers.sumOf { worker ->
            worker.tasks.count { (slot, task) -> slot.job == id && task.state == TaskState.RUNNING }
        }

    // Leaders.

    /** Whether all controllers are new: placements may be stored apart, and no old one leads any more. */
    var allControllersNew: Boolean by leader::allControllersNew

    /** The recovery of the present term, if one was due. */
    val recovery: RecoveryEngine? get() = leader.recovery
    val recoveryNotices: List<RecoveryNotice> get() = leader.recoveryNotices

    fun elect() = leader.elect()

    /** The leader ends; its messages stay on their way. [span]: until another is elected. */
    fun changeLeader(span: Duration) = leader.endTerm(span)

    /** For [span], no controller answers workers or sends commands. */
    fun stopAllControllers(span: Duration) = leader.stopAllControllers(span)

    /** Whether the leader starts no more of the job's tasks because its team is at its quota. */
    fun isTeamAtQuota(id: String): Boolean {
        val scheduler = leader.scheduler ?: return false
        return scheduler.jobs[id]?.let(scheduler::remainingQuota) == 0
    }

    /** What the leader knows of a job, for failure messages. */
    fun describe(id: String): String = describe(leader.scheduler, now, id)

    // Machines.

    /** Adds a machine that is up after [boot]; returns its name. */
    fun addMachine(type: MachineType, zone: String, spot: Boolean, boot: Duration) = fleet.add(type, zone, spot, boot)

    /** Names of machines that are up, in the order in which they were added. */
    val machineNames: List<String> get() = fleet.workers.filter { it.isUp }.map { it.id }

    /** The tasks that run on a machine. */
    fun tasksOn(machine: String): List<TaskKey> = fleet[machine]?.liveSlots().orEmpty().map { it.key }

    /** A task that nobody ordered. [spec]: known to the worker, whatever the store knows. */
    fun addOrphanedTask(machine: String, spec: JobSpec, task: Int, attempt: Long) {
        jobs.addUnrecorded(spec)
        fleet.getValue(machine).tasks[TaskSlot(TaskKey(spec.id, task), attempt)] =
            WorkerTask(attempt, TaskState.RUNNING, now + 10_000.seconds)
    }

    /** Stops a task and starts it again, as a scheduler would that takes it for something else. */
    fun restartTask(machine: String, key: TaskKey) {
        val worker = fleet.getValue(machine)
        val attempt = worker.liveSlots().single { it.key == key }.attempt
        execution.execute(worker, StopTask(key, attempt, Duration.ZERO, StopCause.ORPHANED))
        execution.execute(worker, StartTask(key, attempt + 1, StartCause.PLACED))
    }

    // Faults.

    /** The machine's lease expires, and all that is on it ends. */
    fun expireLease(machine: String) = fleet.getValue(machine).expireLease()

    /** For [span], nothing is received from the machine, and nothing reaches it. */
    fun partitionMachine(machine: String, span: Duration) {
        fleet.getValue(machine).partitionedUntil = now + span
    }

    /** For [span], the machine's heartbeats are lost, while commands reach it. */
    fun dropHeartbeats(machine: String, span: Duration) {
        fleet.getValue(machine).heartbeatsLostUntil = now + span
    }

    /** The cloud takes the machine away. */
    fun removeMachine(machine: String) = fleet.remove(machine)

    /** The store answers nobody for [span]. */
    fun startStoreOutage(span: Duration) {
        store.downUntil = now + span
    }

    /** Each machine that is up meets the fault with a probability of [share], for [span]. */
    fun injectFault(fault: MachineFault, share: Double, span: Duration) = injector.inject(fault, share, span)

    /** Cancels up to [most] jobs that have work on machines, and, if [hang], lets some of those machines hang. */
    fun cancelRunningJobs(most: Int, hang: Boolean) = injector.cancelRunningJobs(most, hang)

    /** For [span], a zone is cut off with a controller there, which does not lead but renews its workers' leases. */
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

    /** While the store is down, machines on which cancelled work is overdue are deleted, unless it has ended there. */
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
