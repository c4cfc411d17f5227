package glenspool.rollout

/** A step that an operator should take next. */
sealed interface PlanStep {
    /** Replace the member's build with a newer one. */
    data class Replace(val member: String, val isLeader: Boolean) : PlanStep

    /** Wait until the member is healthy again. */
    data class WaitFor(val member: String, val reason: String) : PlanStep

    /** Stop the upgrade. */
    data class Stop(val reason: String) : PlanStep

    /** Approve the activation of the level. */
    data class Activate(val level: Int) : PlanStep
}

/** Plans upgrades: controllers are replaced one at a time, the leader last, and none while another is unhealthy. */
object RolloutPlan {
    /**
     * Returns the next steps.
     *
     * @param leader the leader's name; null if there is no leader
     * @param target the next level, or the active one if there is no higher level
     */
    fun of(
        members: List<MemberView>,
        leader: String?,
        target: Int,
        decision: ActivationDecision,
        health: List<HealthFailure>,
    ): List<PlanStep> {
        if (health.isNotEmpty()) return listOf(PlanStep.Stop(health.joinToString("; ")))
        val unhealthy = members.mapNotNull { view -> problemOf(view)?.let { PlanStep.WaitFor(view.member, it) } }
        val outdated =
            members
                .filter { it.isReachable && it.report != null && it.report.levels.highest < target }
                .sortedWith(compareBy({ it.member == leader }, { it.member }))
                .map { PlanStep.Replace(it.member, it.member == leader) }
        val activation = if (needsApproval(decision)) listOf(PlanStep.Activate(target)) else emptyList()
        return unhealthy + outdated + activation
    }

    private fun needsApproval(decision: ActivationDecision): Boolean {
        val hold = (decision as? ActivationDecision.Held)?.hold
        return hold?.cause == HoldCause.AWAITING_OPERATOR
    }

    private fun problemOf(view: MemberView): String? =
        when {
            !view.isReachable -> "not reachable"
            view.report?.isReady == false -> "not ready"
            else -> null
        }
}
