package glenspool.rollout

import kotlin.time.Duration

/**
 * A controller's report about its own process.
 *
 * @property boot identifies the process; null for builds without levels
 */
data class MemberReport(
    val member: String,
    val boot: String?,
    val levels: BuildLevels,
    val isReady: Boolean,
    val health: HealthCounts = HealthCounts.NONE,
)

/** The evidence about a member at one point in time, to which the durations refer. */
data class MemberView(
    val member: String,
    /** The newest report; null if there is none. */
    val report: MemberReport?,
    /** The time since the request for the newest report was sent; null if there is no report. */
    val lastReportAge: Duration?,
    /** How long the current process has reported without interruption that it is ready. */
    val readyFor: Duration,
    /** How long the member's process, build and reachability have been the same. */
    val unchangedFor: Duration,
    val isReachable: Boolean,
    /** How often a different process was found at this member. */
    val restarts: Int,
)

/**
 * The leader's evidence about all members. The age of evidence counts from when the request was sent, so a delayed
 * answer is as old as its request, and an answer is ignored after the answer to a later request. The evidence about a
 * restarted process starts over.
 */
class MemberTracker(members: Collection<String>, private val evidenceAge: Duration, startedAt: Duration) {
    private class Evidence(var changedAt: Duration) {
        var report: MemberReport? = null
        var requestSentAt: Duration? = null
        var readySince: Duration? = null
        var restarts = 0
    }

    private val evidenceByMember = members.sorted().associateWith { Evidence(startedAt) }

    /** Adds a report; ignores it if its member is not configured. [requestSentAt]: when the request was sent. */
    fun memberReported(report: MemberReport, requestSentAt: Duration) {
        val evidence = evidenceByMember[report.member] ?: return
        val previousRequestSentAt = evidence.requestSentAt
        if (previousRequestSentAt != null && requestSentAt <= previousRequestSentAt) return
        val isUninterrupted = previousRequestSentAt != null && requestSentAt - previousRequestSentAt <= evidenceAge
        val previous = evidence.report
        val isSameProcess = previous != null && previous.boot == report.boot && previous.levels == report.levels
        if (!isSameProcess || !isUninterrupted) {
            evidence.changedAt = requestSentAt
            evidence.readySince = null
        }
        if (!isSameProcess && previous != null) evidence.restarts++
        evidence.readySince = if (report.isReady) evidence.readySince ?: requestSentAt else null
        evidence.report = report
        evidence.requestSentAt = requestSentAt
    }

    /** Returns the views of all members, sorted by name. */
    fun view(now: Duration): List<MemberView> =
        evidenceByMember.map { (member, evidence) -> view(member, evidence, now) }

    private fun view(member: String, evidence: Evidence, now: Duration): MemberView {
        val lastReportAge = evidence.requestSentAt?.let { now - it }
        val isReachable = lastReportAge != null && lastReportAge <= evidenceAge
        val readySince = evidence.readySince?.takeIf { isReachable }
        // A member that is no longer reachable counts as unreachable since its last report.
        val changedAt = if (isReachable) evidence.changedAt else evidence.requestSentAt ?: evidence.changedAt
        return MemberView(
            member,
            evidence.report,
            lastReportAge,
            readyFor = if (readySince == null) Duration.ZERO else now - readySince,
            unchangedFor = now - changedAt,
            isReachable,
            evidence.restarts,
        )
    }
}
