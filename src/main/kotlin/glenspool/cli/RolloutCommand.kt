package glenspool.cli

import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RolloutReply
import glenspool.peer.RolloutRequest
import glenspool.peer.RolloutStatus
import glenspool.peer.RolloutVerb

/** `glenspool rollout …`: the state of an upgrade of the controllers, and operators' orders to it. */
internal object RolloutCommand {
    private const val STATUS = "status"
    private const val PLAN = "plan"
    private const val WATCH = "watch"
    private const val NOT_MANAGED_MESSAGE =
        "this controller does not manage rollouts; it is started without --rollout, or of a version without it"
    private val verbs =
        listOf(STATUS, PLAN, WATCH, "hold", "resume", "activate", "deactivate", "exclude", "include")

    fun run(args: List<String>): Int {
        val allowed = verbs.joinToString(", ")
        val verb = args.firstOrNull() ?: throw UsageError("rollout needs one of $allowed")
        if (verb !in verbs) throw UsageError("unknown rollout command '$verb'; one of $allowed is needed")
        val options = OperatorOptions.parse(args.drop(1))
        options.requireAddress()
        if (verb == WATCH) return RolloutView.run { send(options.node, RolloutRequest(RolloutVerb.STATUS)) }
        val result = send(options.node, request(verb, options))
        return when (result) {
            is OperatorAnswer.Failed -> reportFailure(result.reason)
            is OperatorAnswer.Replied -> report(result.reply, options.isJson) { text(verb, it) }
        }
    }

    private fun request(verb: String, options: OperatorOptions): RolloutRequest {
        val operator = options.operator
        return when (verb) {
            STATUS, PLAN -> RolloutRequest(RolloutVerb.STATUS).also { requireNoArguments(verb, options) }
            "hold" -> RolloutRequest(RolloutVerb.HOLD, by = operator).also { requireNoArguments(verb, options) }
            "resume" -> RolloutRequest(RolloutVerb.RESUME, by = operator).also { requireNoArguments(verb, options) }
            "activate" -> RolloutRequest(RolloutVerb.ACTIVATE, level = level(verb, options), by = operator)
            "deactivate" -> RolloutRequest(RolloutVerb.DEACTIVATE, level = level(verb, options), by = operator)
            "exclude" -> RolloutRequest(RolloutVerb.EXCLUDE, member = member(verb, options), by = operator)
            else -> RolloutRequest(RolloutVerb.INCLUDE, member = member(verb, options), by = operator)
        }
    }

    private fun requireNoArguments(verb: String, options: OperatorOptions) = options.requireNoArguments("rollout $verb")

    private fun level(verb: String, options: OperatorOptions): Int =
        options.arguments.singleOrNull()?.toIntOrNull()?.takeIf { it > 0 }
            ?: throw UsageError("rollout $verb needs one LEVEL, a whole number above 0")

    private fun member(verb: String, options: OperatorOptions): String =
        options.arguments.singleOrNull() ?: throw UsageError("rollout $verb needs one MEMBER")

    private fun send(node: String, request: RolloutRequest): OperatorAnswer<RolloutReply> =
        OperatorClient.post(
            node,
            PeerPaths.ROLLOUT,
            PeerWire.encode(request),
            NOT_MANAGED_MESSAGE,
            PeerWire::decodeRolloutReply,
        )

    private fun report(reply: RolloutReply, isJson: Boolean, text: (RolloutStatus) -> List<String>): Int {
        if (isJson) OperatorClient.printJson(reply)
        if (!reply.accepted) return reportFailure(reply.problem ?: "refused", reply.retryAfterSeconds)
        if (!isJson) reply.status?.let { text(it).forEach(::println) }
        return ExitCode.OK
    }

    private fun text(verb: String, status: RolloutStatus): List<String> =
        if (verb == PLAN) RolloutText.plan(status) else RolloutText.status(status)
}
