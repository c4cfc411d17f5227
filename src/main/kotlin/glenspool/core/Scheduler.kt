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
import glenspool.core.cluster.RestartedWorkers
import glenspool.core.cluster.StartFencing
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
 * The leader's scheduling core, which takes events and the time, and returns [Action]s. It does no input or output,
 * starts no thread, and is confined to one thread. A new instance is built from the stored jobs at each failover. The
 * class only dispatches events and defines the order in which its components act. Each kind of state has one owner:
 * [ClusterState] (machines, jobs, placements, usage), [CommandQueue] (commands in flight), [JobDependencies] (jobs that
 * wait for others), [RecordWriteScheduler] (changes to be stored).
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
    private val fencing = StartFencing(context)
    private val tokenAdvancer = FencingTokenAdvancer(context, commands, fencing)
    private val missingTasks = MissingTaskHandler(context, cluster, commands, overload)
    private val heartbeats =
        HeartbeatProcessor(context, cluster, orphans, imageLocations, performance, missingTasks, fencing)
    private val heartbeatReplyCommands = HeartbeatReplyCommands(context, cluster, fencing)
    private val deleter = MachineDeleter(context)
    private val restartedWorkers =
        RestartedWorkers(context, cluster, commands, heartbeatReplyCommands, deleter, fencing)
    private val cancelledWork = CancelledWorkDeadline(context, cluster)
    private val failureDetector =
        FailureDetector(context, cluster, commands, overload, deleter, cancelledWork)
    private val splitting = RecordSplitting(context, cluster)
    private val autoscaler = Autoscaler(context, cluster, deadlines, deleter)
    private val jobSupervisor = JobSupervisor(context, cluster, commands, fencing)
    private val preemptor = Preemptor(context, cluster, commands, deadlines)
    private val placement =
        PlacementScheduler(context, cluster, splitting, deadlines, performance, preemptor, jobSupervisor)
    private val jobEvents: JobEventHandler =
        JobEventHandler(context, cluster, splitting, orphans, commands, autoscaler) { job -> writes.markDirty(job) }

    /** Jobs that wait for their dependencies. */
    val dependencies: JobDependencies = JobDependencies(context, cluster, deadlines, jobEvents::dependenciesDone)
    private val writes = RecordWriteScheduler(context, cluster, commands, dependencies, splitting, ::jobRemoved)

    /** Jobs whose tasks may run. Jobs that wait for their dependencies are in [dependencies]. */
    val jobs: Map<String, Job> get() = cluster.jobs
    val machines: Map<String, Machine> get() = cluster.machines

    /** The fencing token with which commands are sent. */
    val token: Long get() = context.token

    /** The monotonic time of the last step. */
    val now: Duration get() = context.now
    val workCounters: WorkCounters get() = context.workCounters

    /** The orders that were given in this term. */
    val orderCounts: OrderCounts get() = context.orderCounts

    /** What start fencing did in this term. */
    val fencingCounts: FencingCounts get() = context.fencingCounts

    /** Whether placements may be stored outside their job's record. */
    val canSplitRecords: Boolean get() = splitting.isAllowed

    /**
     * Runs [event] at the given monotonic and wall-clock time (since the epoch), and returns the resulting actions.
     */
    fun step(now: Duration, wallTime: Duration, event: Scheduler.() -> Unit): List<Action> {
        val gap = now - context.now
        context.beginStep(now, wallTime)
        if (gap > STALL_THRESHOLD) processResumed(gap)
        event()
        if (placement.runIfDue()) autoscaler.plan()
        commands.flush()
        writes.flush()
        deleter.flush()
        return context.takeActions()
    }

    /** Runs all periodic checks. */
    fun tick() {
        failureDetector.tick()
        jobSupervisor.tick()
        tokenAdvancer.tick()
        restartedWorkers.tick()
        autoscaler.tick()
        dependencies.requestFinalStates()
        imageLocations.storeChanges()
        splitting.merge()
    }

    // Jobs.

    /** Returns a job without a final state, whether or not it waits for its dependencies. */
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

    /** The job's cancellation was stored under [version] at [at], a wall-clock time. */
    fun jobCancelled(id: String, version: Long, at: Duration) {
        job(id)?.let { jobEvents.jobCancelled(it, version, at, dependencies) }
    }

    /** The job's record was removed from the live jobs because the job has its final state. */
    fun jobRemoved(id: String) {
        dependencies.jobRemoved(id)
        jobEvents.jobEnded(id)
    }

    /** The final states of the [requested] jobs were read; [found] holds those that could be read. */
    fun finalStatesRead(requested: List<String>, found: Map<String, FinalState>) =
        dependencies.finalStatesRead(requested, found)

    /** A transaction has ended. */
    fun transactionEnded(outcome: StoreOutcome) = writes.transactionEnded(outcome)

    // Stored forms.

    /** The controllers were asked whether all of them can read split records. */
    fun splitRecordSupportChecked(allReadSplitRecords: Boolean) {
        if (allReadSplitRecords) splitting.markSupportedByAll()
    }

    /** Forbids or allows split records, regardless of what the controllers can read. */
    fun setSplittingForbidden(forbidden: Boolean) = splitting.setForbidden(forbidden)

    /** The image locations that an earlier leader stored were read; each is used once its machine sends a heartbeat. */
    fun imageLocationsRead(images: ImagesByMachine) = imageLocations.loadStored(images)

    /** The image locations of a [part] were not stored, or it is not known whether they were. */
    fun imageLocationsNotStored(part: Int) = imageLocations.notStored(part)

    // Machines.

    /** A worker sent a periodic heartbeat. Returns the commands for the answer. */
    fun heartbeatReceived(heartbeat: Heartbeat): List<Command> {
        val machine =
            heartbeats.process(heartbeat, HeartbeatSource.WORKER) ?: return outdatedHeartbeatReceived(heartbeat)
        if (machine.isTrusted) return heartbeatReplyCommands.commandsFor(machine)
        // The worker has not seen this leader's token yet, but what is not placed there may not run there in any case.
        return heartbeatReplyCommands.stopsOfMisplacedTasks(machine, heartbeat).also(context::countOrders)
    }

    private fun outdatedHeartbeatReceived(heartbeat: Heartbeat): List<Command> {
        val machine = machines[heartbeat.machine] ?: return emptyList()
        return restartedWorkers.outdatedHeartbeatReceived(machine, heartbeat)
    }

    /** A request with commands has ended. [heartbeat]: the worker's answer, if there was one. */
    fun commandsEnded(machine: String, request: SendCommands, outcome: CommandOutcome, heartbeat: Heartbeat?) {
        val known = machines[machine] ?: return
        commands.requestEnded(known, request, outcome)
        if (heartbeat != null) heartbeats.process(heartbeat, HeartbeatSource.REPLY)
    }

    /** A probe has ended. [wasSent]: false if the probe was never sent, which says nothing about the machine. */
    fun probeEnded(probe: Probe, heartbeat: Heartbeat?, wasSent: Boolean = true) {
        val machine = machines[probe.machine]
        if (heartbeat == null || heartbeat.machine != probe.machine) {
            if (wasSent && !overload.isOverloaded) machine?.reachability?.recordNoResponse(now)
            return
        }
        machine?.reachability?.recordReachable(now)
        if (machine != null && restartedWorkers.probeAnswered(machine, probe, heartbeat)) return
        val processed = heartbeats.process(heartbeat, HeartbeatSource.REPLY) ?: return
        // A worker that sends its heartbeats to another node receives this leader's token in this request.
        val isIdle = !processed.requests.isInFlight && !processed.isDeleting
        if (processed.token < token && isIdle) commands.send(processed, emptyList())
    }

    /** The cloud's machine types were read. */
    fun machineTypesRead(types: List<MachineType>) = cluster.updateTypes(types)

    /** The cloud returned its complete list of machines, which may lag behind their real state. */
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

    /** The cloud refused the request and rented nothing. */
    fun scaleOutRefused(request: ScaleOut) = autoscaler.scaleOutAnswered(request, 0)

    /** The request was not answered. The same request is sent again, which can't rent the machines twice. */
    fun scaleOutUnanswered(request: ScaleOut) = autoscaler.scaleOutUnanswered(request)

    /** A deletion request has ended. If [ok], the cloud confirmed that the machines and all their tasks are gone. */
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

    /** An attempt to advance the fencing token has ended; [newToken] is null if it failed. */
    fun fencingTokenAdvanced(newToken: Long?) = tokenAdvancer.advanceEnded(newToken)

    /** The delay with which this process handles incoming events was measured. */
    fun backlogMeasured(backlog: Duration) = overload.backlogMeasured(backlog)

    /**
     * The process was stalled or could not lead for the duration of [gap], so missing heartbeats from that time prove
     * nothing. Without this correction a leader that survived an outage of the key-value store would conclude that it
     * is in contact with no machine, and resign.
     */
    fun processResumed(gap: Duration) {
        for (machine in machines.values) machine.reachability.excludeGap(gap, now)
    }

    /**
     * Returns the machines whose cancelled work has to be gone at [at]. While no node can lead because the key-value
     * store is unavailable, deleting these machines is the only action that is safe without leadership: it starts
     * nothing, and the current or next leader finds the machines gone. Other work on the machines is lost, so the
     * deletion is justified only at the last moment, and only if the machine does not report in time that the work is
     * gone.
     */
    fun overdueMachines(at: Duration): List<OverdueMachine> = cancelledWork.overdueMachines(at)

    /** How many more tasks of the job its team's quota allows. */
    fun remainingQuota(job: Job): Int = cluster.quotas.remaining(job)

    /** The latest time at which the job should start; orders jobs of the same priority. */
    fun latestStart(job: Job): Duration = deadlines.latestStart(job)

    private companion object {
        /** A longer gap between two steps means that the process was stalled. */
        val STALL_THRESHOLD = 3.seconds
        val DELETION_RETRY = 1.seconds
    }
}
