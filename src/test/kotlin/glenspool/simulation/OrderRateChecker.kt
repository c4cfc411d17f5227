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
 * Checks whether orders were received faster than the token bucket of a recovery allows: the orders of one second at
 * once, then as many in each second. [fleetSize]: machines, to which the rates are relative.
 */
class OrderRateChecker(rates: RepairRates, fleetSize: Int) {
    private val limits =
        mapOf(
            OrderKind.START to rates.starts, OrderKind.STOP to rates.stops,
            OrderKind.DELETION to rates.deletions, OrderKind.SCALE_OUT to rates.rentals,
        ).mapValues { (_, rate) -> ceil(rate * fleetSize).toInt().coerceAtLeast(1) }

    /** The first moment of each kind at which the rate was exceeded. */
    fun violations(received: List<ReceivedOrder>): List<String> =
        limits.mapNotNull { (kind, limit) ->
            val times = received.filter { it.kind == kind && it.cause !in unlimited }.map { it.at }
            firstAbove(limit, times)?.let { "$kind above $limit a second at $it" }
        }

    private fun firstAbove(limit: Int, times: List<Duration>): Duration? {
        for ((index, at) in times.withIndex()) {
            // The second up to this order, with some tolerance for orders that were on their way.
            val recent = times.subList(0, index + 1).count { at - it < 1.seconds - TOLERANCE }
            if (recent > limit * 2) return at
        }
        return null
    }

    private companion object {
        /** Orders that users were promised, and those that follow from certain knowledge. */
        val unlimited =
            setOf(
                StopCause.CANCELLED, StopCause.PREEMPTED, StopCause.NOTICE, StopCause.GANG_BROKEN,
                DeletionCause.FAILED, DeletionCause.NOTICE, DeletionCause.CANCELLED_WORK,
            )
        val TOLERANCE = 50.milliseconds
    }
}
