package glenspool.rollout

import kotlin.time.Duration

/** What a controller says of itself. [boot] is null for builds that know nothing of levels. */
data class MemberReport(
    val member: String,
    val boot: String?,
    val levels: BuildLevels,
    val ready: Boolean,
    val health: HealthCounts = HealthCounts.NONE,
)

/** What is known of a member at one moment. Spans count back from that moment. */
data class MemberView(
    val member: String,
    /** Null: never heard. */
    val report: MemberReport?,
    val heardAgo: Duration?,
    /** How long this very process has been seen ready without interruption. */
    val readyFor: Duration,
    /** Since when its process, build or reachability is what it is. */
    val unchangedFor: Duration,
    val reachable: Boolean,
    /** How often another process was found in its place. */
    val restarts: Int,
)

/**
 * The leader's evidence about all members. It counts from the moment a question was sent, so an answer that was held up
 * is as old as its question, and one that was overtaken is ignored. Another process in a member's place begins from
 * nothing.
 */
class MemberTracker(members: Collection<String>, private val evidenceAge: Duration, begun: Duration) {
    private class Known(var changedAt: Duration) {
        var report: MemberReport? = null
        var askedAt: Duration? = null
        var readySince: Duration? = null
        var restarts = 0
    }

    private val known = members.sorted().associateWith { Known(begun) }

    /** [askedAt]: when the question was sent that the report answers. */
    fun heard(report: MemberReport, askedAt: Duration) {
        val entry = known[report.member] ?: return
        val before = entry.askedAt
        if (before != null && askedAt <= before) return
        val unbroken = before != null && askedAt - before <= evidenceAge
        val sameProcess = entry.report?.let { it.boot == report.boot && it.levels == report.levels } ?: false
        if (!sameProcess || !unbroken) {
            entry.changedAt = askedAt
            entry.readySince = null
        }
        if (!sameProcess && entry.report != null) entry.restarts++
        entry.readySince = if (report.ready) entry.readySince ?: askedAt else null
        entry.report = report
        entry.askedAt = askedAt
    }

    fun view(now: Duration): List<MemberView> = known.map { (member, entry) -> view(member, entry, now) }

    private fun view(member: String, entry: Known, now: Duration): MemberView {
        val heardAgo = entry.askedAt?.let { now - it }
        val reachable = heardAgo != null && heardAgo <= evidenceAge
        val changedAt = if (reachable) entry.changedAt else entry.askedAt ?: entry.changedAt
        return MemberView(
            member,
            entry.report,
            heardAgo,
            entry.readySince?.takeIf { reachable }?.let { now - it } ?: Duration.ZERO,
            now - changedAt,
            reachable,
            entry.restarts,
        )
    }
}
