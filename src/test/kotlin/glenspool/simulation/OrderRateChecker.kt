package glenspool.simulation

import glenspool.core.DeletionCause
import glenspool.core.OrderKind
import glenspool.core.StopCause
import glenspool.reconcile.RepairRates
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Checks whether orders were received faster than the token bucket of a recovery allows. The bucket allows a burst of
 * the orders of one second, and then the same number in each second. The rates are relative to [fleetSize],
 * the number of machines.
 */
class OrderRateChecker(rates: RepairRates, fleetSize: Int) {
    private val limits =
        mapOf(
            OrderKind.START to rates.starts, OrderKind.STOP to rates.stops,
            OrderKind.DELETION to rates.deletions, OrderKind.SCALE_OUT to rates.rentals,
        ).mapValues { (_, rate) -> ceil(rate * fleetSize).toInt().coerceAtLeast(1) }

    /** Returns for each kind of order the first time at which its rate was exceeded. */
    fun violations(received: List<ReceivedOrder>): List<String> =
        limits.mapNotNull { (kind, limit) ->
            val times = received.filter { it.kind == kind && it.cause !in causesWithoutLimit }.map { it.at }
            firstExcess(limit, times)?.let { "the rate of $kind exceeded $limit per second at $it" }
        }

    private fun firstExcess(limit: Int, times: List<Duration>): Duration? {
        for ((index, at) in times.withIndex()) {
            // Orders of the last second up to this one, less a tolerance for the time that orders take to arrive.
            val recent = times.subList(0, index + 1).count { at - it < 1.seconds - TOLERANCE }
            if (recent > limit * 2) return at
        }
        return null
    }

    private companion object {
        /** Orders without a rate limit. They are promised to users or follow from certain evidence. */
        val causesWithoutLimit =
            setOf(
                StopCause.CANCELLED, StopCause.PREEMPTED, StopCause.NOTICE, StopCause.GANG_BROKEN,
                DeletionCause.FAILED, DeletionCause.NOTICE, DeletionCause.CANCELLED_WORK,
            )
        val TOLERANCE = 50.milliseconds
    }
}
