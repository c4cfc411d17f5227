package glenspool.cli

import com.fasterxml.jackson.databind.ObjectMapper
import glenspool.peer.DifferenceList
import glenspool.peer.PeerPaths
import glenspool.peer.PeerWire
import glenspool.peer.RecoveryReply
import glenspool.peer.RecoveryRequest
import glenspool.peer.RecoveryStatus
import glenspool.peer.RecoveryVerb
import org.apache.commons.cli.DefaultParser

/** `glenspool recovery …`: what a leader has ordered, how far its recovery is, and operators' orders to it. */
object RecoveryCommand {
    fun run(args: List<String>): Int {
        val known = RecoveryVerb.entries.associateBy { it.name.lowercase() }
        val word = args.firstOrNull() ?: throw UsageError("recovery needs one of ${known.keys.joinToString(", ")}")
        val verb =
            known[word]
                ?: throw UsageError("unknown recovery command '$word'; one of ${known.keys.joinToString(", ")} is needed")
        val line = DefaultParser().parse(OperatorClient.options(), args.drop(1).toTypedArray())
        if (line.argList.isNotEmpty()) throw UsageError("recovery $word: unexpected argument '${line.argList.first()}'")
        val node = line.getOptionValue("node")
        OperatorClient.checkAddress(node)
        val request = RecoveryRequest(verb, line.getOptionValue("by") ?: System.getProperty("user.name"))
        return when (
            val answer =
                OperatorClient
                    .ask(node, PeerPaths.RECOVERY, PeerWire.encode(request), UNKNOWN, PeerWire::decodeRecoveryReply)
        ) {
            is OperatorAnswer.Failed -> OperatorClient.fail(answer.reason)
            is OperatorAnswer.Replied -> show(answer.reply, line.hasOption("json"))
        }
    }

    private fun show(reply: RecoveryReply, asJson: Boolean): Int {
        if (asJson) println(ObjectMapper().writeValueAsString(reply))
        if (!reply.accepted) return OperatorClient.fail(reply.problem ?: "refused", reply.retryAfterSeconds)
        if (asJson) return 0
        reply.status
            ?.let { RecoveryText.status(it) }
            .orEmpty()
            .forEach(::println)
        reply.differences
            ?.let { RecoveryText.differences(it) }
            .orEmpty()
            .forEach(::println)
        return 0
    }

    private const val UNKNOWN = "this controller is of a version without recovery"
}

/** A leader's orders and its recovery in words, a line each. */
internal object RecoveryText {
    fun status(status: RecoveryStatus): List<String> =
        buildList {
            add("controller ${status.node}, leader ${status.leader ?: "unknown"}")
            status.orders?.let {
                add(
                    "orders of this term: ${it.entries.joinToString(", ") { (cause, number) ->
                        "$cause $number"
                    }.ifEmpty { "none" }}",
                )
            }
            val recovery = status.recovery
            when {
                !status.managed -> add("recovery is not managed; the controller is started without --recovery")
                status.orders == null -> add("ask the leader how far recovery is")
                recovery == null -> add("this term began as usual: nothing has to be recovered")
                else -> addAll(recovery(recovery))
            }
        }

    private fun recovery(recovery: RecoveryStatus.Recovery): List<String> =
        buildList {
            val left = recovery.leftSeconds?.let { ", %.1f s left at most".format(it) } ?: ""
            add(
                "term ${recovery.token} began as ${recovery.start}; phase ${recovery.phase} for %.1f s$left"
                    .format(recovery.phaseSeconds),
            )
            if (recovery.paused) add("PAUSED by an operator")
            add("machines heard: ${recovery.heardMachines} of ${recovery.expectedMachines}")
            recovery.lacking.forEach { add("  too few of $it") }
            add(
                "work confirmed: ${recovery.confirmedTasks} of ${recovery.adoptedTasks} stored places; settled %.0f%%"
                    .format(
                        recovery.settledShare * PERCENT,
                    ),
            )
            recovery.differences.forEach { (kind, number) -> add("  $kind: $number") }
            recovery.breaker?.let { add("HELD: $it; 'recovery approve' lets them go on") }
            add(
                "at most each second: ${recovery.ordersPerSecond.entries.joinToString(", ") { (kind, rate) ->
                    "$kind $rate"
                }}",
            )
        }

    fun differences(list: DifferenceList): List<String> =
        buildList {
            add("${list.total} differences${if (list.listed.size < list.total) ", of which the first ${list.listed.size}" else ""}")
            list.listed.forEach {
                add(
                    "%s %s%s %s(%s, %.1f s ago)".format(
                        it.kind, it.machine,
                        it.task?.let { task -> " $task" } ?: "", spaced(it.detail), it.source, it.ageSeconds,
                    ),
                )
            }
        }

    private fun spaced(detail: String) = if (detail.isEmpty()) "" else "$detail "

    private const val PERCENT = 100
}
