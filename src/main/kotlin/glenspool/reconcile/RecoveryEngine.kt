package glenspool.reconcile

import glenspool.core.ClusterObserver
import glenspool.core.HeartbeatSource
import glenspool.core.MissingTaskPolicy
import glenspool.core.OrderGate
import glenspool.core.ProposedOrder
import glenspool.core.SchedulerHooks
import glenspool.core.StartCause
import glenspool.core.StopCause
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What operators are shown of a recovery: immutable, so any thread may read it while the engine goes on. */
data class RecoverySnapshot(
    val token: Long,
    val startKind: StartKind,
    val state: PhaseState,
    val until: Duration?,
    val now: Duration,
    val isPaused: Boolean,
    val isApproved: Boolean,
    val gathering: GatheringProgress,
    val totals: DifferenceTotals,
    /** The share of the adopted work of which it is known whether it still runs; 1 if there was none. */
    val settledShare: Double,
    val breaker: BreakerState,
    val ordersPerSecond: Map<String, Long>,
    val findings: PersistentMap<String, MachineFindings>,
)

/** Something that is worth a line in the log. */
sealed interface RecoveryNotice {
    data class PhaseEntered(val state: PhaseState, val snapshot: RecoverySnapshot) : RecoveryNotice

    /** So much of the adopted work is settled, [after] the start of the term. */
    data class Settled(val share: Double, val after: Duration) : RecoveryNotice

    data class BreakerOpened(val state: BreakerState) : RecoveryNotice

    data class BreakerReleased(val state: BreakerState) : RecoveryNotice
}

/**
 * Recovery in one term: watches what the scheduler learns, decides which of its orders have to wait, and in which phase
 * the term is. Owned by the thread that owns the scheduler; [snapshot] may be read by any. There is none in a term that
 * began as usual, and in the normal phase it costs nothing.
 */
class RecoveryEngine(
    private val policy: RecoveryPolicy,
    setting: RecoverySetting,
    private val token: Long,
    private val startedAt: Duration,
    startKind: StartKind,
    record: RecoveryRecord? = null,
) : OrderGate,
    ClusterObserver {
    private var tracker = DifferenceTracker()
    private var updates = DeferredUpdates(tracker)
    private val phases = PhaseMachine(policy, setting, startedAt)
    private val breaker = CircuitBreaker(policy)
    private var now = startedAt
    private var judgedAt = startedAt - JUDGE_EVERY
    private var adoptedAtFirst = 0
    private var gathering = GatheringProgress(emptyList())

    /** The cloud's newest list; null: none came in this term. */
    private var listed: List<ListedMachine>? = null

    /** Machines whose workers have shown this leader's token. */
    private val heard = HashSet<String>()

    /** Jobs that are live, as far as this leader knows. */
    private val knownJobs = HashSet<String>()
    private val milestones = ArrayDeque(listOf(0.5, 0.9, 0.99))

    /** Since when tasks that the state service does not know are seen, by machine and task. */
    private val unrecordedSince = HashMap<UnrecordedTask, Duration>()

    /** Whether it matters how recent this leader's knowledge of the stored jobs is. */
    @Volatile
    var awaitsStateRead = false
        private set

    private data class UnrecordedTask(val machine: String, val task: TaskKey)

    /** Up to which moment this leader knows all that is stored. */
    private var stateReadUpTo = startedAt
    private val budget = RepairBudget(policy.rates) { now }

    var startKind = startKind
        private set
    var isPaused = record?.isPaused ?: false
        private set
    var isApproved = record?.isApproved ?: false
        private set
    val phase: RecoveryPhase get() = phases.state.phase
    val isActive: Boolean get() = phase != RecoveryPhase.NORMAL

    /** What the scheduler of this term is to be given. */
    val hooks = SchedulerHooks(gate = this, observer = this, newWorkNeedsOwnHeartbeat = true, missingTaskPolicy = ::absenceRule)

    /** The state at the last judgement; null before the first. */
    @Volatile
    var snapshot: RecoverySnapshot? = null
        private set

    // ---- what the scheduler learns ----

    override fun jobRead(record: JobRecord) =
        whileActive {
            knownJobs.add(record.spec.id)
            updates.jobStored(record, adopted = true)
        }

    override fun jobStored(record: JobRecord) = whileActive { updates.jobStored(record, adopted = false) }

    override fun jobEnded(job: String) =
        whileActive {
            knownJobs.remove(job)
            updates.jobEnded(job)
        }

    override fun jobCancelled(job: String) = whileActive { updates.jobCancelled(job) }

    override fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) =
        whileActive {
            if (trusted) heard.add(heartbeat.machine)
            updates.machineObserved(heartbeat, source, trusted, at)
            noteUnrecorded(heartbeat, at)
        }

    override fun machinesListed(machines: List<ListedMachine>, at: Duration) =
        whileActive {
            listed = machines
            updates.machinesListed(machines, at)
        }

    override fun machineDeleted(machine: String) =
        whileActive {
            heard.remove(machine)
            updates.machineDeleted(machine)
            unrecordedSince.keys.removeIf { it.machine == machine }
        }

    private inline fun whileActive(body: () -> Unit) {
        if (isActive) body()
    }

    private fun noteUnrecorded(heartbeat: Heartbeat, at: Duration) {
        if (heartbeat.tasks.isEmpty() && unrecordedSince.isEmpty()) return
        val seen =
            heartbeat.tasks
                .filter {
                    it.key.job !in knownJobs && it.state != TaskState.EXITED
                }.mapTo(HashSet()) { UnrecordedTask(heartbeat.machine, it.key) }
        if (seen.isEmpty() && unrecordedSince.isEmpty()) return
        unrecordedSince.keys.removeIf { it.machine == heartbeat.machine && it !in seen }
        seen.forEach { unrecordedSince.putIfAbsent(it, at) }
        awaitsStateRead = unrecordedSince.isNotEmpty()
    }

    /** The state service was read by a request that was sent at [sentAt], and all that it told has arrived here. */
    fun stateRead(sentAt: Duration) {
        stateReadUpTo = maxOf(stateReadUpTo, sentAt)
    }

    // ---- what the scheduler would order ----

    override fun admits(order: ProposedOrder): Boolean {
        if (!isActive) return true
        if (isPaused && order.cause !is StartCause) return false
        if (!phase.admits(order.cause)) return false
        if (order.cause == StopCause.UNRECORDED && !isProvedUnrecorded(order)) return false
        return budget.take(order.cause.kind)
    }

    /** The job was found absent by a read that was sent after the task was first seen. */
    private fun isProvedUnrecorded(order: ProposedOrder): Boolean {
        val machine = order.machine ?: return false
        val task = order.task ?: return false
        val since = unrecordedSince[UnrecordedTask(machine, task)] ?: return false
        return stateReadUpTo > since
    }

    private fun absenceRule(): MissingTaskPolicy =
        when {
            !isActive -> MissingTaskPolicy.RESCHEDULE
            phase <= RecoveryPhase.GATHERING -> MissingTaskPolicy.RESTORE_AND_WAIT
            else -> MissingTaskPolicy.RESTORE
        }

    // ---- operators and peers ----

    /**
     * What the other controllers said changes how this term is seen; proof of an ordinary take-over ends the recovery.
     */
    fun startJudged(kind: StartKind) {
        if (startKind == StartKind.UNKNOWN) startKind = kind
    }

    fun pause() {
        isPaused = true
    }

    fun resume() {
        isPaused = false
    }

    /** Destructive orders go on, however much of the fleet they concern. */
    fun approve() {
        isApproved = true
    }

    // ---- time ----

    /** To be called often; judges at most once a second. [isBehind]: whether this process has no time to spare. */
    fun tick(at: Duration, isBehind: Boolean = false): List<RecoveryNotice> {
        now = at
        if (!isActive) return emptyList()
        updates.apply(maxOf(if (isBehind) APPLIED_BEHIND else APPLIED_AT_ONCE, updates.size / APPLIED_SHARE))
        if (at - judgedAt < JUDGE_EVERY) return emptyList()
        judgedAt = at
        val notices = ArrayList<RecoveryNotice>()
        listed?.let { gathering = GatheringProgress.of(it, heard) }
        budget.resize(fleet())
        val entered = advance(notices)
        if (updates.size == 0) noteSettled(notices)
        val fresh = makeSnapshot()
        snapshot = fresh
        entered.mapTo(notices) { RecoveryNotice.PhaseEntered(it, fresh) }
        if (!isActive) forget()
        return notices
    }

    private fun advance(notices: MutableList<RecoveryNotice>): List<PhaseState> {
        val entered = ArrayList<PhaseState>()
        while (true) {
            // Before anything destructive is ordered; nothing of it is in the phases before.
            if (phase == RecoveryPhase.ADOPTING) judgeBreaker(notices)
            entered.add(phases.advance(facts()) ?: return entered)
        }
    }

    private fun judgeBreaker(notices: MutableList<RecoveryNotice>) {
        val before = breaker.state
        val after = breaker.judge(threatened(), fleet(), isApproved, now)
        if (after.isOpen && !before.isOpen) notices.add(RecoveryNotice.BreakerOpened(after))
        if (after.release != null && before.release == null) notices.add(RecoveryNotice.BreakerReleased(after))
    }

    private fun facts(): PhaseFacts {
        val totals = tracker.totals()
        val repairable = totals.byKind.entries.sumOf { (kind, number) -> if (kind.isMended) number else 0 }
        val unsettled = totals.adopted - totals.confirmed
        return PhaseFacts(now, startKind, listed != null, gathering, repairable, unsettled, updates.size == 0, breaker.state, isPaused)
    }

    /** Machines that would be deleted as silent, or have tasks stopped that nobody placed there. */
    private fun threatened(): Int =
        tracker.findings.values.count { found ->
            val kinds = found.differences.mapTo(HashSet()) { it.kind }
            // A machine that the cloud lists no more is gone whatever is ordered.
            val unheard = DifferenceKind.UNHEARD_MACHINE in kinds && DifferenceKind.DELISTED_MACHINE !in kinds
            unheard || DifferenceKind.ORPHAN_TASK in kinds || DifferenceKind.DUPLICATE_TASK in kinds
        }

    /** As far as it is known: what the cloud lists, or else what was heard. */
    private fun fleet(): Int = maxOf(listed?.size ?: 0, heard.size)

    private fun noteSettled(notices: MutableList<RecoveryNotice>) {
        adoptedAtFirst = maxOf(adoptedAtFirst, tracker.totals().adopted)
        while (milestones.isNotEmpty() && adoptedAtFirst > 0 && settledShare() >= milestones.first()) {
            notices.add(RecoveryNotice.Settled(milestones.removeFirst(), now - startedAt))
        }
    }

    private fun settledShare(): Double {
        val totals = tracker.totals()
        return if (adoptedAtFirst == 0) 1.0 else 1.0 - (totals.adopted - totals.confirmed).toDouble() / adoptedAtFirst
    }

    private fun makeSnapshot() =
        RecoverySnapshot(
            token, startKind, phases.state, phases.until, now, isPaused, isApproved, gathering, tracker.totals(), settledShare(), breaker.state,
            budget.perSecond.mapKeys { it.key.name.lowercase() }, tracker.findings,
        )

    /** Nothing is kept beyond the recovery. */
    private fun forget() {
        tracker = DifferenceTracker()
        updates = DeferredUpdates(tracker)
        unrecordedSince.clear()
        awaitsStateRead = false
        heard.clear()
        knownJobs.clear()
        listed = null
    }

    private companion object {
        val JUDGE_EVERY = 1.seconds

        /**
         * So many updates are compared at a tick, and so many while the process is behind; never less than a share of
         * all.
         */
        const val APPLIED_AT_ONCE = 60
        const val APPLIED_BEHIND = 4
        const val APPLIED_SHARE = 40
    }
}
