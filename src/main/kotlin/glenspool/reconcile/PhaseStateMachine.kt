package glenspool.reconcile

import kotlin.time.Duration

/**
 * The facts that phase transitions depend on.
 *
 * @property now the term's monotonic time
 * @property isListRead whether the cloud's list has arrived in this term
 * @property repairable the number of differences that orders can still remove
 * @property unconfirmed the number of adopted placements for which it is unknown whether their task still runs
 * @property isCompared whether all observations from before the present phase have been compared
 */
data class PhaseFacts(
    val now: Duration,
    val startKind: StartKind,
    val isListRead: Boolean,
    val gathering: GatheringProgress,
    val repairable: Int,
    val unconfirmed: Int,
    val isCompared: Boolean,
    val breaker: BreakerState,
    val isPaused: Boolean,
)

/** Why a phase was left. */
enum class PhaseEnd { COMPLETE, TIME_OVER, ORDINARY_START }

/**
 * The current phase.
 *
 * @property since when it was entered, in the term's monotonic time
 * @property end why the previous phase was left; null for the first phase
 */
data class PhaseState(val phase: RecoveryPhase, val since: Duration, val end: PhaseEnd? = null)

/** The state machine of a recovery's phases. */
class PhaseStateMachine(private val policy: RecoveryPolicy, private val timings: RecoveryTimings, startedAt: Duration) {
    var state = PhaseState(RecoveryPhase.READING, startedAt)
        private set

    /** Whether the recovery is still in progress. */
    val isActive: Boolean get() = state.phase != RecoveryPhase.NORMAL

    /** When the current phase ends at the latest; null if it has no time limit. */
    val deadline: Duration? get() = timeLimit()?.let { state.since + it }

    /** Enters the next phase if the facts allow it. Returns the new phase, or null if the phase has not changed. */
    fun advance(facts: PhaseFacts): PhaseState? = next(facts)?.also { state = it }

    private fun next(facts: PhaseFacts): PhaseState? {
        if (!isActive) return null
        if (facts.startKind.isOrdinary) return PhaseState(RecoveryPhase.NORMAL, facts.now, PhaseEnd.ORDINARY_START)
        if (facts.isPaused) return null
        val end =
            when {
                isComplete(facts) -> PhaseEnd.COMPLETE
                isTimeOver(facts.now) -> PhaseEnd.TIME_OVER
                else -> return null
            }
        return PhaseState(RecoveryPhase.entries[state.phase.ordinal + 1], facts.now, end)
    }

    private fun isComplete(facts: PhaseFacts): Boolean =
        when (state.phase) {
            RecoveryPhase.READING -> facts.isListRead
            // Without the cloud's list it is unknown which machines should report.
            RecoveryPhase.GATHERING ->
                facts.isListRead &&
                    facts.gathering.incompleteGroups(policy.gatherShare).isEmpty()
            RecoveryPhase.ADOPTING -> facts.isCompared && !facts.breaker.isOpen
            RecoveryPhase.REPAIRING -> facts.isCompared && facts.repairable == 0 && facts.unconfirmed == 0
            RecoveryPhase.NORMAL -> false
        }

    private fun isTimeOver(now: Duration): Boolean = deadline.let { it != null && now >= it }

    private fun timeLimit(): Duration? =
        when (state.phase) {
            RecoveryPhase.READING -> minOf(timings.heartbeatInterval, timings.listLag)
            RecoveryPhase.GATHERING -> timings.lease * policy.gatherLeaseShare
            RecoveryPhase.REPAIRING -> timings.lease * policy.repairLeaseShare
            // ADOPTING needs no time limit, because the circuit breaker, which it waits for, has its own.
            RecoveryPhase.ADOPTING, RecoveryPhase.NORMAL -> null
        }
}
