package glenspool.simulation

import glenspool.core.DeletionCause
import glenspool.core.OrderKind
import glenspool.core.StopCause
import glenspool.reconcile.RepairRates
import kotlin.math.ceil
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Whether orders, as they were received, came faster than a recovery may give them: a second's worth at once, then so
 * many a second.
 */
class OrderRateChecker(rates: RepairRates, fleet: Int) {
    private val limits =
        mapOf(
            OrderKind.START to rates.starts, OrderKind.STOP to rates.stops,
            OrderKind.DELETION to rates.deletions, OrderKind.SCALE_OUT to rates.rentals,
        ).mapValues { (_, rate) -> ceil(rate * fleet).toInt().coerceAtLeast(1) }

    fun faults(received: List<ReceivedOrder>): List<String> =
        limits.flatMap { (kind, limit) ->
            val times = received.filter { it.kind == kind && it.cause !in unlimited }.map { it.at }
            times
                .filterIndexed { i, at ->
                    // So many were received in the second up to this one, with some room for what was on its way.
                    val recent = times.subList(0, i + 1).count { at - it < 1.seconds - SLACK }
                    recent > limit * 2
                }.map { "$kind above $limit a second at $it" }
                .take(1)
        }

    private companion object {
        /** Promises to users, and what follows from certain knowledge. */
        val unlimited =
            setOf(
                StopCause.CANCELLED, StopCause.PREEMPTED, StopCause.NOTICE, StopCause.GANG_BROKEN, DeletionCause.FAILED, DeletionCause.NOTICE, DeletionCause.CANCELLED_WORK,
            )
        val SLACK = 50.milliseconds
    }
}
