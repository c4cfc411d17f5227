package glenspool.rollout

/** Why a level does not become active. The constants' names are stored and printed; their order is their priority. */
enum class HoldCause {
    LEVEL_NOT_READ,
    LEVEL_UNREADABLE,
    LEVEL_UNKNOWN_TO_BUILD,
    ORDERS_UNREADABLE,
    POLICY,
    AWAITING_OPERATOR,
    LOWERED_BY_OPERATOR,
    MEMBER_UNREACHABLE,
    MEMBER_OLD_BUILD,
    MEMBER_NOT_READY,
    MEMBER_SETTLING,
    HEALTH,
}

/** The reason why a level is held. [member] is null if the cause does not concern a single member. */
data class Hold(val cause: HoldCause, val member: String? = null, val detail: String? = null)

/** Everything that a decision about activation depends on, at one point in time. */
data class ActivationInput(
    val registry: FeatureRegistry,
    val policy: RolloutPolicy,
    val level: Stored<LevelRecord>,
    val orders: Stored<OperatorOrders>,
    val members: List<MemberView>,
    val health: List<HealthFailure>,
)

/** Whether the next level may become active. */
sealed interface ActivationDecision {
    /** No member knows a higher level than the active one. */
    data object NothingHigher : ActivationDecision

    /** The level [target] must not become active yet. */
    data class Held(val target: Int, val hold: Hold) : ActivationDecision

    /** The level [target] is to become active. */
    data class Due(val target: Int) : ActivationDecision
}

/**
 * The rule for activation. Levels become active one at a time. Every configured member that is not excluded must have
 * reported recently, from a process whose build reads the level and which has been ready for the settling time. Missing
 * evidence always holds the level.
 */
object ActivationRule {
    /** Decides whether the level above the active one may become active now. */
    fun evaluate(input: ActivationInput): ActivationDecision {
        val current = activeLevel(input.level)
        val highestReported = input.members.mapNotNull { it.report?.levels?.highest }.maxOrNull() ?: 0
        val highestKnown = maxOf(input.registry.highest, highestReported)
        if (current != null && highestKnown <= current) return ActivationDecision.NothingHigher
        val target = (current ?: FeatureRegistry.BASE) + 1
        val hold =
            holdByStoredRecords(input, target)
                ?: holdByOperators(input, target)
                ?: holdByMembers(input, target)
                ?: holdByHealth(input)
        return if (hold == null) ActivationDecision.Due(target) else ActivationDecision.Held(target, hold)
    }

    /** Returns the active level, or null if it is not known. */
    fun activeLevel(level: Stored<LevelRecord>): Int? =
        when (level) {
            is Stored.Present -> level.value.level
            Stored.Absent -> FeatureRegistry.BASE
            Stored.NotRead, is Stored.Unreadable -> null
        }

    private fun holdByStoredRecords(input: ActivationInput, target: Int): Hold? =
        when {
            input.level is Stored.Unreadable -> Hold(HoldCause.LEVEL_UNREADABLE, detail = input.level.reason)
            input.level is Stored.NotRead -> Hold(HoldCause.LEVEL_NOT_READ)
            input.registry.find(target) == null -> Hold(HoldCause.LEVEL_UNKNOWN_TO_BUILD)
            input.orders is Stored.Unreadable -> Hold(HoldCause.ORDERS_UNREADABLE, detail = input.orders.reason)
            input.orders is Stored.NotRead -> Hold(HoldCause.LEVEL_NOT_READ)
            else -> null
        }

    private fun holdByOperators(input: ActivationInput, target: Int): Hold? {
        val orders = input.orders.valueOrDefault()
        val isApproved = orders.approvedLevel.let { it != null && it >= target }
        return when {
            orders.lowerTo != null -> Hold(HoldCause.LOWERED_BY_OPERATOR)
            isApproved -> null
            else -> holdByMode(orders.mode ?: input.policy.mode)
        }
    }

    private fun holdByMode(mode: ActivationMode): Hold? =
        when (mode) {
            ActivationMode.AUTOMATIC -> null
            ActivationMode.MANUAL -> Hold(HoldCause.AWAITING_OPERATOR)
            ActivationMode.HOLD -> Hold(HoldCause.POLICY)
        }

    private fun holdByMembers(input: ActivationInput, target: Int): Hold? {
        val orders = input.orders.valueOrDefault()
        // A cause that needs an operator's action takes precedence over one that ends without any action.
        return input.members
            .filterNot { orders.excludes(it.member) }
            .mapNotNull { holdByMember(it, target, input.policy) }
            .minByOrNull { it.cause }
    }

    private fun holdByMember(view: MemberView, target: Int, policy: RolloutPolicy): Hold? {
        val report = view.report
        return when {
            report == null || !view.isReachable -> Hold(HoldCause.MEMBER_UNREACHABLE, view.member)
            !report.levels.reads(target) -> Hold(HoldCause.MEMBER_OLD_BUILD, view.member, report.levels.build)
            !report.isReady -> Hold(HoldCause.MEMBER_NOT_READY, view.member)
            view.readyFor < policy.settlingTime -> Hold(HoldCause.MEMBER_SETTLING, view.member)
            else -> null
        }
    }

    private fun holdByHealth(input: ActivationInput): Hold? {
        val failure = input.health.firstOrNull() ?: return null
        return Hold(HoldCause.HEALTH, detail = failure.toString())
    }
}
