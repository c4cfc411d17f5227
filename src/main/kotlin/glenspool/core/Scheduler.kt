package glenspool.core

import glenspool.core.autoscaling.Autoscaler
import glenspool.core.cluster.CancelledWorkDeadline
import glenspool.core.cluster.ClusterState
import glenspool.core.cluster.CommandQueue
import glenspool.core.cluster.FailureDetector
import glenspool.core.cluster.HeartbeatProcessor
import glenspool.core.cluster.HeartbeatReplyCommands
import glenspool.core.cluster.ImageLocations
import glenspool.core.cluster.ImagesByMachine
import glenspool.core.cluster.Machine
import glenspool.core.cluster.MachineDeleter
import glenspool.core.cluster.MissingTaskHandler
import glenspool.core.cluster.Orphans
import glenspool.core.cluster.OverdueMachine
import glenspool.core.cluster.TypePerformance
import glenspool.core.lifecycle.Job
import glenspool.core.lifecycle.JobDependencies
import glenspool.core.lifecycle.JobEventHandler
import glenspool.core.lifecycle.JobSupervisor
import glenspool.core.lifecycle.RecordSplitting
import glenspool.core.lifecycle.RecordWriteScheduler
import glenspool.core.model.Command
import glenspool.core.model.FinalState
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineType
import glenspool.core.placement.DeadlinePolicy
import glenspool.core.placement.PlacementScheduler
import glenspool.core.placement.Preemptor
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's scheduling core: events and the time go in, [Action]s come out. It does no input or output and starts no
 * thread; one thread owns it. It is made anew at each failover from the stored jobs. It only passes events on and says
 * in which order the parts act; what is known has one owner each: [ClusterState] (machines, jobs, placements, usage),
 * [CommandQueue] (commands on their way), [JobDependencies] (waiting jobs), [RecordWriteScheduler] (what is to be
 * stored).
 */
class Scheduler(
    val config: SchedulerConfig,
    token: Long,
    startedAt: Duration,
    val hooks: SchedulerHooks = SchedulerHooks(),
) {
    private val context = SchedulingContext(config, token, startedAt, hooks)
    private val cluster = ClusterState(context)
    private val overload = OverloadMonitor(context)
    private val deadlines = DeadlinePolicy(context, cluster)
    private val performance = TypePerformance()
    private val imageLocations = ImageLocations(context, cluster)
    private val orphans = Orphans(context, cluster)
    private val commands = CommandQueue(context, cluster, deadlines, overload)
    private val tokenAdvancer = FencingTokenAdvancer(context, commands)
    private val missingTasks = MissingTaskHandler(context, cluster, commands)
    private val heartbeats =
        HeartbeatProcessor(context, cluster, orphans, imageLocations, performance, missingTasks)
    private val heartbeatReplyCommands = HeartbeatReplyCommands(context, cluster)
    private val deleter = MachineDeleter(context)
    private val cancelledWork = CancelledWorkDeadline(context, cluster)
    private val failureDetector =
        FailureDetector(context, cluster, commands, overload, deleter, cancelledWork)
    private val splitting = RecordSplitting(context, cluster)
    private val autoscaler = Autoscaler(context, cluster, deadlines, deleter)
    private val jobSupervisor = JobSupervisor(context, cluster, commands)
    private val preemptor = Preemptor(context, cluster, commands, deadlines)
    private val placement =
        PlacementScheduler(context, cluster, splitting, deadlines, performance, preemptor, jobSupervisor)
    private val jobEvents: JobEventHandler =
        JobEventHandler(context, cluster, splitting, orphans, commands, autoscaler) { job -> writes.markDirty(job) }

    /** Jobs that wait for others. */
    val dependencies: JobDependencies = JobDependencies(context, cluster, deadlines, jobEvents::dependenciesDone)
    private val writes = RecordWriteScheduler(context, cluster, commands, dependencies, splitting, ::jobRemoved)

    /** Jobs whose tasks may run; those that wait for others are in [dependencies]. */
    val jobs: Map<String, Job> get() = cluster.jobs
    val machines: Map<String, Machine> get() = cluster.machines

    /** The fencing token with which commands are sent. */
    val token: Long get() = context.token

    /** The steady time of the last step. */
    val now: Duration get() = context.now
    val workCounters: WorkCounters get() = context.workCounters

    /** The orders that were given in this term. */
    val orderCounts: OrderCounts get() = context.orderCounts

    /** Whether placements may be stored apart from their job's record. */
    val canSplitRecords: Boolean get() = splitting.isAllowed

    /**
     * Runs [event] at the given steady time and time of day (since the epoch), and returns what has to be done.
     */
    fun step(now: Duration, wallTime: Duration, event: Scheduler.() -> Unit): List<Action> {
        val gap = now - context.now
        context.beginStep(now, wallTime)
        if (gap > STALL) processResumed(gap)
        event()
        if (placement.runIfDue()) autoscaler.plan()
        commands.flush()
        writes.flush()
        deleter.flush()
        return context.takeActions()
    }

    /** Time has passed: everything that depends on it is looked at. */
    fun tick() {
        failureDetector.tick()
        jobSupervisor.tick()
        tokenAdvancer.tick()
        autoscaler.tick()
        dependencies.requestFinalStates()
        imageLocations.storeChanges()
        splitting.merge()
    }

    // Jobs.

    /** A job that is not over, whether it waits for others or not. */
    fun job(id: String): Job? = dependencies.findJob(id)

    /** A job record was read from the key-value store. */
    fun jobRecordRead(record: JobRecord, version: Long) {
        val known = job(record.spec.id)
        if (known == null) {
            jobEvents.newJobRead(record, version, dependencies)
        } else if (version > known.version) {
            known.version = version
        }
    }

    /** The job's cancellation is stored under [version] since [at], a time of day. */
    fun jobCancelled(id: String, version: Long, at: Duration) {
        job(id)?.let { jobEvents.jobCancelled(it, version, at, dependencies) }
    }

    /** The job's record is gone from the live jobs: it has its final state. */
    fun jobRemoved(id: String) {
        dependencies.jobRemoved(id)
        jobEvents.jobEnded(id)
    }

    /** The final states of jobs as far as they could be read. */
    fun finalStatesRead(asked: List<String>, found: Map<String, FinalState>) =
        dependencies.finalStatesRead(asked, found)

    /** A transaction has ended. */
    fun transactionEnded(outcome: StoreOutcome) = writes.transactionEnded(outcome)

    // Stored forms.

    /** Whether every controller was found to read split records. */
    fun splitRecordSupportChecked(allReadSplitRecords: Boolean) {
        if (allReadSplitRecords) splitting.markSupportedByAll()
    }

    /** Whether records must not be split, whatever else is known. */
    fun setSplittingForbidden(forbidden: Boolean) = splitting.setForbidden(forbidden)

    /** What an earlier leader knew of the machines' image caches; used as each machine is heard. */
    fun imageLocationsRead(images: ImagesByMachine) = imageLocations.loadStored(images)

    // Machines.

    /** A worker sent a heartbeat by itself; the commands for the answer. */
    fun heartbeatReceived(heartbeat: Heartbeat): List<Command> {
        val machine = heartbeats.process(heartbeat, HeartbeatSource.WORKER) ?: return emptyList()
        return if (machine.isTrusted) heartbeatReplyCommands.commandsFor(machine) else emptyList()
    }

    /** A request with commands has ended; [heartbeat]: the worker's answer, if it gave one. */
    fun commandsEnded(machine: String, request: SendCommands, outcome: CommandOutcome, heartbeat: Heartbeat?) {
        val known = machines[machine] ?: return
        commands.requestEnded(known, request, outcome)
        if (heartbeat != null) heartbeats.process(heartbeat, HeartbeatSource.REPLY)
    }

    /** A probe has ended; [wasSent]: false if it was never sent, which says nothing of the machine. */
    fun probeEnded(machine: String, heartbeat: Heartbeat?, wasSent: Boolean = true) {
        val reachability = machines[machine]?.reachability
        if (heartbeat == null || heartbeat.machine != machine) {
            if (wasSent && !overload.isOverloaded) reachability?.recordNoResponse(now)
            return
        }
        reachability?.recordReachable(now)
        val processed = heartbeats.process(heartbeat, HeartbeatSource.REPLY) ?: return
        // A worker that sends its heartbeats to another node learns of this leader's token here.
        val isIdle = !processed.requests.isInFlight && !processed.isDeleting
        if (processed.token < token && isIdle) commands.send(processed, emptyList())
    }

    /** The cloud's machine types were read. */
    fun machineTypesRead(types: List<MachineType>) = cluster.updateTypes(types)

    /** The whole list of machines as the cloud gave it; it lags. */
    fun machinesListed(list: List<ListedMachine>) {
        cluster.applyList(list).forEach { deleter.delete(it, DeletionCause.FAILED) }
        hooks.observer.machinesListed(list, now)
        context.requestRound()
    }

    /** The cloud has rented machines. */
    fun scaleOutSucceeded(request: ScaleOut, names: List<String>) {
        for (name in names) {
            if (cluster.wasDeleted(name)) continue
            cluster.findOrAdd(name) { Machine(name, request.type, request.zone, request.spot, now) }
        }
        autoscaler.scaleOutAnswered(request, names.size)
    }

    /** The cloud rented nothing. */
    fun scaleOutRefused(request: ScaleOut) = autoscaler.scaleOutAnswered(request, 0)

    /** No answer: the same request is sent again, which rents nothing twice. */
    fun scaleOutUnanswered(request: ScaleOut) = autoscaler.scaleOutUnanswered(request)

    /** A request to delete machines has ended. The cloud's consent proves that they and all on them are gone. */
    fun deletionEnded(ids: List<String>, ok: Boolean) {
        for (id in ids) machines[id]?.let { if (ok) machineDeleted(it) else it.retryDeletionAt(now + DELETION_RETRY) }
        context.requestRound()
    }

    private fun machineDeleted(machine: Machine) {
        cluster.removeMachine(machine)
        hooks.observer.machineDeleted(machine.id)
        machine.placements.values
            .toList()
            .forEach { missingTasks.attemptEnded(it, machine, null) }
        orphans.removeAll(machine)
    }

    // This process.

    /** The fencing token was advanced; null: it was not. */
    fun fencingTokenAdvanced(newToken: Long?) = tokenAdvancer.advanceEnded(newToken)

    /** Tells how far this process is behind with what comes in. */
    fun backlogMeasured(backlog: Duration) = overload.backlogMeasured(backlog)

    /**
     * The process stood still or could not lead for that long: what was not heard meanwhile proves nothing. Without
     * this a leader that outlived an outage of the key-value store would conclude that it hears nobody, and resign.
     */
    fun processResumed(gap: Duration) {
        for (machine in machines.values) machine.reachability.excludeGap(gap, now)
    }

    /**
     * Machines whose cancelled work has to be gone at [at]. While nobody can lead for want of the key-value store, to
     * delete them is the one thing that is safe without leading: it starts nothing, and whoever leads next, or already
     * does, sees machines that are gone. It costs what else is on them, so only the last moment justifies it, and only
     * if the machine itself does not say that the work is gone.
     */
    fun overdueMachines(at: Duration): List<OverdueMachine> = cancelledWork.overdueMachines(at)

    /** How many more tasks of the job its team's quota allows. */
    fun remainingQuota(job: Job): Int = cluster.quotas.remaining(job)

    /** The latest time at which the job should start; orders jobs of the same priority. */
    fun latestStart(job: Job): Duration = deadlines.latestStart(job)

    private companion object {
        /** After a longer gap between two steps this process stood still. */
        val STALL = 3.seconds
        val DELETION_RETRY = 1.seconds
    }
}
