package glenspool.reconcile

import kotlin.time.Duration

/** Why destructive orders are admitted again after the breaker was open. */
enum class BreakerRelease { FEWER_DIFFERENCES, APPROVED, TIME_OVER }

/**
 * The state of the [CircuitBreaker] when it was last evaluated.
 *
 * @property isOpen whether destructive orders are held back
 * @property affectedCount the number of machines that would receive destructive orders
 * @property fleetSize the number of machines in the fleet
 * @property openSince when the breaker opened, in the term's monotonic time; null if it has never opened
 * @property release why the breaker closed again; null if it has not opened or is still open
 */
data class BreakerState(
    val isOpen: Boolean,
    val affectedCount: Int,
    val fleetSize: Int,
    val openSince: Duration?,
    val release: BreakerRelease?,
) {
    companion object {
        val CLOSED = BreakerState(isOpen = false, affectedCount = 0, fleetSize = 0, openSince = null, release = null)
    }
}

/**
 * Holds back destructive orders while they concern more than a configured share of the fleet. That many machines are
 * seldom faulty at the same time; it is more likely that the leader's information is incomplete. Once released, the
 * breaker never opens again.
 */
class CircuitBreaker(private val policy: RecoveryPolicy) {
    var state = BreakerState.CLOSED
        private set

    /** Evaluates the breaker. [affectedCount]: how many machines would receive destructive orders now. */
    fun evaluate(affectedCount: Int, fleetSize: Int, isApproved: Boolean, now: Duration): BreakerState {
        if (state.release != null) return state
        val isShareExceeded = fleetSize >= MIN_FLEET_SIZE && affectedCount > fleetSize * policy.breakerShare
        val openSince = state.openSince
        state =
            when {
                openSince == null ->
                    BreakerState(
                        isShareExceeded, affectedCount, fleetSize,
                        now.takeIf {
                            isShareExceeded
                        },
                        release = null,
                    )
                isApproved -> released(BreakerRelease.APPROVED, affectedCount, fleetSize)
                !isShareExceeded -> released(BreakerRelease.FEWER_DIFFERENCES, affectedCount, fleetSize)
                now - openSince >= policy.breakerWait -> released(BreakerRelease.TIME_OVER, affectedCount, fleetSize)
                else -> state.copy(affectedCount = affectedCount, fleetSize = fleetSize)
            }
        return state
    }

    private fun released(release: BreakerRelease, affectedCount: Int, fleetSize: Int): BreakerState {
        val openSince = state.openSince
        return BreakerState(isOpen = false, affectedCount, fleetSize, openSince, release)
    }

    private companion object {
        /** The breaker never opens in a smaller fleet, because there a single machine is a large share. */
        const val MIN_FLEET_SIZE = 4
    }
}
