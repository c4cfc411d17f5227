package glenspool.reconcile

import glenspool.core.DeletionCause
import glenspool.core.ForgetCause
import glenspool.core.OrderCause
import glenspool.core.ScaleOutCause
import glenspool.core.StartCause
import glenspool.core.StopCause

/**
 * The phases of a recovery, in order. If the start turns out to be an ordinary failover, any phase is followed by
 * [NORMAL] immediately. The constants' names are stored and printed.
 */
enum class RecoveryPhase {
    /** Lasts until the cloud's first list has arrived, or for a bounded time. The stored state is already known. */
    READING,

    /** Lasts until enough machines of each type in each zone have reported, or for a bounded time. */
    GATHERING,

    /** Lasts until the differences are evaluated and the circuit breaker admits destructive orders. */
    ADOPTING,

    /** Lasts until the differences are repaired, which happens at a limited rate, or for a bounded time. */
    REPAIRING,

    /** The recovery is over; the scheduler is not restricted. */
    NORMAL,
}

/** Whether the phase admits orders with this cause. Leases, cancellations and user requests are never restricted. */
fun RecoveryPhase.admits(cause: OrderCause): Boolean =
    when (cause) {
        is StartCause -> this != RecoveryPhase.READING
        is ScaleOutCause -> this >= RecoveryPhase.ADOPTING
        is StopCause, is DeletionCause -> this >= RecoveryPhase.REPAIRING
        is ForgetCause -> true
    }
