package glenspool.cli

import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutStatus
import glenspool.peer.RolloutVerb
import org.apache.commons.cli.DefaultParser

/** `glenspool rollout …`: an operator's questions and orders to a running controller, at its internal address. */
object RolloutCommand {
    fun run(args: List<String>): Int {
        val verb = args.firstOrNull() ?: throw UsageError("rollout needs one of ${verbs.joinToString(", ")}")
        if (verb !in
            verbs
        ) {
            throw UsageError("unknown rollout command '$verb'; one of ${verbs.joinToString(", ")} is needed")
        }
        val line = DefaultParser().parse(OperatorClient.options(), args.drop(1).toTypedArray())
        val node = line.getOptionValue("node")
        OperatorClient.checkAddress(node)
        if (verb == WATCH) return RolloutView.run { ask(node, RolloutRequest(RolloutVerb.STATUS)) }
        val request = request(verb, line.argList, line.getOptionValue("by") ?: System.getProperty("user.name"))
        return show(ask(node, request), verb, line.hasOption("json"))
    }

    private fun request(verb: String, rest: List<String>, by: String?): RolloutRequest =
        when (verb) {
            "status", "plan" -> RolloutRequest(RolloutVerb.STATUS).also { none(verb, rest) }
            "hold" -> RolloutRequest(RolloutVerb.HOLD, by = by).also { none(verb, rest) }
            "resume" -> RolloutRequest(RolloutVerb.RESUME, by = by).also { none(verb, rest) }
            "activate" -> RolloutRequest(RolloutVerb.ACTIVATE, level = level(verb, rest), by = by)
            "deactivate" -> RolloutRequest(RolloutVerb.DEACTIVATE, level = level(verb, rest), by = by)
            "exclude" -> RolloutRequest(RolloutVerb.EXCLUDE, member = member(verb, rest), by = by)
            else -> RolloutRequest(RolloutVerb.INCLUDE, member = member(verb, rest), by = by)
        }

    private fun none(verb: String, rest: List<String>) {
        if (rest.isNotEmpty()) throw UsageError("rollout $verb: unexpected argument '${rest.first()}'")
    }

    private fun level(verb: String, rest: List<String>): Int =
        rest.singleOrNull()?.toIntOrNull()?.takeIf { it > 0 }
            ?: throw UsageError("rollout $verb needs one LEVEL, a whole number above 0")

    private fun member(verb: String, rest: List<String>): String =
        rest.singleOrNull() ?: throw UsageError("rollout $verb needs one MEMBER")

    private fun ask(node: String, request: RolloutRequest): OperatorAnswer<RolloutReply> =
        OperatorClient
            .ask(node, PeerPaths.ROLLOUT, PeerWire.encode(request), NOT_MANAGED, PeerWire::rolloutReply)

    private fun show(answer: OperatorAnswer<RolloutReply>, verb: String, asJson: Boolean): Int {
        val reply =
            when (answer) {
                is OperatorAnswer.Failed -> return OperatorClient.fail(answer.reason)
                is OperatorAnswer.Replied -> answer.reply
            }
        if (asJson) println(ObjectMapper().writeValueAsString(reply))
        if (!reply.accepted) return OperatorClient.fail(reply.problem ?: "refused", reply.retryAfterSeconds)
        val status = reply.status ?: return 0
        if (!asJson) (if (verb == "plan") RolloutText.plan(status) else RolloutText.status(status)).forEach(::println)
        return 0
    }

    private const val WATCH = "watch"
    private val verbs =
        listOf("status", "plan", WATCH, "hold", "resume", "activate", "deactivate", "exclude", "include")
    private const val NOT_MANAGED = "this controller does not manage rollouts; it is started without --rollout, or of a version without it"
}

/** The rollout in words, a line each. */
internal object RolloutText {
    fun status(status: RolloutStatus): List<String> =
        buildList {
            add("controller ${status.node}, build ${status.build}, reads levels ${status.lowest} to ${status.highest}; leader ${status.leader ?: "unknown"}")
            add(level(status))
            add(
                "mode ${status.mode}${status.approvedLevel?.let {
                    ", level $it approved"
                } ?: ""}${status.lowerTo?.let { ", going back to level $it" } ?: ""}",
            )
            if (status.excluded.isNotEmpty()) add("excluded: ${status.excluded.joinToString(", ")}")
            status.fence?.let { add("FENCED: $it") }
            status.hold?.let { add(hold(it, status)) }
            status.members.forEach { add(member(it)) }
            status.health.forEach { add("health: $it") }
        }

    fun plan(status: RolloutStatus): List<String> =
        when {
            status.leader != status.node -> listOf("${status.node} does not lead; ask ${status.leader ?: "again when a leader is known"}")
            status.plan.isEmpty() -> listOf("nothing to do")
            else -> status.plan.mapIndexed { index, step -> "${index + 1}. $step" }
        }

    private fun level(status: RolloutStatus): String =
        when {
            status.levelProblem != null -> "active level unknown: ${status.levelProblem}; nothing is activated, the lowest form is written"
            else -> {
                val stage = status.stage ?: "never changed"
                "active level ${status.level} (${status.levelName}, $stage), ${status.recordsInLevel} records in higher forms; target ${status.target}"
            }
        }

    private fun hold(cause: String, status: RolloutStatus): String {
        val since = status.heldSince?.let { " since ${java.time.Instant.ofEpochMilli(it)}" } ?: ""
        return "held: $cause${status.holdMember?.let {
            " by $it"
        } ?: ""}${status.holdDetail?.let { " ($it)" } ?: ""}$since"
    }

    fun member(member: RolloutStatus.Member): String {
        val state = if (member.reachable) "ready for ${member.readySeconds} s" else "not reachable for ${member.unchangedSeconds} s"
        return "  ${member.member}: ${member.build ?: "never heard"}, highest level ${member.highest ?: "unknown"}, $state, ${member.restarts} restarts seen"
    }
}
