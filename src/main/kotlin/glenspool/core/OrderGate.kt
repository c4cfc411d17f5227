package glenspool.core

import glenspool.core.model.TaskKey

/** An order that the scheduler is about to give. [machine], [task]: the one machine or task concerned, if any. */
data class ProposedOrder(val cause: OrderCause, val machine: String? = null, val task: TaskKey? = null)

/**
 * Decides whether an order that can be delayed is given now. A refused order is proposed again at the next opportunity.
 * The gate does not apply to stops of work that the scheduler placed itself, to cancellations, or to machines that
 * failed or are preempted.
 */
fun interface OrderGate {
    /** Returns whether the order may be given now. */
    fun admits(order: ProposedOrder): Boolean
}
