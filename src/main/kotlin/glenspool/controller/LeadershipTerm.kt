package glenspool.controller

import glenspool.api.WorkerCommands
import glenspool.core.OrderCounts
import glenspool.core.Scheduler
import glenspool.core.model.Command
import glenspool.logging.loggerOf
import glenspool.peer.RecoveryVerb
import glenspool.reconcile.RecoveryEngine
import glenspool.reconcile.StartKind
import glenspool.rollout.FeatureRegistry
import glenspool.state.wallClock
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * One term of this node's leadership: its [Scheduler], its recovery and the pause while the lease is uncertain.
 * Confined to the core thread, apart from [orderCounts].
 */
internal class LeadershipTerm(
    val term: Term,
    private val scheduler: Scheduler,
    private val recovery: RecoveryEngine?,
    private val context: TermContext,
) {
    private var pausedSince: Duration? = null

    /** Counts of the orders issued in this term; any thread may read them. */
    val orderCounts: OrderCounts get() = scheduler.orderCounts

    /** Loads the stored state. No heartbeat may be passed to this term before this function has returned. */
    fun start() {
        step {
            splitRecordSupportChecked(context.features.isInUse(FeatureRegistry.SEALED_RECORDS))
            context.knownTypes()?.let { machineTypesRead(it) }
            context.changeApplier.loadAll(this)
            // Which jobs have records that an earlier leader has split is known only after the load.
            updateSplitting()
        }
        log.info(
            "term started token={} jobs={} placements={}",
            term.token, scheduler.jobs.size, scheduler.jobs.values.sumOf { it.placements.size },
        )
    }

    /**
     * Passes [event] to the scheduler and carries out the resulting actions. Without a valid lease the scheduler gets
     * no clock event, but it still gets the outcomes of calls, since it would otherwise wait for them indefinitely.
     */
    fun step(event: Scheduler.() -> Unit) {
        scheduler.step(context.clock.elapsedNow(), wallClock(), event).forEach { context.actions.perform(it, term) }
    }

    /**
     * Ticks the scheduler and the recovery, or pauses both while the lease is uncertain. When this node can't reach the
     * key-value store, another node may already lead, and conclusions from an outdated state or from machines that obey
     * another leader would be invalid.
     */
    fun tick() {
        if (!hasLease()) return pause()
        pausedSince?.let { since ->
            pausedSince = null
            step { processResumed(context.clock.elapsedNow() - since) }
        }
        val backlog = context.backlog()
        step {
            backlogMeasured(backlog)
            updateSplitting()
            tick()
        }
        tickRecovery(backlog)
        context.orderSummary.logIfDue(scheduler)
    }

    private fun hasLease() = context.leadership.current() == term

    private fun pause() {
        if (pausedSince == null) pausedSince = context.clock.elapsedNow()
        val overdue = scheduler.overdueMachines(context.clock.elapsedNow())
        if (overdue.isNotEmpty()) context.onOverdueWork(overdue)
    }

    private fun tickRecovery(backlog: Duration) {
        val engine = recovery ?: return
        val notices = engine.tick(context.clock.elapsedNow(), isOverloaded = backlog >= COMPARISON_LIMIT_BACKLOG)
        if (notices.isNotEmpty()) context.recoveryManager?.handleNotices(notices)
    }

    private fun Scheduler.updateSplitting() {
        splitRecordSupportChecked(context.features.isInUse(FeatureRegistry.SEALED_RECORDS))
        setSplittingForbidden(context.features.permit(FeatureRegistry.SEALED_RECORDS) == null)
    }

    /** Returns the commands for the worker that sent the heartbeat; null if this node may not answer as leader. */
    fun answer(pending: PendingHeartbeat): WorkerCommands? {
        // If the worker has seen a higher token, either this node's token is being advanced or another node leads.
        if (!hasLease() || pending.heartbeat.token > scheduler.token) return null
        var commands: List<Command> = emptyList()
        step { commands = heartbeatReceived(pending.heartbeat) }
        return WorkerCommands(scheduler.token, commands)
    }

    /** Notifies the recovery that the key-value store was read by a request sent at [sent]. */
    fun storeRead(sent: ComparableTimeMark) {
        recovery?.recordStoreRead(context.clock.elapsedNow() - sent.elapsedNow())
    }

    /** Notifies the recovery of the kind of start that the other controllers' answers show. */
    fun startKindDetermined(kind: StartKind) {
        recovery?.startKindDetermined(kind)
    }

    /** Carries out an operator's stored order to the recovery. */
    fun recoveryOrdered(verb: RecoveryVerb) {
        val engine = recovery ?: return
        when (verb) {
            RecoveryVerb.APPROVE -> engine.approve()
            RecoveryVerb.PAUSE -> engine.pause()
            RecoveryVerb.RESUME -> engine.resume()
            RecoveryVerb.STATUS, RecoveryVerb.DIFFERENCES -> Unit
        }
    }

    private companion object {
        val log = loggerOf(LeadershipTerm::class.java)

        /** With this heartbeat backlog or a larger one the recovery compares fewer observations per tick. */
        val COMPARISON_LIMIT_BACKLOG: Duration = 50.milliseconds
    }
}
