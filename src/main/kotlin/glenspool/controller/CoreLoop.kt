package glenspool.controller

import glenspool.cloud.CloudClient
import glenspool.cloud.RentOutcome
import glenspool.config.Settings
import glenspool.core.Action
import glenspool.core.AskEnds
import glenspool.core.Delete
import glenspool.core.Direct
import glenspool.core.DirectOutcome
import glenspool.core.Note
import glenspool.core.Probe
import glenspool.core.RaiseToken
import glenspool.core.Rent
import glenspool.core.Resign
import glenspool.core.SaveImages
import glenspool.core.Scheduler
import glenspool.core.SchedulerConfig
import glenspool.core.Store
import glenspool.core.StoreOutcome
import glenspool.core.Tuning
import glenspool.core.cluster.Overdue
import glenspool.core.model.Command
import glenspool.core.model.JobEnd
import glenspool.core.model.MachineType
import glenspool.core.model.Report
import glenspool.core.model.TaskState
import glenspool.http.CallPool
import glenspool.logging.loggerOf
import glenspool.rollout.FeaturePermits
import glenspool.rollout.FeatureRegistry
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.Replica
import glenspool.state.StateClient
import glenspool.state.StateResult
import glenspool.state.StoredJob
import glenspool.wire.FinalWire
import glenspool.wire.ImagesWire
import glenspool.wire.MalformedMessage
import glenspool.wire.StateWire
import glenspool.wire.count
import glenspool.worker.WorkerClient
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Owns the core: one thread takes events from one queue, steps the [Scheduler] and hands its actions to the
 * adapters' threads. Nothing that a rule depends on leaves here while the leadership is not certain.
 */
class CoreLoop(
    private val settings: Settings,
    private val tuning: Tuning,
    private val replica: Replica,
    private val leadership: Leadership,
    private val state: StateClient,
    private val cloud: CloudClient,
    private val workers: WorkerClient,
    private val writer: StateWriter,
    private val knownTypes: () -> List<MachineType>?,
    private val features: FeaturePermits,
    /** How long a report may have waited before this node read it. */
    private val intakeLag: () -> Duration,
) : AutoCloseable {
    /** What the core is told of the deployment. */
    val config = SchedulerConfig(
        settings.teams, settings.objectives, settings.zones,
        settings.workers.report, settings.workers.lease, settings.workers.gangWait, settings.workers.gangPeer, settings.workers.cancel,
        settings.cloudLimits.listLag, settings.stateLimits.safe.txnOps, settings.stateLimits.safe.writeRps,
        settings.stateLimits.safe.valueBytes, tuning, settings.members.map { it.zone }.toSet() - settings.zone, log.isDebugEnabled,
    )

    private class Session(val term: Term, val scheduler: Scheduler)

    private val queue = LinkedBlockingQueue<Event>(QUEUE)
    private val clock = TimeSource.Monotonic.markNow()
    private var session: Session? = null
    private var pausedSince: Duration? = null
    private var summarizedAt = Duration.ZERO
    private val stored = StoredJob(replica)

    /** A machine that does not answer holds a thread for seconds, and tens of them may be lost at once. */
    private val pool = CallPool("call", MAX_CALLS, QUEUED_CALLS)

    /** Questions to silent machines are slow by nature: they must not keep commands from machines that answer. */
    private val probePool = CallPool("probe", PROBES, QUEUED_CALLS)
    private val cloudPool = CallPool("cloud-call", 3, 200)

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
        step {
            behind(maxOf(pendingReports.backlog(), intakeLag()))
            splittingKnown()
            tick()
        }
        summarizeOrders()
    }

    /** Once in a while, and only if there was anything to count since. */
    private fun summarizeOrders() {
        val scheduler = session?.scheduler ?: return
        if (scheduler.now - summarizedAt < SUMMARY_EVERY) return
        summarizedAt = scheduler.now
        val counts = scheduler.counts.toString()
        if (counts.isNotEmpty()) log.info("orders token={} {}", scheduler.token, counts)
    }

    private fun Scheduler.splittingKnown() {
        membersKnown(features.inUse(FeatureRegistry.SEALED_RECORDS))
        splittingForbidden(features.permit(FeatureRegistry.SEALED_RECORDS) == null)
    }

    private fun endOverdue() {
        val s = session ?: return
        for (o in s.scheduler.overdue(clock.elapsedNow())) {
            run(probePool, { log.debug("machine {} not looked after", o.machine) }) { end(o) }
        }
    }

    private fun end(o: Overdue) {
        val r = if (o.addr.isEmpty()) null else workers.show(o.addr)
        if (r != null && r.machine == o.machine && r.tasks.none { it.key.job in o.jobs && it.state != TaskState.EXITED }) return
        val ok = cloud.delete(listOf(o.machine))
        log.info("delete machine={} reason=cancelled-work leading=false ok={}", o.machine, ok)
        if (ok) post(Event.DeleteEnded(listOf(o.machine), true))
    }

    private fun handle(e: Event) {
        when (e) {
            is Event.Elected -> begin(e.term)
            Event.Deposed -> session = null
            is Event.Changes -> step { e.changes.forEach { applyChange(it) } }
            is Event.Cancelled -> step { e.list.forEach { jobCancelled(it.job, it.version, it.at) } }
            is Event.Reported -> answer(e.pending)
            // An earlier term's call says nothing of this term's.
            is Event.DirectEnded -> if (session?.term == e.term) step { directEnded(e.sent.machine, e.sent, e.outcome, e.report) }
            is Event.Probed -> step { probed(e.machine, e.report, e.asked) }
            is Event.Listed -> step { listed(e.list) }
            is Event.Types -> step { typesKnown(e.list) }
            is Event.RentEnded -> step {
                when (val o = e.outcome) {
                    is RentOutcome.Rented -> rented(e.request, o.machines)
                    RentOutcome.Refused -> rentRefused(e.request)
                    RentOutcome.Unknown -> rentUnknown(e.request)
                }
            }
            is Event.DeleteEnded -> step { deletionEnded(e.machines, e.ok) }
            is Event.Stored -> if (session?.term == e.term) step { stored(e.outcome) }
            is Event.Raised -> step { tokenRaised(e.token) }
            is Event.EndsRead -> if (session?.term == e.term) step { endsRead(e.asked, e.found) }
        }
    }

    private fun step(body: Scheduler.() -> Unit) {
        val s = session ?: return
        // Without a valid lease the core stands still; what it misses, later reports and reads tell again.
        // Outcomes of calls still have to arrive, or it would wait for them for ever.
        val actions = s.scheduler.step(clock.elapsedNow(), wallClock()) { body() }
        actions.forEach { perform(it, s) }
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
        val scheduler = Scheduler(config, term.token, clock.elapsedNow())
        val s = Session(term, scheduler)
        session = s
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

    private fun rememberedImages(i: StateWire.Item): Map<String, Map<String, Double>> = try {
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

    private fun perform(a: Action, s: Session) {
        when (a) {
            is Direct -> call({ post(Event.DirectEnded(a, DirectOutcome.NOT_TRIED, null, s.term)) }) {
                val (outcome, report) = if (leadership.current() == s.term) workers.command(a) else DirectOutcome.NOT_TRIED to null
                if (log.isDebugEnabled) log.debug("direct machine={} commands={} outcome={}", a.machine, a.commands, outcome)
                post(Event.DirectEnded(a, outcome, report, s.term))
            }
            is Probe -> run(probePool, { post(Event.Probed(a.machine, null, false)) }) { post(Event.Probed(a.machine, workers.show(a.addr), true)) }
            is Rent -> cloudCall({ post(Event.RentEnded(a, RentOutcome.Unknown)) }) {
                val o = if (leadership.current() == s.term) cloud.rent(a) else RentOutcome.Unknown
                log.info("rent request={} type={} zone={} spot={} count={} outcome={}", a.request, a.type, a.zone, a.spot, a.count, o)
                post(Event.RentEnded(a, o))
            }
            is Delete -> cloudCall({ post(Event.DeleteEnded(a.machines, false)) }) {
                val ok = leadership.current() == s.term && cloud.delete(a.machines)
                log.info("delete machines={} ok={}", a.machines, ok)
                post(Event.DeleteEnded(a.machines, ok))
            }
            is RaiseToken -> call({ post(Event.Raised(null)) }) {
                val t = leadership.raiseToken()
                log.info("token raised to={}", t)
                post(Event.Raised(t))
            }
            is SaveImages -> call({ log.debug("images not kept") }) {
                val r = state.transact(mapOf(Keys.LEAD to s.term.mark), listOf(Put(Keys.images(a.part), ImagesWire.encode(a.images))))
                if (r !is StateResult.Ok) log.debug("images not kept: {}", r)
            }
            is AskEnds -> call({ post(Event.EndsRead(a.jobs, emptyMap(), s.term)) }) { post(Event.EndsRead(a.jobs, readEnds(a.jobs), s.term)) }
            is Resign -> call({ log.warn("could not resign") }) { leadership.resign(a.why, settings.workers.lease) }
            is Note -> if (a.important) log.info(a.text) else log.debug(a.text)
            is Store -> if (!writer.offer(s.term, a)) post(Event.Stored(StoreOutcome.Unknown, s.term))
        }
    }

    /** How the jobs ended, as far as the state service tells; a final state never changes. */
    private fun readEnds(jobs: List<String>): Map<String, JobEnd> {
        val found = HashMap<String, JobEnd>()
        for (id in jobs) {
            when (val r = state.get(Keys.final(id))) {
                is StateResult.Ok -> found[id] = FinalWire.end(r.value.value)
                is StateResult.Missing -> log.info("no end is stored of {}", id)
                // The next would fare no better.
                else -> return found
            }
        }
        return found
    }

    private fun call(refused: () -> Unit, body: () -> Unit) = run(pool, refused, body)

    private fun cloudCall(refused: () -> Unit, body: () -> Unit) = run(cloudPool, refused, body)

    private fun run(on: CallPool, refused: () -> Unit, body: () -> Unit) {
        val taken = on.run {
            try {
                body()
            } catch (e: Exception) {
                log.error("call failed", e)
                refused()
            }
        }
        if (!taken) {
            log.warn("too many calls at once")
            refused()
        }
    }

    override fun close() {
        listOf(pool, probePool, cloudPool).forEach { it.close() }
    }

    companion object {
        private val log = loggerOf(CoreLoop::class.java)
        private const val QUEUE = 20_000
        private const val MAX_CALLS = 120
        private val EXPIRE_EVERY: Duration = 250.milliseconds

        /** A question to a lost machine holds a thread until its time is out, and hundreds may be lost at once. */
        private const val PROBES = 64

        /** A command to each machine of a large fleet may wait its turn. */
        private const val QUEUED_CALLS = 10_000
        private val TICK: Duration = 250.milliseconds
        private val SUMMARY_EVERY: Duration = 60.seconds
    }
}

/** The time of day, as a span since the epoch. */
fun wallClock(): Duration = java.time.Instant.now().toEpochMilli().milliseconds
