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

    /** What the leader has ordered in this term; any thread may read it. */
    val orderCounts: OrderCounts get() = scheduler.orderCounts

    /** Loads everything that is stored; until it has returned, no heartbeat must reach this term. */
    fun start() {
        step {
            membersChecked(context.features.isInUse(FeatureRegistry.SEALED_RECORDS))
            context.knownTypes()?.let { machineTypesKnown(it) }
            context.changeApplier.loadAll(this)
            // Only now are the jobs known whose records an earlier leader has split.
            updateSplitting()
        }
        log.info("term started token={} jobs={}", term.token, scheduler.jobs.size)
    }

    /**
     * Steps the scheduler with [event] and has its actions carried out. Without a valid lease no clock event is given;
     * outcomes of calls still have to arrive, or the scheduler would wait for them for ever.
     */
    fun step(event: Scheduler.() -> Unit) {
        scheduler.step(context.clock.elapsedNow(), wallClock(), event).forEach { context.actions.perform(it, term) }
    }

    /**
     * Ticks the scheduler and the recovery, or pauses both while the lease is uncertain: cut off from the key-value
     * store, another node may lead by now, and conclusions from an outdated state, or from machines that obey another
     * leader, are worth nothing.
     */
    fun tick() {
        if (!hasLease()) return pause()
        pausedSince?.let { since ->
            pausedSince = null
            step { resumed(context.clock.elapsedNow() - since) }
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
        scheduler.overdueMachines(context.clock.elapsedNow()).forEach(context.actions::removeOverdueWork)
    }

    private fun tickRecovery(backlog: Duration) {
        val engine = recovery ?: return
        val notices = engine.tick(context.clock.elapsedNow(), isOverloaded = backlog >= BEHIND)
        if (notices.isNotEmpty()) context.recoveryManager?.handleNotices(notices)
    }

    private fun Scheduler.updateSplitting() {
        membersChecked(context.features.isInUse(FeatureRegistry.SEALED_RECORDS))
        splittingForbidden(context.features.permit(FeatureRegistry.SEALED_RECORDS) == null)
    }

    /** The commands for the worker that sent the heartbeat; null: this node may not answer as leader. */
    fun answer(pending: PendingHeartbeat): WorkerCommands? {
        // A worker that has seen a higher token: either ours is being advanced, or another node leads.
        if (!hasLease() || pending.heartbeat.token > scheduler.token) return null
        var commands: List<Command> = emptyList()
        step { commands = heartbeatReceived(pending.heartbeat) }
        return WorkerCommands(scheduler.token, commands)
    }

    /** The store was read by a request sent at [sent]. */
    fun storeRead(sent: ComparableTimeMark) {
        recovery?.recordStoreRead(context.clock.elapsedNow() - sent.elapsedNow())
    }

    /** The other controllers' answers show how the term began. */
    fun startKindDetermined(kind: StartKind) {
        recovery?.startKindDetermined(kind)
    }

    /** Carries out an operator's stored order. */
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

        /** With a larger backlog the core counts as behind. */
        val BEHIND: Duration = 50.milliseconds
    }
}
