package glenspool.reconcile

import glenspool.core.DeletionCause
import glenspool.core.ForgetCause
import glenspool.core.OrderCause
import glenspool.core.ScaleOutCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import kotlin.time.Duration

/**
 * The phases of a recovery, in order. Each may be left for [NORMAL] at once if the start turns out to be an ordinary
 * take-over.
 */
enum class RecoveryPhase {
    /** Until the cloud's first list is there, or a bounded time: what is stored is known already. */
    READING,

    /** Until enough of each zone's machines of each type were heard, or a bounded time. */
    GATHERING,

    /** The differences are weighed: destructive orders go on unless they concern too much of the fleet. */
    ADOPTING,

    /** Differences are ended, at a limited pace. */
    REPAIRING,

    /** The scheduler works as ever. */
    NORMAL,
}

/**
 * Which orders that can wait may be given in a phase. Leases, cancellations and answers to users are served in all of
 * them.
 */
fun RecoveryPhase.admits(cause: OrderCause): Boolean =
    when (cause) {
        is StartCause -> this != RecoveryPhase.READING
        is ScaleOutCause -> this >= RecoveryPhase.ADOPTING
        is StopCause, is DeletionCause -> this >= RecoveryPhase.REPAIRING
        is ForgetCause -> true
    }

/** What the phases are judged by. */
data class PhaseFacts(
    val now: Duration,
    val startKind: StartKind,
    val listRead: Boolean,
    val gathering: GatheringProgress,
    /** Differences that orders can still end. */
    val repairable: Int,
    /** Adopted places of which it is not known whether their task still runs. */
    val unsettled: Int,
    /** Whether all that was learnt is compared. */
    val isCompared: Boolean,
    val breaker: BreakerState,
    val isPaused: Boolean,
)

/** Why a phase was left. */
enum class PhaseEnd { COMPLETE, TIME_OVER, ORDINARY_START }

/** A phase, and since when it lasts. [end]: why the one before was left. */
data class PhaseState(val phase: RecoveryPhase, val since: Duration, val end: PhaseEnd? = null)

/** The state machine of a recovery. */
class PhaseMachine(private val policy: RecoveryPolicy, private val setting: RecoverySetting, startedAt: Duration) {
    var state = PhaseState(RecoveryPhase.READING, startedAt)
        private set

    /** When the phase ends at the latest; null: it has no end of its own. */
    val until: Duration? get() = limit()?.let { state.since + it }

    /** Goes on by one phase if the facts allow it; returns the phase that was entered. */
    fun advance(facts: PhaseFacts): PhaseState? = next(facts)?.also { state = it }

    private fun next(facts: PhaseFacts): PhaseState? {
        if (state.phase == RecoveryPhase.NORMAL) return null
        if (facts.startKind == StartKind.TAKE_OVER ||
            facts.startKind == StartKind.FIRST
        ) {
            return enter(RecoveryPhase.NORMAL, facts, PhaseEnd.ORDINARY_START)
        }
        if (facts.isPaused) return null
        val complete = isComplete(facts)
        if (!complete && !isOver(facts.now)) return null
        return enter(RecoveryPhase.entries[state.phase.ordinal + 1], facts, if (complete) PhaseEnd.COMPLETE else PhaseEnd.TIME_OVER)
    }

    private fun enter(phase: RecoveryPhase, facts: PhaseFacts, end: PhaseEnd) = PhaseState(phase, facts.now, end)

    private fun isComplete(facts: PhaseFacts): Boolean =
        when (state.phase) {
            RecoveryPhase.READING -> facts.listRead
            // Without a list it is not known whom to wait for.
            RecoveryPhase.GATHERING -> facts.listRead && facts.gathering.lacking(policy.gatherShare).isEmpty()
            RecoveryPhase.ADOPTING -> facts.isCompared && !facts.breaker.isOpen
            RecoveryPhase.REPAIRING -> facts.isCompared && facts.repairable == 0 && facts.unsettled == 0
            RecoveryPhase.NORMAL -> false
        }

    private fun isOver(now: Duration): Boolean = until.let { it != null && now >= it }

    private fun limit(): Duration? =
        when (state.phase) {
            RecoveryPhase.READING -> minOf(setting.heartbeatInterval, setting.listLag)
            RecoveryPhase.GATHERING -> setting.lease * policy.gatherLeaseShare
            RecoveryPhase.REPAIRING -> setting.lease * policy.repairLeaseShare
            // The breaker has a time of its own.
            RecoveryPhase.ADOPTING, RecoveryPhase.NORMAL -> null
        }
}
