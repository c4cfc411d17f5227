package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.rollout.ActivationMode
import glenspool.rollout.FeatureGate
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.OperatorOrders
import glenspool.rollout.OperatorRequest
import glenspool.rollout.OrderOutcome
import glenspool.rollout.OrderRule
import glenspool.rollout.RolloutOverview
import glenspool.rollout.replaceableVersion
import glenspool.rollout.valueOrNull
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.RolloutRecords
import glenspool.state.StoreResult
import glenspool.state.wallClock
import glenspool.wire.RolloutWire

/** Answers operators' queries and orders for the rollout. Any node accepts orders; the leader carries them out. */
internal class RolloutOperations(
    private val identity: ProcessIdentity,
    private val registry: FeatureRegistry,
    private val policyMode: ActivationMode,
    allMembers: Set<String>,
    private val records: RolloutRecords,
    private val recordStore: RecordStore,
    private val gate: FeatureGate,
    private val leadership: Leadership,
    /** The rollout as the leader sees it; null if this node does not lead. */
    private val overview: () -> RolloutOverview?,
) {
    private val orderRule = OrderRule(registry, allMembers)

    fun answer(request: RolloutRequest): RolloutReply {
        val order =
            try {
                RolloutReplies.orderOf(request) ?: return accepted()
            } catch (e: RolloutReplies.IncompleteRequest) {
                return refused(e.message)
            }
        gate.fence()?.let { return refused("this controller takes no orders: $it") }
        repeat(MAX_ORDER_ATTEMPTS) {
            tryOrder(order, request.by)?.let { return it }
        }
        return storeUnreachable()
    }

    /**
     * Tries once to store the order. Returns null if another record was stored meanwhile, in which case the order may
     * be tried again.
     */
    private fun tryOrder(order: OperatorRequest, by: String?): RolloutReply? {
        if (!recordStore.refresh()) return storeUnreachable()
        val stored = records.orders()
        val version = stored.replaceableVersion() ?: return refused("the stored orders can't be read by this build")
        val before = stored.valueOrNull() ?: OperatorOrders()
        val orders =
            when (val outcome = orderRule.apply(order, before, records.level(), wallClock())) {
                is OrderOutcome.Refused -> return refused(outcome.reason)
                is OrderOutcome.Accepted -> outcome.orders
            }
        if (orders == before) return accepted()
        if (!store(orders, version)) return null
        log.info("rollout order accepted: {} by={}", order, by)
        return accepted()
    }

    private fun store(orders: OperatorOrders, version: Long): Boolean {
        val result = recordStore.replace(Put(Keys.ROLLOUT_ORDERS, RolloutWire.encode(orders)), version)
        // If the store's response was lost, the stored record shows whether the transaction was carried out.
        return result is StoreResult.Ok || records.orders().valueOrNull() == orders
    }

    private fun accepted() = RolloutReply(true, status = status())

    private fun refused(reason: String?) = RolloutReply(false, reason, status = status())

    private fun storeUnreachable() =
        RolloutReply(false, "the state service is out of reach", ORDER_RETRY_DELAY_SECONDS, status())

    private fun status() =
        RolloutReplies.status(
            identity, leadership.recordedLeader(), registry, policyMode, gate.fence(), records, overview(),
        )

    private companion object {
        val log = loggerOf(RolloutOperations::class.java)
        const val MAX_ORDER_ATTEMPTS = 3
        const val ORDER_RETRY_DELAY_SECONDS = 2
    }
}
