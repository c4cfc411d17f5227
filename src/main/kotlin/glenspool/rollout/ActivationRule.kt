package glenspool.rollout

/** Why a level does not become active. */
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

/** A cause with the member that it is about, if it is about one. */
data class Hold(val cause: HoldCause, val member: String? = null, val detail: String? = null)

/** Everything that decides about activation, at one moment. */
data class ActivationInput(
    val registry: FeatureRegistry,
    val policy: RolloutPolicy,
    val level: Stored<LevelRecord>,
    val orders: Stored<OperatorOrders>,
    val members: List<MemberView>,
    val health: List<HealthFailure>,
)

/** Whether the next level may become active. */
sealed interface ActivationVerdict {
    /** No member knows a higher level than the active one. */
    data object NothingHigher : ActivationVerdict

    data class Held(val target: Int, val hold: Hold) : ActivationVerdict

    data class Due(val target: Int) : ActivationVerdict
}

/**
 * The rule for activation. Levels become active one at a time. Every configured member that is not excluded must be
 * heard now, in a process whose build reads the level and which has been ready for the settling time. Absence of
 * evidence always holds.
 */
object ActivationRule {
    fun judge(input: ActivationInput): ActivationVerdict {
        val current = currentLevel(input.level)
        val highestSeen =
            maxOf(
                input.registry.highest,
                input.members.mapNotNull { it.report?.levels?.highest }.maxOrNull() ?: 0,
            )
        if (current != null && highestSeen <= current) return ActivationVerdict.NothingHigher
        val target = (current ?: FeatureRegistry.BASE) + 1
        val hold = storedFacts(input, target) ?: operators(input, target) ?: members(input, target) ?: health(input)
        return if (hold == null) ActivationVerdict.Due(target) else ActivationVerdict.Held(target, hold)
    }

    /** The active level; null if it is not known. */
    fun currentLevel(level: Stored<LevelRecord>): Int? =
        when (level) {
            is Stored.Present -> level.value.level
            Stored.Absent -> FeatureRegistry.BASE
            Stored.NotRead, is Stored.Unreadable -> null
        }

    private fun storedFacts(input: ActivationInput, target: Int): Hold? =
        when {
            input.level is Stored.Unreadable -> Hold(HoldCause.LEVEL_UNREADABLE, detail = input.level.reason)
            input.level is Stored.NotRead -> Hold(HoldCause.LEVEL_NOT_READ)
            input.registry.find(target) == null -> Hold(HoldCause.LEVEL_UNKNOWN_TO_BUILD)
            input.orders is Stored.Unreadable -> Hold(HoldCause.ORDERS_UNREADABLE, detail = input.orders.reason)
            input.orders is Stored.NotRead -> Hold(HoldCause.LEVEL_NOT_READ)
            else -> null
        }

    private fun operators(input: ActivationInput, target: Int): Hold? {
        val orders = input.orders.valueOrNull() ?: OperatorOrders()
        val approved = orders.approvedLevel.let { it != null && it >= target }
        return when {
            orders.lowerTo != null -> Hold(HoldCause.LOWERED_BY_OPERATOR)
            approved -> null
            else ->
                when (orders.mode ?: input.policy.mode) {
                    ActivationMode.AUTOMATIC -> null
                    ActivationMode.MANUAL -> Hold(HoldCause.AWAITING_OPERATOR)
                    ActivationMode.HOLD -> Hold(HoldCause.POLICY)
                }
        }
    }

    private fun members(input: ActivationInput, target: Int): Hold? {
        val orders = input.orders.valueOrNull() ?: OperatorOrders()
        // What an operator has to do something about is named before what passes by itself.
        return input.members
            .filterNot { orders.excludes(it.member) }
            .mapNotNull { member(it, target, input.policy) }
            .minByOrNull { it.cause }
    }

    private fun member(view: MemberView, target: Int, policy: RolloutPolicy): Hold? {
        val report = view.report
        return when {
            report == null || !view.reachable -> Hold(HoldCause.MEMBER_UNREACHABLE, view.member)
            !report.levels.reads(target) -> Hold(HoldCause.MEMBER_OLD_BUILD, view.member, report.levels.build)
            !report.ready -> Hold(HoldCause.MEMBER_NOT_READY, view.member)
            view.readyFor < policy.settle -> Hold(HoldCause.MEMBER_SETTLING, view.member)
            else -> null
        }
    }

    private fun health(input: ActivationInput): Hold? =
        input.health.firstOrNull()?.let {
            Hold(
                HoldCause.HEALTH,
                detail =
                    it
                        .toString(),
            )
        }
}
