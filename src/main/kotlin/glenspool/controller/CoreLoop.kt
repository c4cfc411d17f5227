package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.cloud.ScaleOutOutcome
import glenspool.core.OrderCounts
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
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

/** The core thread's event loop: takes events from one queue and dispatches them to the present [LeadershipTerm]. */
class CoreLoop(
    /** The deployment as schedulers see it. */
    private val config: SchedulerConfig,
    cache: StoreCache,
    private val leadership: Leadership,
    actions: ActionExecutor,
    features: FeaturePermits,
    /** The machine types as last read or stored; null: none are known yet. */
    knownTypes: () -> List<MachineType>?,
    /** How long a heartbeat may have waited before this node read it. */
    intakeLag: () -> Duration,
    /** Null: recovery is not managed. */
    private val recoveryManager: RecoveryManager? = null,
) {
    private val queue = LinkedBlockingQueue<Event>(QUEUE_CAPACITY)
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
            backlog = { maxOf(pendingHeartbeats.backlog(), intakeLag()) },
            knownTypes = knownTypes,
            recoveryManager = recoveryManager,
        )

    /** Confined to the core thread; null: this node does not lead. */
    private var active: LeadershipTerm? = null

    /** What the present term's leader has ordered so far; null if this node does not lead. */
    @Volatile
    var orderCounts: OrderCounts? = null
        private set

    /** Queues an event for the core thread; never blocks. */
    fun post(event: Event) {
        if (queue.offer(event)) return
        // A full queue means that the core is far behind. Waiting here would block the store watch, and losing an event
        // could lose evidence: the leadership is given up instead, and rebuilt from what is stored.
        log.error("event queue full")
        queue.clear()
        pendingHeartbeats.drop()
        leadership.stepDown("event queue full")
    }

    /** See [HeartbeatIntake.accept]. */
    fun acceptHeartbeat(heartbeat: Heartbeat, answer: (WorkerCommands?) -> Unit) = intake.accept(heartbeat, answer)

    /** The service thread that answers heartbeats which the core did not reach in time. */
    fun expireHeartbeats() {
        while (true) {
            Thread.sleep(EXPIRY_PERIOD.inWholeMilliseconds)
            pendingHeartbeats.expire()
        }
    }

    /** The core thread. */
    fun run() {
        var nextTick = clock.elapsedNow()
        while (!Thread.currentThread().isInterrupted) {
            val wait = (nextTick - clock.elapsedNow()).inWholeMilliseconds.coerceIn(0, TICK.inWholeMilliseconds)
            val event = queue.poll(wait, TimeUnit.MILLISECONDS)
            try {
                if (event != null) dispatch(event)
                if (clock.elapsedNow() >= nextTick) {
                    active?.tick()
                    nextTick = clock.elapsedNow() + TICK
                }
            } catch (e: RuntimeException) {
                // Half a step leaves a state that nothing may be concluded from: it is rebuilt from what is stored.
                log.error("core failed", e)
                active = null
                leadership.stepDown("the core failed")
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
                activeIn(event.term)?.step {
                    commandsEnded(event.sent.machine, event.sent, event.outcome, event.heartbeat)
                }
            is Event.ProbeEnded -> step { probeEnded(event.machine, event.heartbeat, event.wasSent) }
            is Event.MachinesListed -> step { machinesListed(event.machines) }
            is Event.MachineTypesRead -> step { machineTypesKnown(event.types) }
            is Event.ScaleOutEnded -> step { scaleOutEnded(event) }
            is Event.DeletionEnded -> step { deletionEnded(event.machines, event.isDeleted) }
            is Event.StoreEnded -> activeIn(event.term)?.step { storeEnded(event.outcome) }
            is Event.FencingTokenAdvanced -> step { fencingTokenAdvanced(event.token) }
            is Event.StoreRead -> active?.storeRead(event.sent)
            is Event.StartKindDetermined -> activeIn(event.term)?.startKindDetermined(event.kind)
            is Event.RecoveryOrdered -> activeIn(event.term)?.recoveryOrdered(event.verb)
            is Event.FinalStatesRead -> activeIn(event.term)?.step { finalStatesRead(event.jobs, event.states) }
        }
    }

    /** An earlier term's call says nothing of this term. */
    private fun activeIn(term: Term): LeadershipTerm? = active?.takeIf { it.term == term }

    private fun step(event: Scheduler.() -> Unit) {
        active?.step(event)
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
            commands = active?.answer(pending)
        } finally {
            // Also after a failed step: nobody else would answer it any more.
            pending.complete(commands)
        }
    }

    private fun beginTerm(term: Term) {
        val now = clock.elapsedNow()
        val recovery = recoveryManager?.begin(term, now)
        val hooks = recovery?.hooks ?: recoveryManager?.hooksWithoutRecovery ?: SchedulerHooks()
        val begun = LeadershipTerm(term, Scheduler(config, term.token, now, hooks), recovery, context)
        active = begun
        orderCounts = begun.orderCounts
        begun.start()
        intake.readyTerm = term
    }

    private fun endTerm() {
        active = null
        orderCounts = null
    }

    private companion object {
        val log = loggerOf(CoreLoop::class.java)
        const val QUEUE_CAPACITY = 20_000
        val EXPIRY_PERIOD: Duration = 250.milliseconds
        val TICK: Duration = 250.milliseconds
    }
}
