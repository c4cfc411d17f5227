package glenspool.reconcile

import kotlin.time.Duration

/** Why destructive orders go on after they were held. */
enum class BreakerRelease { FEWER_DIFFERENCES, APPROVED, TIME_OVER }

/** Whether destructive orders are held: [machines] of a fleet of [fleet] would get them. */
data class BreakerState(
    val isOpen: Boolean,
    val machines: Int,
    val fleet: Int,
    val openSince: Duration?,
    val release: BreakerRelease?,
) {
    companion object {
        val CLOSED = BreakerState(false, 0, 0, null, null)
    }
}

/**
 * Holds destructive orders while they concern more of the fleet than a stated share: that many machines and tasks are
 * seldom wrong at once, and more often it is the picture that is. Once released it stays so.
 */
class CircuitBreaker(private val policy: RecoveryPolicy) {
    var state = BreakerState.CLOSED
        private set

    /** [machines]: how many would get destructive orders now. */
    fun judge(machines: Int, fleet: Int, isApproved: Boolean, now: Duration): BreakerState {
        if (state.release != null) return state
        val isTooMany = fleet >= FEW && machines > fleet * policy.breakerShare
        val openSince = state.openSince
        state =
            when {
                openSince == null -> BreakerState(isTooMany, machines, fleet, now.takeIf { isTooMany }, null)
                isApproved -> released(BreakerRelease.APPROVED, machines, fleet)
                !isTooMany -> released(BreakerRelease.FEWER_DIFFERENCES, machines, fleet)
                now - openSince >= policy.breakerWait -> released(BreakerRelease.TIME_OVER, machines, fleet)
                else -> state.copy(machines = machines, fleet = fleet)
            }
        return state
    }

    private fun released(release: BreakerRelease, machines: Int, fleet: Int) = BreakerState(false, machines, fleet, state.openSince, release)

    private companion object {
        /** Of fewer machines than this one alone is a large share. */
        const val FEW = 4
    }
}
