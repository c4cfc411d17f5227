package glenspool.rollout

/** What an operator should do next. */
sealed interface PlanStep {
    data class Replace(val member: String, val leading: Boolean) : PlanStep

    data class WaitFor(val member: String, val reason: String) : PlanStep

    data class Stop(val reason: String) : PlanStep

    data class Activate(val level: Int) : PlanStep
}

/**
 * The order in which controllers are replaced: one at a time, the leader last, and none while another one is not well.
 */
object RolloutPlan {
    fun of(
        members: List<MemberView>,
        leader: String?,
        target: Int,
        verdict: ActivationVerdict,
        health: List<HealthFailure>,
    ): List<PlanStep> {
        if (health.isNotEmpty()) return listOf(PlanStep.Stop(health.joinToString("; ")))
        val unwell = members.mapNotNull { view -> unwell(view)?.let { PlanStep.WaitFor(view.member, it) } }
        val outstanding =
            members
                .filter { it.reachable && it.report != null && it.report.levels.highest < target }
                .sortedWith(compareBy({ it.member == leader }, { it.member }))
                .map { PlanStep.Replace(it.member, it.member == leader) }
        val activation = if (needsOperator(verdict)) listOf(PlanStep.Activate(target)) else emptyList()
        return unwell + outstanding + activation
    }

    private fun needsOperator(verdict: ActivationVerdict): Boolean = verdict is ActivationVerdict.Held && verdict.hold.cause == HoldCause.AWAITING_OPERATOR

    private fun unwell(view: MemberView): String? =
        when {
            !view.reachable -> "not reachable"
            view.report?.ready == false -> "not ready"
            else -> null
        }
}
