package glenspool.reconcile

import glenspool.core.OrderGate
import glenspool.core.ProposedOrder
import glenspool.core.StartCause
import glenspool.core.StopCause

/**
 * The operators' orders for the recovery.
 *
 * @property isPaused whether the recovery stays in its phase and only starts are admitted
 * @property isApproved whether destructive orders are admitted regardless of how much of the fleet they concern
 */
internal class OperatorOverrides(var isPaused: Boolean, var isApproved: Boolean)

/** Decides which of the scheduler's proposed orders have to wait during a recovery. Admits all orders afterwards. */
internal class RecoveryOrderGate(
    private val phases: PhaseStateMachine,
    private val overrides: OperatorOverrides,
    private val unrecorded: UnrecordedTasks,
    private val budget: RepairBudget,
) : OrderGate {
    override fun admits(order: ProposedOrder): Boolean {
        if (!phases.isActive) return true
        if (overrides.isPaused && order.cause !is StartCause) return false
        if (!phases.state.phase.admits(order.cause)) return false
        if (order.cause == StopCause.UNRECORDED && !isProvedUnrecorded(order)) return false
        return budget.tryConsume(order.cause.kind)
    }

    private fun isProvedUnrecorded(order: ProposedOrder): Boolean {
        val machine = order.machine ?: return false
        val task = order.task ?: return false
        return unrecorded.isProvedUnrecorded(machine, task)
    }
}
