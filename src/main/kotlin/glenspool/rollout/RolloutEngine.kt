package glenspool.rollout

import kotlin.time.Duration

/** The stored facts and the surroundings at one moment, as the leader has them. */
data class RolloutInput(
    /** Steady time. */
    val now: Duration,
    /** Time of day. */
    val wall: Duration,
    val token: Long,
    val leader: String,
    val level: Stored<LevelRecord>,
    val orders: Stored<OperatorOrders>,
    val state: Stored<RolloutState>,
    /** How many records the replica holds in a form of the given level. */
    val recordsIn: (level: Int) -> Int,
)

/** What the leader should store. [version] is the condition on the record that is replaced. */
sealed interface RolloutAction {
    data class StoreLevel(val record: LevelRecord, val version: Long) : RolloutAction

    data class StoreState(val state: RolloutState, val version: Long) : RolloutAction

    /** Something that operators should see in the log. */
    data class Notice(val text: String, val warning: Boolean = false) : RolloutAction
}

/** The rollout as operators are shown it. */
data class RolloutOverview(
    val level: Stored<LevelRecord>,
    val orders: Stored<OperatorOrders>,
    val verdict: ActivationVerdict,
    val target: Int,
    val members: List<MemberView>,
    val health: List<HealthFailure>,
    val plan: List<PlanStep>,
) {
    /** What holds the target; null: nothing does. */
    val hold: Hold? = (verdict as? ActivationVerdict.Held)?.hold
}

/**
 * Decides about levels for the leader: evidence and time in, actions out. It performs nothing itself. One instance
 * serves one term.
 */
class RolloutEngine(
    private val registry: FeatureRegistry,
    private val policy: RolloutPolicy,
    members: Collection<String>,
    begun: Duration,
) {
    private val tracker = MemberTracker(members, policy.evidenceAge, begun)
    private val health = HealthGate(policy.health)
    private val lastNotice = HashMap<String, Duration>()
    private var lastHold: Hold? = null

    fun heard(report: MemberReport, askedAt: Duration) {
        tracker.heard(report, askedAt)
        health.add(report)
    }

    /** Judges anew. Each action is to be tried once; what fails is decided again from what is stored by then. */
    fun step(input: RolloutInput): List<RolloutAction> {
        health.sample(input.now)
        val overview = overview(input)
        return leftBehind(input, overview) + changeOfHold(overview) +
            listOfNotNull(changeLevel(input, overview), saveState(input, overview))
    }

    fun overview(input: RolloutInput): RolloutOverview {
        val views = tracker.view(input.now)
        val failures = failures(views, input.now)
        val verdict =
            ActivationRule
                .judge(ActivationInput(registry, policy, input.level, input.orders, views, failures))
        val target = targetOf(input, verdict)
        return RolloutOverview(
            input.level, input.orders, verdict, target, views, failures,
            RolloutPlan
                .of(views, input.leader, target, verdict, failures),
        )
    }

    private fun targetOf(input: RolloutInput, verdict: ActivationVerdict): Int =
        when (verdict) {
            is ActivationVerdict.Due -> verdict.target
            is ActivationVerdict.Held -> verdict.target
            ActivationVerdict.NothingHigher -> ActivationRule.currentLevel(input.level) ?: FeatureRegistry.BASE
        }

    /** The last step of the upgrade is the last time another process or build was found at a member. */
    private fun failures(views: List<MemberView>, now: Duration): List<HealthFailure> {
        val step = views.filter { it.restarts > 0 }.minOfOrNull { it.unchangedFor } ?: return emptyList()
        return health.failures(now - step, now)
    }

    private fun changeLevel(input: RolloutInput, overview: RolloutOverview): RolloutAction? {
        val version = input.level.replaceableVersion() ?: return null
        leave(input, overview, version)?.let { return it }
        val verdict = overview.verdict
        if (verdict !is ActivationVerdict.Due) return returnToLevel(input, version)
        // A level that is being left is finished or taken back before a higher one is thought of.
        if (input.level.valueOrNull()?.stage == LevelStage.LEAVING) return returnToLevel(input, version)
        return store(verdict.target, LevelStage.ACTIVE, input, version)
    }

    /** The next stage of a deactivation that an operator has ordered. */
    private fun leave(input: RolloutInput, overview: RolloutOverview, version: Long): RolloutAction? {
        val record = input.level.valueOrNull() ?: return null
        val lowerTo = input.orders.valueOrNull()?.lowerTo ?: return null
        if (lowerTo >= record.level || registry.find(record.level)?.wayDown != WayDown.REWRITE) return null
        if (record.stage == LevelStage.ACTIVE) return store(record.level, LevelStage.LEAVING, input, version)
        // The replica shows this stage, so it shows all that was written before it; nothing has taken on the form
        // since.
        if (input.recordsIn(record.level) > 0 || !allManaged(input, overview)) return null
        return store(record.level - 1, LevelStage.ACTIVE, input, version)
    }

    /**
     * A build that knows nothing of levels would go on writing the form, without the condition that refuses it after
     * this.
     */
    private fun allManaged(input: RolloutInput, overview: RolloutOverview): Boolean {
        val orders = input.orders.valueOrNull() ?: OperatorOrders()
        return overview.members.all { orders.excludes(it.member) || it.reachable && it.report?.boot != null }
    }

    /** The operator has changed his mind while the level was being left. */
    private fun returnToLevel(input: RolloutInput, version: Long): RolloutAction? {
        val record = input.level.valueOrNull() ?: return null
        if (record.stage != LevelStage.LEAVING ||
            input.orders !is Stored.Present ||
            input.orders.value.lowerTo != null
        ) {
            return null
        }
        return store(record.level, LevelStage.ACTIVE, input, version)
    }

    private fun store(level: Int, stage: LevelStage, input: RolloutInput, version: Long) = RolloutAction.StoreLevel(LevelRecord(level, registry.nameOf(level), stage, input.token, input.wall), version)

    private fun saveState(input: RolloutInput, overview: RolloutOverview): RolloutAction? {
        val version = input.state.replaceableVersion() ?: return null
        val before = input.state.valueOrNull()
        val next =
            RolloutState(
                overview.target,
                overview.members.mapNotNull {
                    seen(it, input.wall)
                },
                steady(overview.hold), input.wall,
            )
        if (before != null && before.sameAs(next)) return null
        val heldSince = if (before?.hold == next.hold) before?.heldSince else input.wall
        return RolloutAction.StoreState(next.copy(heldSince = heldSince.takeIf { next.hold != null }), version)
    }

    /** Details that change by themselves would be stored again and again. */
    private fun steady(hold: Hold?): Hold? = if (hold?.cause == HoldCause.HEALTH) hold.copy(detail = null) else hold

    private fun seen(view: MemberView, wall: Duration): MemberSeen? = view.report?.let { MemberSeen(view.member, it.levels.build, it.levels.highest, wall - view.unchangedFor) }

    private fun changeOfHold(overview: RolloutOverview): List<RolloutAction> {
        val hold = overview.hold
        if (hold == lastHold) return emptyList()
        lastHold = hold
        val text =
            if (hold ==
                null
            ) {
                "nothing holds level ${overview.target}"
            } else {
                "level ${overview.target} is held: ${hold.cause}${hold.member?.let { " member=$it" } ?: ""}"
            }
        return listOf(RolloutAction.Notice(text))
    }

    /**
     * Members that hold the rollout back, or that serve as an older build than the active level, are named with their
     * time.
     */
    private fun leftBehind(input: RolloutInput, overview: RolloutOverview): List<RolloutAction> =
        overview.members.mapNotNull { view ->
            val problem = problemOf(view, input, overview)
            if (problem == null) {
                lastNotice.remove(view.member)
                return@mapNotNull null
            }
            val last = lastNotice[view.member]
            if (view.unchangedFor < policy.leftBehindAfter ||
                last != null &&
                input.now - last < policy.leftBehindAfter
            ) {
                return@mapNotNull null
            }
            lastNotice[view.member] = input.now
            RolloutAction
                .Notice("member ${view.member} is left behind: $problem for ${view.unchangedFor.inWholeSeconds} s", warning = true)
        }

    private fun problemOf(view: MemberView, input: RolloutInput, overview: RolloutOverview): String? {
        val levels = view.report?.levels
        val active = input.level.valueOrNull()?.level ?: FeatureRegistry.BASE
        return when {
            !view.reachable || levels == null -> "not reachable"
            !levels.reads(active) -> "build ${levels.build} can't read the active level $active"
            overview.hold?.member == view.member -> "${overview.hold.cause}, build ${levels.build}"
            else -> null
        }
    }
}
