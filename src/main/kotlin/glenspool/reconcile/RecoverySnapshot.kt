package glenspool.reconcile

import kotlinx.collections.immutable.PersistentMap
import kotlin.time.Duration

/**
 * The state of a recovery as shown to operators. Immutable, so any thread may read it while the engine runs.
 *
 * @property token the term's fencing token
 * @property phaseDeadline when the current phase ends at the latest, in the term's monotonic time; null if it has no
 *   time limit
 * @property now when the snapshot was made, in the term's monotonic time
 * @property resolvedShare the share of the adopted placements for which it is known whether their task still runs; 1 if
 *   there were none
 * @property ordersPerSecond the rate limits, by the order kind's name in lower case
 * @property findings by machine
 */
data class RecoverySnapshot(
    val token: Long,
    val startKind: StartKind,
    val state: PhaseState,
    val phaseDeadline: Duration?,
    val now: Duration,
    val isPaused: Boolean,
    val isApproved: Boolean,
    val gathering: GatheringProgress,
    val totals: DifferenceTotals,
    val resolvedShare: Double,
    val breaker: BreakerState,
    val ordersPerSecond: Map<String, Long>,
    val findings: PersistentMap<String, MachineFindings>,
)

/** An event of a recovery that is to be logged. */
sealed interface RecoveryNotice {
    /** The recovery entered a phase. */
    data class PhaseEntered(val state: PhaseState, val snapshot: RecoverySnapshot) : RecoveryNotice

    /** The [share] of adopted placements whose state is known reached a milestone, [after] the start of the term. */
    data class ShareResolved(val share: Double, val after: Duration) : RecoveryNotice

    /** The circuit breaker opened because too much of the fleet would be affected. */
    data class BreakerOpened(val state: BreakerState) : RecoveryNotice

    /** Destructive orders are admitted again. */
    data class BreakerReleased(val state: BreakerState) : RecoveryNotice
}
