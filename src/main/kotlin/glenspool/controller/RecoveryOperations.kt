package glenspool.controller

import glenspool.core.OrderCounts
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb

/** Answers operators' queries about the leader's orders and its recovery, and operators' orders to the recovery. */
internal class RecoveryOperations(
    private val node: String,
    private val leadership: Leadership,
    /** Null if recovery is not managed. */
    private val recovery: RecoveryManager?,
    /** The numbers of orders given in the present term; null if this node does not lead. */
    private val orderCounts: () -> OrderCounts?,
) {
    fun answer(request: RecoveryRequest): RecoveryReply =
        when (request.verb) {
            RecoveryVerb.STATUS -> accepted()
            RecoveryVerb.DIFFERENCES -> if (recovery == null) notManaged() else differences(recovery)
            RecoveryVerb.APPROVE, RecoveryVerb.PAUSE, RecoveryVerb.RESUME ->
                if (recovery == null) notManaged() else recovery.applyOrder(request) ?: accepted()
        }

    private fun accepted() = RecoveryReply(true, status = status())

    private fun notManaged() = RecoveryReply(false, NOT_MANAGED)

    private fun differences(manager: RecoveryManager): RecoveryReply {
        if (leadership.current() == null) return RecoveryReply(false, manager.notLeaderMessage())
        val snapshot =
            manager.snapshot() ?: return RecoveryReply(false, "this term began as usual: nothing was compared")
        return RecoveryReply(true, differences = RecoveryReplies.differences(snapshot))
    }

    private fun status() =
        RecoveryStatus(
            node = node,
            leader = leadership.recordedLeader(),
            managed = recovery != null,
            orders = orderNumbers(),
            recovery = recovery?.status(),
        )

    private fun orderNumbers(): Map<String, Long>? =
        orderCounts()?.snapshot()?.entries?.associate { (cause, number) ->
            "${cause.qualifiedLabel}" to number
        }

    private companion object {
        const val NOT_MANAGED = "recovery is not managed; the controller is started without --recovery"
    }
}
