package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.cloud.ScaleOutOutcome
import glenspool.core.OrderCounts
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
import glenspool.core.cluster.OverdueMachine
import glenspool.core.model.Heartbeat
import glenspool.core.model.MachineType
import glenspool.logging.loggerOf
import glenspool.rollout.FeaturePermits
import glenspool.state.StoreCache
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** The core thread's event loop: takes events from one queue and dispatches them to the current [LeadershipTerm]. */
class CoreLoop(
    /** The configuration of the scheduler in every term. */
    private val config: SchedulerConfig,
    cache: StoreCache,
    private val leadership: Leadership,
    actions: ActionExecutor,
    features: FeaturePermits,
    /** Returns the machine types last read or stored; null if none are known yet. */
    knownTypes: () -> List<MachineType>?,
    /** Called with machines whose cancelled work is overdue while this node can't act as the leader. */
    onOverdueWork: (List<OverdueMachine>) -> Unit,
    /** Returns how long received heartbeats may have waited before this node read them. */
    intakeLag: () -> Duration,
    /** Null if recovery is not managed. */
    private val recoveryManager: RecoveryManager? = null,
) {
    private val queue = LinkedBlockingQueue<Event>(MAX_QUEUED_EVENTS)
    private val clock = TimeSource.Monotonic.markNow()
    private val pendingHeartbeats = PendingHeartbeats(clock::elapsedNow)
    private val intake = HeartbeatIntake(pendingHeartbeats, leadership::current) { post(Event.HeartbeatReceived(it)) }
    private val context =
        TermContext(
            clock = clock,
            leadership = leadership,
            features = features,
            changeApplier = StoreChangeApplier(cache),
            actions = actions,
            orderSummary = OrderSummary(),
            onOverdueWork = onOverdueWork,
            backlog = { maxOf(pendingHeartbeats.backlog(), intakeLag()) },
            knownTypes = knownTypes,
            recoveryManager = recoveryManager,
        )

    /** Null while this node does not lead. Confined to the core thread. */
    private var activeTerm: LeadershipTerm? = null

    /** Counts of the orders that this node has issued in the current term; null if it does not lead. */
    @Volatile
    var orderCounts: OrderCounts? = null
        private set

    /** Queues an event for the core thread; never blocks. */
    fun post(event: Event) {
        if (queue.offer(event)) return
        // A full queue means that the core is overloaded. Waiting here would block the store watch, and dropping single
        // events could lose evidence. The node steps down instead, and its next term starts from the stored state.
        log.error("event queue of the core is full; dropping its events and stepping down")
        queue.clear()
        pendingHeartbeats.drop()
        leadership.stepDown("event queue full")
    }

    /** See [HeartbeatIntake.accept]. */
    fun acceptHeartbeat(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit) = intake.accept(heartbeat, answer)

    /** The body of the service thread that answers heartbeats which the core did not process in time. */
    fun expireHeartbeats() {
        while (true) {
            Thread.sleep(EXPIRY_CHECK_INTERVAL.inWholeMilliseconds)
            pendingHeartbeats.expire()
        }
    }

    /** The body of the core thread. */
    fun run() {
        var nextTick = clock.elapsedNow()
        while (!Thread.currentThread().isInterrupted) {
            val wait =
                (nextTick - clock.elapsedNow()).inWholeMilliseconds.coerceIn(0, TICK_INTERVAL.inWholeMilliseconds)
            val event = queue.poll(wait, TimeUnit.MILLISECONDS)
            try {
                if (event != null) dispatch(event)
                if (clock.elapsedNow() >= nextTick) {
                    activeTerm?.tick()
                    nextTick = clock.elapsedNow() + TICK_INTERVAL
                }
            } catch (e: RuntimeException) {
                // An incomplete step may leave an inconsistent state, which must not be used any more. The next term
                // starts from the stored state.
                log.error("core thread failed to process an event or a tick; stepping down", e)
                activeTerm = null
                leadership.stepDown("the core thread failed")
            }
        }
    }

    private fun dispatch(event: Event) {
        when (event) {
            is Event.LeaderElected -> beginTerm(event.term)
            is Event.LeadershipLost -> endTerm()
            is Event.StoreChanged -> step { event.changes.forEach { context.changeApplier.apply(this, it) } }
            is Event.CancellationsReceived ->
                step { event.cancellations.forEach { jobCancelled(it.job, it.version, it.at) } }
            is Event.HeartbeatReceived -> answer(event.pending)
            is Event.CommandsEnded ->
                activeTermIf(event.term)?.step {
                    commandsEnded(event.sent.machine, event.sent, event.outcome, event.heartbeat)
                }
            is Event.ProbeEnded -> step { probeEnded(event.probe, event.heartbeat, event.wasSent) }
            is Event.MachinesListed -> step { machinesListed(event.machines) }
            is Event.MachineTypesRead -> step { machineTypesRead(event.types) }
            is Event.ScaleOutEnded -> step { scaleOutEnded(event) }
            is Event.DeletionEnded -> step { deletionEnded(event.machines, event.isDeleted) }
            is Event.StoreEnded -> activeTermIf(event.term)?.step { transactionEnded(event.outcome) }
            is Event.ImageLocationsNotStored -> activeTermIf(event.term)?.step { imageLocationsNotStored(event.part) }
            is Event.FencingTokenAdvanced -> step { fencingTokenAdvanced(event.token) }
            is Event.StoreRead -> activeTerm?.storeRead(event.sent)
            is Event.StartKindDetermined -> activeTermIf(event.term)?.startKindDetermined(event.kind)
            is Event.RecoveryOrdered -> activeTermIf(event.term)?.recoveryOrdered(event.verb)
            is Event.FinalStatesRead -> activeTermIf(event.term)?.step { finalStatesRead(event.jobs, event.states) }
        }
    }

    /** Returns the active term if it is [term]: the outcome of an earlier term's call is of no use to a later one. */
    private fun activeTermIf(term: Term): LeadershipTerm? = activeTerm?.takeIf { it.term == term }

    private fun step(event: Scheduler.() -> Unit) {
        activeTerm?.step(event)
    }

    private fun Scheduler.scaleOutEnded(event: Event.ScaleOutEnded) {
        when (val outcome = event.outcome) {
            is ScaleOutOutcome.Rented -> scaleOutSucceeded(event.request, outcome.machines)
            ScaleOutOutcome.Refused -> scaleOutRefused(event.request)
            ScaleOutOutcome.Unknown -> scaleOutUnanswered(event.request)
        }
    }

    private fun answer(pending: PendingHeartbeat) {
        pendingHeartbeats.dequeue(pending)
        var commands: WorkerCommands? = null
        try {
            commands = activeTerm?.answer(pending)
        } finally {
            // The heartbeat is answered after a failed step as well, since nothing else would answer it.
            pending.complete(commands)
        }
    }

    private fun beginTerm(term: Term) {
        val now = clock.elapsedNow()
        val recovery = recoveryManager?.begin(term, now)
        val hooks = recovery?.hooks ?: recoveryManager?.hooksWithoutRecovery ?: SchedulerHooks()
        val newTerm = LeadershipTerm(term, Scheduler(config, term.token, now, hooks), recovery, context)
        activeTerm = newTerm
        orderCounts = newTerm.orderCounts
        newTerm.start()
        intake.readyTerm = term
    }

    private fun endTerm() {
        activeTerm = null
        orderCounts = null
    }

    private companion object {
        val log = loggerOf(CoreLoop::class.java)
        const val MAX_QUEUED_EVENTS = 20_000
        val EXPIRY_CHECK_INTERVAL: Duration = 250.milliseconds
        val TICK_INTERVAL: Duration = 250.milliseconds
    }
}
