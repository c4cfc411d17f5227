package glenspool.controller

import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutStatus
import glenspool.peer.RolloutVerb
import glenspool.rollout.ActivationMode
import glenspool.rollout.FeatureRegistry
import glenspool.rollout.Fence
import glenspool.rollout.Hold
import glenspool.rollout.LevelRecord
import glenspool.rollout.MemberView
import glenspool.rollout.ObservedMember
import glenspool.rollout.OperatorOrders
import glenspool.rollout.OperatorRequest
import glenspool.rollout.PlanStep
import glenspool.rollout.RolloutOverview
import glenspool.rollout.Stored
import glenspool.rollout.valueOrNull
import glenspool.state.RolloutRecords

/** Converts between the messages that operators' commands use and the rollout's types. */
internal object RolloutReplies {
    /** Thrown if a request lacks a value that its verb needs. */
    class IncompleteRequest(message: String) : Exception(message)

    /** Returns the order that the request contains; null if it is a query. Throws [IncompleteRequest]. */
    fun orderOf(request: RolloutRequest): OperatorRequest? =
        when (request.verb) {
            RolloutVerb.STATUS -> null
            RolloutVerb.HOLD -> OperatorRequest.Hold
            RolloutVerb.RESUME -> OperatorRequest.Resume
            RolloutVerb.ACTIVATE -> OperatorRequest.Activate(levelOf(request))
            RolloutVerb.DEACTIVATE -> OperatorRequest.Deactivate(levelOf(request))
            RolloutVerb.EXCLUDE -> OperatorRequest.Exclude(memberOf(request), request.by ?: "unnamed")
            RolloutVerb.INCLUDE -> OperatorRequest.Include(memberOf(request))
        }

    private fun levelOf(request: RolloutRequest) = request.level ?: throw IncompleteRequest("a level is needed")

    private fun memberOf(request: RolloutRequest) = request.member ?: throw IncompleteRequest("a member is needed")

    /**
     * Builds the status that operators are shown.
     *
     * @param overview the rollout as the leader sees it; null on other nodes, which show the stored state instead
     */
    fun status(
        identity: ProcessIdentity,
        leader: String?,
        registry: FeatureRegistry,
        policyMode: ActivationMode,
        fence: Fence?,
        records: RolloutRecords,
        overview: RolloutOverview?,
    ): RolloutStatus {
        val level = records.level()
        val record = level.valueOrNull()
        val orders = records.orders().valueOrNull() ?: OperatorOrders()
        val state = records.state().valueOrNull()
        val hold: Hold? = if (overview != null) overview.hold else state?.hold
        return RolloutStatus(
            node = identity.node,
            leader = leader,
            build = identity.levels.build,
            lowest = identity.levels.lowest,
            highest = identity.levels.highest,
            level = if (level is Stored.Absent) FeatureRegistry.BASE else record?.level,
            levelName = if (level is Stored.Absent) FeatureRegistry.BASE_NAME else record?.name,
            stage = record?.stage?.name?.lowercase(),
            levelChangedAt = record?.changedAt?.inWholeMilliseconds,
            levelProblem = problemOf(level),
            fence = fence?.toString(),
            target = overview?.target ?: state?.target ?: registry.highest,
            mode = (orders.mode ?: policyMode).name.lowercase(),
            approvedLevel = orders.approvedLevel,
            lowerTo = orders.lowerTo,
            excluded = orders.exclusions.map { it.member },
            hold = hold?.cause?.name?.lowercase(),
            holdMember = hold?.member,
            holdDetail = hold?.detail,
            heldSince = state?.heldSince?.inWholeMilliseconds,
            members = overview?.members?.map(::member) ?: state?.members.orEmpty().map(::storedMember),
            health = overview?.health.orEmpty().map { it.toString() },
            plan = overview?.plan.orEmpty().map(::text),
            recordsInLevel = records.countSealedRecordKeys(),
        )
    }

    private fun problemOf(level: Stored<LevelRecord>): String? =
        when (level) {
            Stored.NotRead -> "the state has not been read yet"
            is Stored.Unreadable -> level.reason
            Stored.Absent, is Stored.Present -> null
        }

    private fun member(view: MemberView) =
        RolloutStatus.Member(
            view.member,
            view.report?.levels?.build,
            view.report?.levels?.highest,
            view.isReachable,
            view.readyFor.inWholeSeconds,
            view.unchangedFor.inWholeSeconds,
            view.restarts,
        )

    /** Describes a member as the leader stored it, which is all that a node that does not lead knows about it. */
    private fun storedMember(seen: ObservedMember) =
        RolloutStatus.Member(
            seen.member,
            seen.build,
            seen.highest,
            reachable = false,
            readySeconds = 0,
            unchangedSeconds = 0,
            restarts = 0,
        )

    private fun text(step: PlanStep): String =
        when (step) {
            is PlanStep.Replace -> "replace ${step.member}${if (step.isLeader) " (it leads, so it comes last)" else ""}"
            is PlanStep.WaitFor -> "wait for ${step.member}: ${step.reason}"
            is PlanStep.Stop -> "stop: ${step.reason}"
            is PlanStep.Activate -> "activate level ${step.level}"
        }
}
