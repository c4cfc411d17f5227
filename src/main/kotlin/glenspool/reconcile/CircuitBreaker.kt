package glenspool.reconcile

import kotlin.time.Duration

/** Why destructive orders are admitted again after the breaker was open. */
enum class BreakerRelease { FEWER_DIFFERENCES, APPROVED, TIME_OVER }

/**
 * The state of the [CircuitBreaker] when it was last evaluated.
 *
 * @property isOpen whether destructive orders are held back
 * @property machines the number of machines that would receive destructive orders
 * @property fleet the number of machines in the fleet
 * @property openSince when the breaker opened, in the term's monotonic time; null if it never did
 * @property release why it closed again; null if it has not opened, or is still open
 */
data class BreakerState(
    val isOpen: Boolean,
    val machines: Int,
    val fleet: Int,
    val openSince: Duration?,
    val release: BreakerRelease?,
) {
    companion object {
        val CLOSED = BreakerState(isOpen = false, machines = 0, fleet = 0, openSince = null, release = null)
    }
}

/**
 * Holds back destructive orders while they concern more than a configured share of the fleet: that many machines are
 * seldom wrong at once, and it is more likely that the leader's knowledge is incomplete. Once released it never opens
 * again.
 */
class CircuitBreaker(private val policy: RecoveryPolicy) {
    var state = BreakerState.CLOSED
        private set

    /** Evaluates the breaker anew. [machines]: how many of the [fleet] would receive destructive orders now. */
    fun evaluate(machines: Int, fleet: Int, isApproved: Boolean, now: Duration): BreakerState {
        if (state.release != null) return state
        val isTooMany = fleet >= MIN_FLEET && machines > fleet * policy.breakerShare
        val openSince = state.openSince
        state =
            when {
                openSince == null -> BreakerState(isTooMany, machines, fleet, now.takeIf { isTooMany }, release = null)
                isApproved -> released(BreakerRelease.APPROVED, machines, fleet)
                !isTooMany -> released(BreakerRelease.FEWER_DIFFERENCES, machines, fleet)
                now - openSince >= policy.breakerWait -> released(BreakerRelease.TIME_OVER, machines, fleet)
                else -> state.copy(machines = machines, fleet = fleet)
            }
        return state
    }

    private fun released(release: BreakerRelease, machines: Int, fleet: Int): BreakerState {
        val openSince = state.openSince
        return BreakerState(isOpen = false, machines, fleet, openSince, release)
    }

    private companion object {
        /** In a smaller fleet a single machine is a large share, so the breaker never opens. */
        const val MIN_FLEET = 4
    }
}
