package glenspool.core

import glenspool.core.model.TaskKey

/** An order that the scheduler would give now. [machine] and [task]: what it concerns, where that is one. */
data class ProposedOrder(val cause: OrderCause, val machine: String? = null, val task: TaskKey? = null)

/**
 * Decides whether an order that can wait is given now. What is refused is proposed again at the next occasion. It is
 * never asked about stops of work that the scheduler placed itself, about cancellations, or about machines that failed
 * or are preempted.
 */
fun interface OrderGate {
    /** Whether the order is given now. */
    fun admits(order: ProposedOrder): Boolean
}
