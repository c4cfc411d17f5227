package glenspool.reconcile

import glenspool.core.DeletionCause
import glenspool.core.ForgetCause
import glenspool.core.OrderCause
import glenspool.core.ScaleOutCause
import glenspool.core.StartCause
import glenspool.core.StopCause

/**
 * The phases of a recovery, in order. Any of them is followed by [NORMAL] at once if the start turns out to be an
 * ordinary failover. The constants' names are stored and printed.
 */
enum class RecoveryPhase {
    /** Until the cloud's first list has arrived, or for a bounded time. The stored state is known already. */
    READING,

    /** Until enough machines of each type in each zone have reported, or for a bounded time. */
    GATHERING,

    /** Until the differences are evaluated and the circuit breaker admits destructive orders. */
    ADOPTING,

    /** Until the differences are repaired, at a limited rate, or for a bounded time. */
    REPAIRING,

    /** The recovery is over; the scheduler is not restricted. */
    NORMAL,
}

/** Whether orders with this cause are admitted in the phase. Leases, cancellations and user requests always work. */
fun RecoveryPhase.admits(cause: OrderCause): Boolean =
    when (cause) {
        is StartCause -> this != RecoveryPhase.READING
        is ScaleOutCause -> this >= RecoveryPhase.ADOPTING
        is StopCause, is DeletionCause -> this >= RecoveryPhase.REPAIRING
        is ForgetCause -> true
    }
