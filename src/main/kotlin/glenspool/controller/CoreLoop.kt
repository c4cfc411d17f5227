package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.cloud.ScaleOutOutcome
import glenspool.config.Settings
import glenspool.core.OrderCounts
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
import glenspool.core.Tuning
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import glenspool.core.model.MachineType
import glenspool.logging.loggerOf
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.RecoveryEngine
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.JobRecordReader
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.StoreCache
import glenspool.wire.ImagesWire
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import glenspool.worker.WorkerClient
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Owns the core: one thread takes events from one queue, steps the [Scheduler] and hands its actions to the
 * [ActionExecutor].
 */
class CoreLoop(
    settings: Settings,
    tuning: Tuning,
    private val cache: StoreCache,
    private val leadership: Leadership,
    store: KeyValueStoreClient,
    cloud: CloudClient,
    workers: WorkerClient,
    writer: StoreWriter,
    private val knownTypes: () -> List<MachineType>?,
    private val features: FeaturePermits,
    /** How long a report may have waited before this node read it. */
    private val intakeLag: () -> Duration,
    /** Null: recovery is not managed. */
    private val recoveries: () -> RecoveryManager? = { null },
) : AutoCloseable {
    /** What the core is told of the deployment. */
    val config = schedulerConfig(settings, tuning, notes = log.isDebugEnabled)

    private class LeadershipTerm(val term: Term, val scheduler: Scheduler, val recovery: RecoveryEngine?)

    private val queue = LinkedBlockingQueue<Event>(QUEUE)
    private val clock = TimeSource.Monotonic.markNow()
    private var active: LeadershipTerm? = null
    private var pausedSince: Duration? = null
    private var summarizedAt = Duration.ZERO
    private val stored = JobRecordReader(cache)

    private val actions = ActionExecutor(leadership, store, cloud, workers, writer, settings.workers.lease, ::post)

    fun post(e: Event) {
        // A full queue means that the core is far behind. Waiting here would block the state watch, and losing an
        // event could lose evidence: the leadership is given up instead, and rebuilt from what is stored.
        if (!queue.offer(e)) {
            log.error("event queue full")
            queue.clear()
            pendingHeartbeats.drop()
            leadership.stepDown("event queue full")
        }
    }

    private val pendingHeartbeats = PendingHeartbeats(clock::elapsedNow)

    private val intake = HeartbeatIntake(pendingHeartbeats, leadership::current) { post(Event.HeartbeatReceived(it)) }

    /** See [HeartbeatIntake.take]. */
    fun heartbeat(r: Heartbeat, answer: (WorkerCommands?) -> Unit) = intake.take(r, answer)

    /** The duty that answers reports which the core did not get to in time. */
    fun expireHeartbeats() {
        while (true) {
            Thread.sleep(EXPIRE_EVERY.inWholeMilliseconds)
            pendingHeartbeats.expire()
        }
    }

    fun run() {
        var nextTick = clock.elapsedNow()
        while (!Thread.currentThread().isInterrupted) {
            val wait = (nextTick - clock.elapsedNow()).inWholeMilliseconds.coerceIn(0, TICK.inWholeMilliseconds)
            val e = queue.poll(wait, TimeUnit.MILLISECONDS)
            try {
                if (e != null) handle(e)
                if (clock.elapsedNow() >= nextTick) {
                    if (active != null) tickOrPause()
                    nextTick = clock.elapsedNow() + TICK
                }
            } catch (e: RuntimeException) {
                // Half a step leaves a picture that nothing may be judged from: it is made anew from what is stored.
                log.error("core failed", e)
                active = null
                leadership.stepDown("the core failed")
            }
        }
    }

    /**
     * Cut off from the state service, another node may lead by now: what this core would conclude from its old
     * picture, and from machines that obey somebody else, is worth nothing. It judges again once its lease is sure.
     */
    private fun tickOrPause() {
        val since = pausedSince
        if (leadership.current() != active?.term) {
            if (since == null) pausedSince = clock.elapsedNow()
            endOverdue()
            return
        }
        if (since != null) {
            pausedSince = null
            step { resumed(clock.elapsedNow() - since) }
        }
        val backlog = maxOf(pendingHeartbeats.backlog(), intakeLag())
        step {
            backlogMeasured(backlog)
            splittingKnown()
            tick()
        }
        tickRecovery(backlog)
        summarizeOrders()
    }

    private fun tickRecovery(backlog: Duration) {
        val recovery = active?.recovery ?: return
        val notices = recovery.tick(clock.elapsedNow(), isBehind = backlog >= BEHIND)
        if (notices.isNotEmpty()) recoveries()?.noticed(notices)
    }

    /** What the present term's leader has ordered so far; null if this node does not lead. */
    @Volatile
    var orderCounts: OrderCounts? = null
        private set

    private fun summarizeOrders() {
        val scheduler = active?.scheduler ?: return
        if (scheduler.now - summarizedAt < SUMMARY_EVERY) return
        summarizedAt = scheduler.now
        val counts = scheduler.orderCounts.snapshot()
        if (counts.isNotEmpty()) log.info("orders token={} {}", scheduler.token, OrderCounts.describe(counts))
    }

    private fun Scheduler.splittingKnown() {
        membersChecked(features.isInUse(FeatureRegistry.SEALED_RECORDS))
        splittingForbidden(features.permit(FeatureRegistry.SEALED_RECORDS) == null)
    }

    private fun endOverdue() {
        val s = active ?: return
        s.scheduler.overdueMachines(clock.elapsedNow()).forEach(actions::endOverdue)
    }

    private fun handle(e: Event) {
        when (e) {
            is Event.LeaderElected -> begin(e.term)
            Event.LeadershipLost -> {
                active = null
                orderCounts = null
            }
            is Event.StoreChanged -> step { e.changes.forEach { applyChange(it) } }
            is Event.CancellationsLearned -> step { e.list.forEach { jobCancelled(it.job, it.version, it.at) } }
            is Event.HeartbeatReceived -> answer(e.pending)
            // An earlier term's call says nothing of this term's.
            is Event.CommandsEnded ->
                if (active?.term ==
                    e.term
                ) {
                    step { commandsEnded(e.sent.machine, e.sent, e.outcome, e.heartbeat) }
                }
            is Event.ProbeEnded -> step { probeEnded(e.machine, e.heartbeat, e.asked) }
            is Event.MachinesListed -> step { machinesListed(e.list) }
            is Event.MachineTypesRead -> step { machineTypesKnown(e.list) }
            is Event.ScaleOutEnded ->
                step {
                    when (val o = e.outcome) {
                        is ScaleOutOutcome.Rented -> scaleOutSucceeded(e.request, o.machines)
                        ScaleOutOutcome.Refused -> scaleOutRefused(e.request)
                        ScaleOutOutcome.Unknown -> scaleOutUnanswered(e.request)
                    }
                }
            is Event.DeletionEnded -> step { deletionEnded(e.machines, e.ok) }
            is Event.StoreEnded -> if (active?.term == e.term) step { storeEnded(e.outcome) }
            is Event.FencingTokenAdvanced -> step { fencingTokenAdvanced(e.token) }
            is Event.StoreRead -> active?.recovery?.stateRead(clock.elapsedNow() - e.sent.elapsedNow())
            is Event.StartJudged -> if (active?.term == e.term) active?.recovery?.startJudged(e.kind)
            is Event.RecoveryOrdered -> if (active?.term == e.term) active?.recovery?.let { ordered(it, e.verb) }
            is Event.FinalStatesRead -> if (active?.term == e.term) step { finalStatesRead(e.asked, e.found) }
        }
    }

    private fun ordered(recovery: RecoveryEngine, verb: RecoveryVerb) =
        when (verb) {
            RecoveryVerb.APPROVE -> recovery.approve()
            RecoveryVerb.PAUSE -> recovery.pause()
            RecoveryVerb.RESUME -> recovery.resume()
            RecoveryVerb.STATUS, RecoveryVerb.DIFFERENCES -> Unit
        }

    private fun step(body: Scheduler.() -> Unit) {
        val s = active ?: return
        // Without a valid lease the core stands still; what it misses, later reports and reads tell again.
        // Outcomes of calls still have to arrive, or it would wait for them for ever.
        val wanted = s.scheduler.step(clock.elapsedNow(), wallClock()) { body() }
        wanted.forEach { actions.perform(it, s.term) }
    }

    private fun answer(pending: PendingHeartbeat) {
        pendingHeartbeats.take(pending)
        val s = active
        // A worker that has seen a higher token: either ours is being raised, or another node leads.
        if (s == null || leadership.current() != s.term || pending.heartbeat.token > s.scheduler.token) {
            pending.complete(null)
            return
        }
        var orders: List<Command> = emptyList()
        try {
            step { orders = heartbeatReceived(pending.heartbeat) }
            pending.complete(WorkerCommands(s.scheduler.token, orders))
        } finally {
            // A step that failed leaves it unanswered, and nobody else would answer it any more.
            pending.complete(null)
        }
    }

    private fun begin(term: Term) {
        val now = clock.elapsedNow()
        val recovery = recoveries()?.begin(term, now)
        val scheduler =
            Scheduler(
                config, term.token, now,
                recovery?.hooks ?: recoveries()?.ordinaryHooks ?: SchedulerHooks(),
            )
        val s = LeadershipTerm(term, scheduler, recovery)
        active = s
        orderCounts = scheduler.orderCounts
        pausedSince = null
        step {
            membersChecked(features.isInUse(FeatureRegistry.SEALED_RECORDS))
            knownTypes()?.let { machineTypesKnown(it) }
            imageLocationsRead(cache.withPrefix(Keys.IMAGES).map(::rememberedImages).fold(emptyMap()) { x, y -> x + y })
            cache.withPrefix(Keys.JOB).forEach { applyChange(StoreWire.Change(it.key, it.value, it.version)) }
            cache.withPrefix(Keys.CANCEL).forEach { applyChange(StoreWire.Change(it.key, it.value, it.version)) }
            // Only now are the jobs known whose records an earlier leader has split.
            splittingKnown()
        }
        intake.readyTerm = term
        log.info("leading token={} jobs={}", term.token, scheduler.jobs.size)
    }

    private fun rememberedImages(i: StoreWire.Item): Map<String, Map<String, Double>> =
        try {
            ImagesWire.decode(i.value)
        } catch (e: MalformedMessage) {
            log.warn("stored images are not readable", e)
            emptyMap()
        }

    private fun Scheduler.applyChange(c: StoreWire.Change) {
        try {
            val value = c.value
            when {
                c.key.startsWith(Keys.JOB) -> {
                    val id = c.key.removePrefix(Keys.JOB)
                    val known = job(id)
                    if (value == null) {
                        jobGone(id)
                    } else if (known != null) {
                        // Our own record comes back: only its version can be news.
                        if (c.version > known.version) known.version = c.version
                    } else {
                        jobStored(stored.read(id, value), c.version)
                    }
                }
                else -> c.cancellation()?.let { jobCancelled(it.job, it.version, it.at) }
            }
        } catch (e: MalformedMessage) {
            log.error("stored record {} is not readable", c.key, e)
        }
    }

    override fun close() {
        actions.close()
    }

    companion object {
        private val log = loggerOf(CoreLoop::class.java)
        private const val QUEUE = 20_000
        private val EXPIRE_EVERY: Duration = 250.milliseconds

        private val TICK: Duration = 250.milliseconds
        private val BEHIND: Duration = 50.milliseconds
        private val SUMMARY_EVERY: Duration = 60.seconds
    }
}

/** What a core is told of the deployment that [settings] describe. */
internal fun schedulerConfig(settings: Settings, tuning: Tuning, notes: Boolean = false) =
    SchedulerConfig(
        settings.teams, settings.objectives, settings.zones,
        settings.workers.heartbeatInterval, settings.workers.lease, settings.workers.gangWait, settings.workers.gangPeer, settings.workers.cancellationDeadline,
        settings.cloudLimits.listLag, settings.storeLimits.safe.txnOps, settings.storeLimits.safe.writeRps,
        settings.storeLimits.safe.valueBytes, tuning, settings.members.map { it.zone }.toSet() - settings.zone, notes,
    )

/** The time of day, as a span since the epoch. */
fun wallClock(): Duration =
    java.time.Instant
        .now()
        .toEpochMilli()
        .milliseconds
