package glenspool.rollout

import kotlin.time.Duration

/** Generates the rollout's log messages, each only after a change or when a warning has to be repeated. */
internal class RolloutNotices(private val policy: RolloutPolicy) {
    private val lastWarnedAt = HashMap<String, Duration>()
    private var lastHold: Hold? = null

    /**
     * Returns warnings about members that hold the rollout back, or whose build can't read the active level, for longer
     * than the policy allows.
     */
    fun membersLeftBehind(input: RolloutInput, overview: RolloutOverview): List<RolloutAction.Notice> =
        overview.members.mapNotNull { view ->
            val problem = problemOf(view, input, overview)
            if (problem == null) lastWarnedAt.remove(view.member)
            if (problem == null || !isWarningDue(view, input.now)) return@mapNotNull null
            lastWarnedAt[view.member] = input.now
            val seconds = view.unchangedFor.inWholeSeconds
            RolloutAction.Notice("member ${view.member} is left behind: $problem for $seconds s", isWarning = true)
        }

    private fun isWarningDue(view: MemberView, now: Duration): Boolean {
        val last = lastWarnedAt[view.member]
        val wasWarnedRecently = last != null && now - last < policy.leftBehindAfter
        return view.unchangedFor >= policy.leftBehindAfter && !wasWarnedRecently
    }

    private fun problemOf(view: MemberView, input: RolloutInput, overview: RolloutOverview): String? {
        val levels = view.report?.levels
        val active = input.level.valueOrNull()?.level ?: FeatureRegistry.BASE
        return when {
            !view.isReachable || levels == null -> "not reachable"
            !levels.reads(active) -> "build ${levels.build} can't read the active level $active"
            overview.hold?.member == view.member -> "${overview.hold.cause}, build ${levels.build}"
            else -> null
        }
    }

    /** Returns a message if the cause that holds the target level has changed. */
    fun changedHold(overview: RolloutOverview): RolloutAction.Notice? {
        val hold = overview.hold
        if (hold == lastHold) return null
        lastHold = hold
        if (hold == null) return RolloutAction.Notice("level ${overview.target} is no longer held")
        val member = hold.member?.let { " member=$it" }.orEmpty()
        return RolloutAction.Notice("level ${overview.target} is held: ${hold.cause}$member")
    }
}
