package glenspool.rollout

/** Decides which level record the leader should store next, if any. */
internal class LevelChangeRule(private val registry: FeatureRegistry) {
    /** @param members the leader's evidence about all members */
    fun decide(
        input: RolloutInput,
        decision: ActivationDecision,
        members: List<MemberView>,
    ): RolloutAction.StoreLevel? {
        val version = input.level.replaceableVersion() ?: return null
        val change = deactivation(input, members) ?: activation(input, decision) ?: return null
        val name = registry.nameOf(change.level)
        val record = LevelRecord(change.level, name, change.stage, input.token, input.wallClock)
        return RolloutAction.StoreLevel(record, version)
    }

    private class Change(val level: Int, val stage: LevelStage)

    /** The next stage of a deactivation that an operator has ordered. */
    private fun deactivation(input: RolloutInput, members: List<MemberView>): Change? {
        val record = input.level.valueOrNull() ?: return null
        val lowerTo = input.orders.valueOrNull()?.lowerTo ?: return null
        if (lowerTo >= record.level || registry.find(record.level)?.deactivation != Deactivation.REWRITE) return null
        if (record.stage == LevelStage.ACTIVE) return Change(record.level, LevelStage.LEAVING)
        // The store cache contains this stage, so it contains every write before it, and no further record has been
        // written in the level's forms since.
        if (input.recordCountInLevel(record.level) > 0 || !areAllMembersManaged(input, members)) return null
        return Change(record.level - 1, LevelStage.ACTIVE)
    }

    /**
     * Whether each member is excluded, or is reachable and manages levels. A build without levels would continue to
     * write the form, without the condition on the level record that makes such a write fail after the deactivation.
     */
    private fun areAllMembersManaged(input: RolloutInput, members: List<MemberView>): Boolean {
        val orders = input.orders.valueOrDefault()
        return members.all { orders.excludes(it.member) || it.isReachable && it.report?.boot != null }
    }

    private fun activation(input: RolloutInput, decision: ActivationDecision): Change? {
        val isLeaving = input.level.valueOrNull()?.stage == LevelStage.LEAVING
        // A deactivation has to be finished or cancelled before a higher level may become active.
        if (isLeaving) return cancelledDeactivation(input)
        return if (decision is ActivationDecision.Due) Change(decision.target, LevelStage.ACTIVE) else null
    }

    /** Makes the level active again if the operator has cancelled the deactivation. */
    private fun cancelledDeactivation(input: RolloutInput): Change? {
        val record = input.level.valueOrNull() ?: return null
        if (input.orders !is Stored.Present || input.orders.value.lowerTo != null) return null
        return Change(record.level, LevelStage.ACTIVE)
    }
}
