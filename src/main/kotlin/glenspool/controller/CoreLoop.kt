package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.cloud.RentOutcome
import glenspool.config.Settings
import glenspool.core.OrderCounts
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.SchedulerHooks
import glenspool.core.Tuning
import glenspool.core.model.Command
import glenspool.core.model.MachineType
import glenspool.core.model.Report
import glenspool.logging.loggerOf
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.RecoveryEngine
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.Keys
import glenspool.state.Replica
import glenspool.state.StateClient
import glenspool.state.StoredJob
import glenspool.wire.ImagesWire
import glenspool.wire.MalformedMessage
import glenspool.wire.StateWire
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
    private val replica: Replica,
    private val leadership: Leadership,
    state: StateClient,
    cloud: CloudClient,
    workers: WorkerClient,
    writer: StateWriter,
    private val knownTypes: () -> List<MachineType>?,
    private val features: FeaturePermits,
    /** How long a report may have waited before this node read it. */
    private val intakeLag: () -> Duration,
    /** Null: recovery is not managed. */
    private val recoveries: () -> RecoveryManager? = { null },
) : AutoCloseable {
    /** What the core is told of the deployment. */
    val config = schedulerConfig(settings, tuning, notes = log.isDebugEnabled)

    private class Session(val term: Term, val scheduler: Scheduler, val recovery: RecoveryEngine?)

    private val queue = LinkedBlockingQueue<Event>(QUEUE)
    private val clock = TimeSource.Monotonic.markNow()
    private var session: Session? = null
    private var pausedSince: Duration? = null
    private var summarizedAt = Duration.ZERO
    private val stored = StoredJob(replica)

    private val actions = ActionExecutor(leadership, state, cloud, workers, writer, settings.workers.lease, ::post)

    fun post(e: Event) {
        // A full queue means that the core is far behind. Waiting here would block the state watch, and losing an
        // event could lose evidence: the leadership is given up instead, and rebuilt from what is stored.
        if (!queue.offer(e)) {
            log.error("event queue full")
            queue.clear()
            pendingReports.drop()
            leadership.stepDown("event queue full")
        }
    }

    private val pendingReports = PendingReports(clock::elapsedNow)

    private val intake = ReportIntake(pendingReports, leadership::current) { post(Event.Reported(it)) }

    /** See [ReportIntake.take]. */
    fun report(r: Report, answer: (WorkerOrders?) -> Unit) = intake.take(r, answer)

    /** The duty that answers reports which the core did not get to in time. */
    fun expireReports() {
        while (true) {
            Thread.sleep(EXPIRE_EVERY.inWholeMilliseconds)
            pendingReports.expire()
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
                    if (session != null) tickOrPause()
                    nextTick = clock.elapsedNow() + TICK
                }
            } catch (e: RuntimeException) {
                // Half a step leaves a picture that nothing may be judged from: it is made anew from what is stored.
                log.error("core failed", e)
                session = null
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
        if (leadership.current() != session?.term) {
            if (since == null) pausedSince = clock.elapsedNow()
            endOverdue()
            return
        }
        if (since != null) {
            pausedSince = null
            step { resumed(clock.elapsedNow() - since) }
        }
        val backlog = maxOf(pendingReports.backlog(), intakeLag())
        step {
            behind(backlog)
            splittingKnown()
            tick()
        }
        tickRecovery(backlog)
        summarizeOrders()
    }

    private fun tickRecovery(backlog: Duration) {
        val recovery = session?.recovery ?: return
        val notices = recovery.tick(clock.elapsedNow(), isBehind = backlog >= BEHIND)
        if (notices.isNotEmpty()) recoveries()?.noticed(notices)
    }

    /** What the present term's leader has ordered so far; null if this node does not lead. */
    @Volatile
    var orderCounts: OrderCounts? = null
        private set

    private fun summarizeOrders() {
        val scheduler = session?.scheduler ?: return
        if (scheduler.now - summarizedAt < SUMMARY_EVERY) return
        summarizedAt = scheduler.now
        val counts = scheduler.counts.snapshot()
        if (counts.isNotEmpty()) log.info("orders token={} {}", scheduler.token, OrderCounts.describe(counts))
    }

    private fun Scheduler.splittingKnown() {
        membersKnown(features.inUse(FeatureRegistry.SEALED_RECORDS))
        splittingForbidden(features.permit(FeatureRegistry.SEALED_RECORDS) == null)
    }

    private fun endOverdue() {
        val s = session ?: return
        s.scheduler.overdue(clock.elapsedNow()).forEach(actions::endOverdue)
    }

    private fun handle(e: Event) {
        when (e) {
            is Event.Elected -> begin(e.term)
            Event.Deposed -> {
                session = null
                orderCounts = null
            }
            is Event.Changes -> step { e.changes.forEach { applyChange(it) } }
            is Event.Cancelled -> step { e.list.forEach { jobCancelled(it.job, it.version, it.at) } }
            is Event.Reported -> answer(e.pending)
            // An earlier term's call says nothing of this term's.
            is Event.DirectEnded ->
                if (session?.term ==
                    e.term
                ) {
                    step { directEnded(e.sent.machine, e.sent, e.outcome, e.report) }
                }
            is Event.Probed -> step { probed(e.machine, e.report, e.asked) }
            is Event.Listed -> step { listed(e.list) }
            is Event.Types -> step { typesKnown(e.list) }
            is Event.RentEnded ->
                step {
                    when (val o = e.outcome) {
                        is RentOutcome.Rented -> rented(e.request, o.machines)
                        RentOutcome.Refused -> rentRefused(e.request)
                        RentOutcome.Unknown -> rentUnknown(e.request)
                    }
                }
            is Event.DeleteEnded -> step { deletionEnded(e.machines, e.ok) }
            is Event.Stored -> if (session?.term == e.term) step { stored(e.outcome) }
            is Event.Raised -> step { tokenRaised(e.token) }
            is Event.StateRead -> session?.recovery?.stateRead(clock.elapsedNow() - e.sent.elapsedNow())
            is Event.StartJudged -> if (session?.term == e.term) session?.recovery?.startJudged(e.kind)
            is Event.RecoveryOrdered -> if (session?.term == e.term) session?.recovery?.let { ordered(it, e.verb) }
            is Event.EndsRead -> if (session?.term == e.term) step { endsRead(e.asked, e.found) }
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
        val s = session ?: return
        // Without a valid lease the core stands still; what it misses, later reports and reads tell again.
        // Outcomes of calls still have to arrive, or it would wait for them for ever.
        val wanted = s.scheduler.step(clock.elapsedNow(), wallClock()) { body() }
        wanted.forEach { actions.perform(it, s.term) }
    }

    private fun answer(pending: PendingReport) {
        pendingReports.take(pending)
        val s = session
        // A worker that has seen a higher token: either ours is being raised, or another node leads.
        if (s == null || leadership.current() != s.term || pending.report.token > s.scheduler.token) {
            pending.complete(null)
            return
        }
        var orders: List<Command> = emptyList()
        try {
            step { orders = reported(pending.report) }
            pending.complete(WorkerOrders(s.scheduler.token, orders))
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
        val s = Session(term, scheduler, recovery)
        session = s
        orderCounts = scheduler.counts
        pausedSince = null
        step {
            membersKnown(features.inUse(FeatureRegistry.SEALED_RECORDS))
            knownTypes()?.let { typesKnown(it) }
            imagesRemembered(replica.under(Keys.IMAGES).map(::rememberedImages).fold(emptyMap()) { x, y -> x + y })
            replica.under(Keys.JOB).forEach { applyChange(StateWire.Change(it.key, it.value, it.version)) }
            replica.under(Keys.CANCEL).forEach { applyChange(StateWire.Change(it.key, it.value, it.version)) }
            // Only now are the jobs known whose records an earlier leader has split.
            splittingKnown()
        }
        intake.begun = term
        log.info("leading token={} jobs={}", term.token, scheduler.jobs.size)
    }

    private fun rememberedImages(i: StateWire.Item): Map<String, Map<String, Double>> =
        try {
            ImagesWire.decode(i.value)
        } catch (e: MalformedMessage) {
            log.warn("stored images are not readable", e)
            emptyMap()
        }

    private fun Scheduler.applyChange(c: StateWire.Change) {
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
        settings.workers.report, settings.workers.lease, settings.workers.gangWait, settings.workers.gangPeer, settings.workers.cancel,
        settings.cloudLimits.listLag, settings.stateLimits.safe.txnOps, settings.stateLimits.safe.writeRps,
        settings.stateLimits.safe.valueBytes, tuning, settings.members.map { it.zone }.toSet() - settings.zone, notes,
    )

/** The time of day, as a span since the epoch. */
fun wallClock(): Duration =
    java.time.Instant
        .now()
        .toEpochMilli()
        .milliseconds
