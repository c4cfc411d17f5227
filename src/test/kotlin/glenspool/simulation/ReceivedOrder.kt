package glenspool.simulation

import glenspool.core.OrderCause
import glenspool.core.OrderKind
import kotlin.time.Duration

/** An order that a worker or the cloud received at time [at]. */
data class ReceivedOrder(val at: Duration, val cause: OrderCause) {
    val kind: OrderKind get() = cause.kind
}
