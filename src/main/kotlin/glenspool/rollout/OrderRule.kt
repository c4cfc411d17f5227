package glenspool.rollout

import kotlin.time.Duration

/** An operator's request about the rollout. */
sealed interface OperatorRequest {
    /** Asks that no level becomes active until [Resume]. */
    data object Hold : OperatorRequest

    /** Cancels [Hold] and [Deactivate]. */
    data object Resume : OperatorRequest

    /** Approves the activation of a level. */
    data class Activate(val level: Int) : OperatorRequest

    /** Asks to deactivate the active level. */
    data class Deactivate(val level: Int) : OperatorRequest

    /** Asks to activate levels without evidence about a member. */
    data class Exclude(val member: String, val by: String) : OperatorRequest

    /** Cancels [Exclude]. */
    data class Include(val member: String) : OperatorRequest
}

/** The result of an operator's request. */
sealed interface OrderOutcome {
    /** The orders to be stored. */
    data class Accepted(val orders: OperatorOrders) : OrderOutcome

    /** The request is refused. [reason] names what would be accepted instead. */
    data class Refused(val reason: String) : OrderOutcome
}

/** Translates a request into the orders to be stored. Requests are idempotent. */
class OrderRule(private val registry: FeatureRegistry, private val members: Set<String>) {
    /**
     * @param before the orders that are stored now
     * @param level the level record as it is stored now
     * @param wallClock the wall-clock time since the epoch
     */
    fun apply(
        request: OperatorRequest,
        before: OperatorOrders,
        level: Stored<LevelRecord>,
        wallClock: Duration,
    ): OrderOutcome =
        when (request) {
            OperatorRequest.Hold -> OrderOutcome.Accepted(before.copy(mode = ActivationMode.HOLD, approvedLevel = null))
            OperatorRequest.Resume -> OrderOutcome.Accepted(before.copy(mode = null, lowerTo = null))
            is OperatorRequest.Activate -> activate(request.level, before, level)
            is OperatorRequest.Deactivate -> deactivate(request.level, before, level)
            is OperatorRequest.Exclude -> exclude(request, before, wallClock)
            is OperatorRequest.Include -> include(request.member, before)
        }

    private fun activate(target: Int, before: OperatorOrders, level: Stored<LevelRecord>): OrderOutcome {
        val active =
            ActivationRule.activeLevel(level)
                ?: return OrderOutcome.Refused("the active level can't be read; nothing can be activated")
        if (registry.find(target) == null) {
            return OrderOutcome.Refused("level $target is not known; the highest known one is ${registry.highest}")
        }
        if (target > active + 1) {
            return OrderOutcome.Refused("level $target can't be next; activate level ${active + 1} first")
        }
        return OrderOutcome.Accepted(before.copy(approvedLevel = target, lowerTo = null))
    }

    private fun deactivate(target: Int, before: OperatorOrders, level: Stored<LevelRecord>): OrderOutcome {
        val record = level.valueOrNull() ?: return OrderOutcome.Refused("no level is active")
        val active =
            registry.find(record.level)
                ?: return OrderOutcome.Refused("level ${record.level} is not known to this build")
        if (target != record.level) {
            return OrderOutcome.Refused("level $target is not the active one; level ${record.level} is")
        }
        if (active.deactivation == Deactivation.UNSUPPORTED) {
            return OrderOutcome.Refused("level $target (${active.name}) can't be deactivated")
        }
        val orders = before.copy(mode = ActivationMode.HOLD, approvedLevel = null, lowerTo = target - 1)
        return OrderOutcome.Accepted(orders)
    }

    private fun exclude(request: OperatorRequest.Exclude, before: OperatorOrders, wallClock: Duration): OrderOutcome {
        if (request.member !in members) return unknownMember(request.member)
        if (before.excludes(request.member)) return OrderOutcome.Accepted(before)
        val exclusion = Exclusion(request.member, request.by, wallClock)
        return OrderOutcome.Accepted(before.copy(exclusions = before.exclusions + exclusion))
    }

    private fun include(member: String, before: OperatorOrders): OrderOutcome {
        if (member !in members) return unknownMember(member)
        return OrderOutcome.Accepted(before.copy(exclusions = before.exclusions.filterNot { it.member == member }))
    }

    private fun unknownMember(member: String): OrderOutcome {
        val known = members.sorted().joinToString(", ")
        return OrderOutcome.Refused("member $member is not configured; one of $known is needed")
    }
}
