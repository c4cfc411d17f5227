package glenspool.cli

import glenspool.peer.RolloutStatus
import java.time.Instant

/** Renders the status of a rollout as lines of text. */
internal object RolloutText {
    fun status(status: RolloutStatus): List<String> =
        buildList {
            add(controller(status))
            add(level(status))
            add(mode(status))
            if (status.excluded.isNotEmpty()) add("excluded: ${status.excluded.joinToString(", ")}")
            status.fence?.let { add("FENCED: $it") }
            status.hold?.let { add(hold(it, status)) }
            status.members.forEach { add(member(it)) }
            status.health.forEach { add("health: $it") }
        }

    fun plan(status: RolloutStatus): List<String> {
        val leader = status.leader ?: "again when a leader is known"
        return when {
            status.leader != status.node -> listOf("${status.node} does not lead; ask $leader")
            status.plan.isEmpty() -> listOf("nothing to do")
            else -> status.plan.mapIndexed { index, step -> "${index + 1}. $step" }
        }
    }

    private fun controller(status: RolloutStatus): String {
        val levels = "reads levels ${status.lowest} to ${status.highest}"
        return "controller ${status.node}, build ${status.build}, $levels; leader ${status.leader ?: "unknown"}"
    }

    private fun level(status: RolloutStatus): String {
        val problem = status.levelProblem
        if (problem != null) {
            return "active level unknown: $problem; nothing is activated, the lowest form is written"
        }
        val name = "${status.levelName}, ${status.stage ?: "never changed"}"
        val records = "${status.recordsInLevel} records in higher forms"
        return "active level ${status.level} ($name), $records; target ${status.target}"
    }

    private fun mode(status: RolloutStatus): String {
        val approved = status.approvedLevel?.let { ", level $it approved" }.orEmpty()
        val lowering = status.lowerTo?.let { ", going back to level $it" }.orEmpty()
        return "mode ${status.mode}$approved$lowering"
    }

    private fun hold(cause: String, status: RolloutStatus): String {
        val member = status.holdMember?.let { " by $it" }.orEmpty()
        val detail = status.holdDetail?.let { " ($it)" }.orEmpty()
        val since = status.heldSince?.let { " since ${Instant.ofEpochMilli(it)}" }.orEmpty()
        return "held: $cause$member$detail$since"
    }

    private fun member(member: RolloutStatus.Member): String {
        val state =
            if (member.reachable) {
                "ready for ${member.readySeconds} s"
            } else {
                "not reachable for ${member.unchangedSeconds} s"
            }
        val build = member.build ?: "never heard"
        val highest = member.highest ?: "unknown"
        return "  ${member.member}: $build, highest level $highest, $state, ${member.restarts} restarts seen"
    }
}
