package glenspool.rollout

import kotlin.time.Duration

/** The stored records and the circumstances at one point in time, as known to the leader. */
data class RolloutInput(
    /** Monotonic time. */
    val now: Duration,
    /** Wall-clock time since the epoch. */
    val wallClock: Duration,
    /** The leader's fencing token. */
    val token: Long,
    val leader: String,
    val level: Stored<LevelRecord>,
    val orders: Stored<OperatorOrders>,
    val state: Stored<RolloutState>,
    /** The number of records in the store cache that have a form of the given level. */
    val recordCountInLevel: (level: Int) -> Int,
)

/** An action for the leader. A record's `version` is the condition of the compare-and-swap that replaces it. */
sealed interface RolloutAction {
    /** Replace the level record. */
    data class StoreLevel(val record: LevelRecord, val version: Long) : RolloutAction

    /** Replace the record of the rollout's state. */
    data class StoreState(val state: RolloutState, val version: Long) : RolloutAction

    /** A message for the log. */
    data class Notice(val text: String, val isWarning: Boolean = false) : RolloutAction
}

/**
 * The state of the rollout as shown to operators.
 *
 * @property target the next level, or the active one if there is no higher level
 */
data class RolloutOverview(
    val level: Stored<LevelRecord>,
    val orders: Stored<OperatorOrders>,
    val decision: ActivationDecision,
    val target: Int,
    val members: List<MemberView>,
    val health: List<HealthFailure>,
    val plan: List<PlanStep>,
) {
    /** Why the target level is held; null if it is not held. */
    val hold: Hold? = (decision as? ActivationDecision.Held)?.hold
}

/**
 * Decides for the leader which level is active. It derives actions from evidence and time and has no side effects. Each
 * term has its own instance.
 *
 * @param startedAt when the term began, in monotonic time
 */
class RolloutEngine(
    private val registry: FeatureRegistry,
    private val policy: RolloutPolicy,
    members: Collection<String>,
    startedAt: Duration,
) {
    private val tracker = MemberTracker(members, policy.evidenceAge, startedAt)
    private val health = HealthGate(policy.health)
    private val levelChanges = LevelChangeRule(registry)
    private val notices = RolloutNotices(policy)

    /** Adds a member's report to the evidence. [requestSentAt]: when the request was sent, in monotonic time. */
    fun memberReported(report: MemberReport, requestSentAt: Duration) {
        tracker.memberReported(report, requestSentAt)
        health.add(report)
    }

    /** Returns the next actions. Each has to be tried once; after a failure the next step decides from the store. */
    fun step(input: RolloutInput): List<RolloutAction> {
        health.sample(input.now)
        val overview = overview(input)
        val messages = notices.membersLeftBehind(input, overview) + listOfNotNull(notices.changedHold(overview))
        val levelChange = levelChanges.decide(input, overview.decision, overview.members)
        return messages + listOfNotNull(levelChange, storeState(input, overview))
    }

    /** Returns the current state of the rollout as shown to operators. */
    fun overview(input: RolloutInput): RolloutOverview {
        val members = tracker.view(input.now)
        val failures = failuresSinceLastRestart(members, input.now)
        val activation = ActivationInput(registry, policy, input.level, input.orders, members, failures)
        val decision = ActivationRule.evaluate(activation)
        val target = targetOf(input, decision)
        val plan = RolloutPlan.of(members, input.leader, target, decision, failures)
        return RolloutOverview(input.level, input.orders, decision, target, members, failures, plan)
    }

    private fun targetOf(input: RolloutInput, decision: ActivationDecision): Int =
        when (decision) {
            is ActivationDecision.Due -> decision.target
            is ActivationDecision.Held -> decision.target
            ActivationDecision.NothingHigher -> ActivationRule.activeLevel(input.level) ?: FeatureRegistry.BASE
        }

    /** The last step of the upgrade is the last time when a member was found with another process or build. */
    private fun failuresSinceLastRestart(members: List<MemberView>, now: Duration): List<HealthFailure> {
        val sinceStep = members.filter { it.restarts > 0 }.minOfOrNull { it.unchangedFor } ?: return emptyList()
        return health.failures(now - sinceStep, now)
    }

    private fun storeState(input: RolloutInput, overview: RolloutOverview): RolloutAction? {
        val version = input.state.replaceableVersion() ?: return null
        val before = input.state.valueOrNull()
        val members = overview.members.mapNotNull { observedMember(it, input.wallClock) }
        val hold = withoutVolatileDetail(overview.hold)
        val heldSince = if (before?.hold == hold) before?.heldSince else input.wallClock
        val next = RolloutState(overview.target, members, hold, heldSince.takeIf { hold != null })
        if (before != null && before.equalsExceptTimes(next)) return null
        return RolloutAction.StoreState(next, version)
    }

    /** Removes the detail of a health hold. It changes continually and would cause a write at every step. */
    private fun withoutVolatileDetail(hold: Hold?): Hold? =
        if (hold?.cause == HoldCause.HEALTH) hold.copy(detail = null) else hold

    private fun observedMember(view: MemberView, wallClock: Duration): ObservedMember? {
        val levels = view.report?.levels ?: return null
        return ObservedMember(view.member, levels.build, levels.highest, wallClock - view.unchangedFor)
    }
}
