package glenspool.cli

import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryVerb

/** `glenspool recovery …`: the state of a leader's recovery after a cold start, and operators' orders to it. */
internal object RecoveryCommand {
    private const val UNSUPPORTED_MESSAGE = "this controller is of a version without recovery"
    private val verbs = RecoveryVerb.entries.associateBy { it.name.lowercase() }

    fun run(args: List<String>): Int {
        val allowed = verbs.keys.joinToString(", ")
        val verbName = args.firstOrNull() ?: throw UsageError("recovery needs one of $allowed")
        val verb =
            verbs[verbName] ?: throw UsageError("unknown recovery command '$verbName'; one of $allowed is needed")
        val options = OperatorOptions.parse(args.drop(1))
        options.requireNoArguments("recovery $verbName")
        options.requireAddress()
        val request = PeerWire.encode(RecoveryRequest(verb, options.operator))
        val result =
            OperatorClient.post(
                options.node,
                PeerPaths.RECOVERY,
                request,
                UNSUPPORTED_MESSAGE,
                PeerWire::decodeRecoveryReply,
            )
        return when (result) {
            is OperatorAnswer.Failed -> reportFailure(result.reason)
            is OperatorAnswer.Replied -> report(result.reply, options.isJson)
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
