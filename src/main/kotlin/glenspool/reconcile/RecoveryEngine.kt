package glenspool.reconcile

import glenspool.core.MissingTaskPolicy
import glenspool.core.SchedulerHooks
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Controls the recovery in one term: collects the scheduler's observations ([RecoveryObserver]), decides which of its
 * orders have to wait ([RecoveryOrderGate]) and advances the phases ([PhaseStateMachine]). A term that began with an
 * ordinary failover has no engine.
 *
 * Owned by the scheduler's thread; [snapshot] and [needsStoreReads] may be read by any thread.
 *
 * @param token the term's fencing token
 * @param startedAt when the term began, in the term's monotonic time
 * @param record this term's stored record; the operators' orders in it remain in force
 */
class RecoveryEngine(
    policy: RecoveryPolicy,
    timings: RecoveryTimings,
    private val token: Long,
    private val startedAt: Duration,
    startKind: StartKind,
    record: RecoveryRecord? = null,
) {
    private var now = startedAt
    private var evaluatedAt = startedAt - EVALUATION_INTERVAL
    private val phases = PhaseStateMachine(policy, timings, startedAt)
    private val breaker = CircuitBreaker(policy)
    private val budget = RepairBudget(policy.rates) { now }
    private val overrides = OperatorOverrides(record?.isPaused ?: false, record?.isApproved ?: false)
    private val unrecordedTasks = UnrecordedTasks(startedAt)
    private val observer = RecoveryObserver(phases, unrecordedTasks)
    private val resolution = ResolutionProgress()
    private var gathering = GatheringProgress.NONE

    /** The hooks for the term's scheduler. */
    val hooks: SchedulerHooks =
        SchedulerHooks(
            gate = RecoveryOrderGate(phases, overrides, unrecordedTasks, budget),
            observer = observer,
            newWorkRequiresWorkerHeartbeat = true,
            missingTaskPolicy = ::missingTaskPolicy,
            logFields = { "phase=$phase start=$startKind paused=$isPaused" },
        )

    var startKind = startKind
        private set
    val isPaused: Boolean get() = overrides.isPaused
    val isApproved: Boolean get() = overrides.isApproved
    val phase: RecoveryPhase get() = phases.state.phase

    /** Whether the recovery is still in progress. */
    val isActive: Boolean get() = phases.isActive

    /** Whether [recordStoreRead] has to be called after every read of the store. */
    val needsStoreReads: Boolean get() = unrecordedTasks.needsStoreReads

    /** The state at the last evaluation; null before the first evaluation. */
    @Volatile
    var snapshot: RecoverySnapshot? = null
        private set

    /** Records that the store was read by a request sent at [sentAt], and that the entire result has been applied. */
    fun recordStoreRead(sentAt: Duration) = unrecordedTasks.recordStoreRead(sentAt)

    /**
     * Sets how this term began, as determined by the other controllers' answers, if that was unknown. An ordinary
     * failover ends the recovery at the next evaluation.
     */
    fun startKindDetermined(kind: StartKind) {
        if (startKind == StartKind.UNKNOWN) startKind = kind
    }

    /** Holds the recovery in its current phase until [resume]. */
    fun pause() {
        overrides.isPaused = true
    }

    /** Resumes a paused recovery. */
    fun resume() {
        overrides.isPaused = false
    }

    /** Admits destructive orders regardless of how much of the fleet they concern. */
    fun approve() {
        overrides.isApproved = true
    }

    /**
     * Compares queued observations, and evaluates the phases and the breaker at most once a second. It has to be called
     * more often than that.
     *
     * @param at the term's monotonic time
     * @param isOverloaded whether this process has no spare CPU time
     */
    fun tick(at: Duration, isOverloaded: Boolean = false): List<RecoveryNotice> {
        now = at
        if (!isActive) return emptyList()
        observer.compareQueuedUpdates(isOverloaded)
        if (at - evaluatedAt < EVALUATION_INTERVAL) return emptyList()
        evaluatedAt = at
        return evaluate()
    }

    private fun evaluate(): List<RecoveryNotice> {
        observer.gatheringProgress()?.let { gathering = it }
        budget.resize(observer.fleetSize)
        val notices = ArrayList<RecoveryNotice>()
        val entered = advancePhases(notices)
        if (observer.isCompared) {
            resolution.update(observer.totals).mapTo(notices) { RecoveryNotice.ShareResolved(it, now - startedAt) }
        }
        val current = createSnapshot()
        snapshot = current
        entered.mapTo(notices) { RecoveryNotice.PhaseEntered(it, current) }
        if (!isActive) observer.clear()
        return notices
    }

    /** Enters as many phases as the facts allow, and returns them in order. */
    private fun advancePhases(notices: MutableList<RecoveryNotice>): List<PhaseState> {
        val entered = ArrayList<PhaseState>()
        while (true) {
            // Earlier phases admit no destructive orders, and entering the next phase depends on the breaker's state.
            if (phase == RecoveryPhase.ADOPTING) evaluateBreaker(notices)
            entered.add(phases.advance(facts()) ?: return entered)
            observer.phaseEntered()
        }
    }

    private fun evaluateBreaker(notices: MutableList<RecoveryNotice>) {
        val before = breaker.state
        val after = breaker.evaluate(observer.affectedMachineCount(), observer.fleetSize, isApproved, now)
        if (after.isOpen && !before.isOpen) notices.add(RecoveryNotice.BreakerOpened(after))
        if (after.release != null && before.release == null) notices.add(RecoveryNotice.BreakerReleased(after))
    }

    private fun facts(): PhaseFacts {
        val totals = observer.totals
        return PhaseFacts(
            now,
            startKind,
            observer.isListRead,
            gathering,
            repairable = totals.byKind.entries.sumOf { (kind, number) -> if (kind.isRepairable) number else 0 },
            unconfirmed = totals.unconfirmed,
            observer.isCompared,
            breaker.state,
            isPaused,
        )
    }

    /**
     * In every phase, workers may still be on their way to this leader: [RecoveryPhase.GATHERING] ends when most of the
     * machines are known, and a machine is known as soon as it has answered a request.
     */
    private fun missingTaskPolicy(): MissingTaskPolicy =
        if (isActive) MissingTaskPolicy.RESTORE_AND_WAIT else MissingTaskPolicy.RESCHEDULE

    private fun createSnapshot(): RecoverySnapshot {
        val totals = observer.totals
        return RecoverySnapshot(
            token,
            startKind,
            phases.state,
            phases.deadline,
            now,
            isPaused,
            isApproved,
            gathering,
            totals,
            resolution.share(totals),
            breaker.state,
            budget.perSecond.mapKeys { it.key.name.lowercase() },
            observer.findings,
        )
    }

    private companion object {
        val EVALUATION_INTERVAL = 1.seconds
    }
}
