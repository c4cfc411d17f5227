package glenspool.rollout

import kotlin.time.Duration

/** What an operator asks for. */
sealed interface OperatorRequest {
    data object Hold : OperatorRequest

    data object Resume : OperatorRequest

    data class Activate(val level: Int) : OperatorRequest

    data class Deactivate(val level: Int) : OperatorRequest

    data class Exclude(val member: String, val by: String) : OperatorRequest

    data class Include(val member: String) : OperatorRequest
}

/** What becomes of a request. */
sealed interface OrderOutcome {
    data class Accepted(val orders: OperatorOrders) : OrderOutcome

    /** [reason] says what would do instead. */
    data class Refused(val reason: String) : OrderOutcome
}

/** Turns a request into the orders to be stored. The same request again gives the same orders. */
class OrderRule(private val registry: FeatureRegistry, private val members: Set<String>) {
    fun apply(
        request: OperatorRequest,
        before: OperatorOrders,
        level: Stored<LevelRecord>,
        wall: Duration,
    ): OrderOutcome =
        when (request) {
            OperatorRequest.Hold -> OrderOutcome.Accepted(before.copy(mode = ActivationMode.HOLD, approvedLevel = null))
            OperatorRequest.Resume -> OrderOutcome.Accepted(before.copy(mode = null, lowerTo = null))
            is OperatorRequest.Activate -> activate(request.level, before, level)
            is OperatorRequest.Deactivate -> deactivate(request.level, before, level)
            is OperatorRequest.Exclude -> exclude(request, before, wall)
            is OperatorRequest.Include -> include(request.member, before)
        }

    private fun activate(target: Int, before: OperatorOrders, level: Stored<LevelRecord>): OrderOutcome {
        val current =
            ActivationRule.currentLevel(level)
                ?: return OrderOutcome.Refused("the active level can't be read; nothing can be activated")
        return when {
            registry.find(target) == null ->
                OrderOutcome
                    .Refused("level $target is not known; the highest known one is ${registry.highest}")
            target > current + 1 ->
                OrderOutcome
                    .Refused("level $target can't be next; activate level ${current + 1} first")
            else -> OrderOutcome.Accepted(before.copy(approvedLevel = target, lowerTo = null))
        }
    }

    private fun deactivate(target: Int, before: OperatorOrders, level: Stored<LevelRecord>): OrderOutcome {
        val record = level.valueOrNull() ?: return OrderOutcome.Refused("no level is active")
        val active =
            registry.find(record.level)
                ?: return OrderOutcome.Refused("level ${record.level} is not known to this build")
        return when {
            target != record.level ->
                OrderOutcome
                    .Refused("level $target is not the active one; level ${record.level} is")
            active.wayDown == WayDown.NONE ->
                OrderOutcome
                    .Refused("level $target (${active.name}) can't be deactivated")
            else ->
                OrderOutcome.Accepted(
                    before.copy(
                        mode = ActivationMode.HOLD, approvedLevel = null,
                        lowerTo =
                            target - 1,
                    ),
                )
        }
    }

    private fun exclude(request: OperatorRequest.Exclude, before: OperatorOrders, wall: Duration): OrderOutcome {
        if (request.member !in members) return OrderOutcome.Refused(unknown(request.member))
        if (before.excludes(request.member)) return OrderOutcome.Accepted(before)
        return OrderOutcome.Accepted(
            before.copy(
                exclusions =
                    before.exclusions + Exclusion(request.member, request.by, wall),
            ),
        )
    }

    private fun include(member: String, before: OperatorOrders): OrderOutcome {
        if (member !in members) return OrderOutcome.Refused(unknown(member))
        return OrderOutcome.Accepted(before.copy(exclusions = before.exclusions.filterNot { it.member == member }))
    }

    private fun unknown(member: String) = "member $member is not configured; one of ${members.sorted().joinToString(", ")} is needed"
}
