package glenspool.cli

import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryVerb

/** `glenspool recovery …`: the state of a leader's recovery after a cold start, and operators' orders to it. */
internal object RecoveryCommand {
    private const val NOT_KNOWN = "this controller is of a version without recovery"
    private val verbs = RecoveryVerb.entries.associateBy { it.name.lowercase() }

    fun run(args: List<String>): Int {
        val allowed = verbs.keys.joinToString(", ")
        val word = args.firstOrNull() ?: throw UsageError("recovery needs one of $allowed")
        val verb = verbs[word] ?: throw UsageError("unknown recovery command '$word'; one of $allowed is needed")
        val options = OperatorOptions.parse(args.drop(1))
        options.requireNoArguments("recovery $word")
        options.requireAddress()
        val request = PeerWire.encode(RecoveryRequest(verb, options.operator))
        val answer =
            OperatorClient.post(options.node, PeerPaths.RECOVERY, request, NOT_KNOWN, PeerWire::decodeRecoveryReply)
        return when (answer) {
            is OperatorAnswer.Failed -> reportFailure(answer.reason)
            is OperatorAnswer.Replied -> report(answer.reply, options.isJson)
        }
    }

    private fun report(reply: RecoveryReply, isJson: Boolean): Int {
        if (isJson) OperatorClient.printJson(reply)
        if (!reply.accepted) return reportFailure(reply.problem ?: "refused", reply.retryAfterSeconds)
        if (isJson) return ExitCode.OK
        reply.status?.let { RecoveryText.status(it).forEach(::println) }
        reply.differences?.let { RecoveryText.differences(it).forEach(::println) }
        return ExitCode.OK
    }
}
