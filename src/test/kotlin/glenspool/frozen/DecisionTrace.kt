package glenspool.frozen

import com.google.common.hash.Hashing
import glenspool.controller.Transaction
import glenspool.core.Action
import glenspool.core.AdvanceFencingToken
import glenspool.core.DeleteMachines
import glenspool.core.LogMessage
import glenspool.core.Probe
import glenspool.core.ReadFinalStates
import glenspool.core.ReportViolation
import glenspool.core.Resign
import glenspool.core.ScaleOut
import glenspool.core.SendCommands
import glenspool.core.StoreChanges
import glenspool.core.StoreImageLocations
import glenspool.core.WorkCounters
import glenspool.core.model.Command
import glenspool.core.model.ForgetTask
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.wire.Cbor
import glenspool.wire.ImagesWire
import kotlin.time.Duration

/**
 * Computes a digest of all decisions of a scheduler. Decisions are added field by field and in their stored forms, so
 * that renaming a type or a field does not change the digest, whereas a different order or a different time of an order
 * does.
 */
class DecisionTrace {
    private val hasher = Hashing.sha256().newHasher()
    private var lines = 0

    private fun add(at: Duration, line: String) {
        lines++
        hasher.putUnencodedChars("${at.inWholeMicroseconds} $line\n")
    }

    /**
     * Adds an action, except log messages, which are not decisions.
     *
     * @param transaction returns the transaction that executes [StoreChanges]; other actions have none
     */
    fun addAction(at: Duration, action: Action, transaction: (StoreChanges) -> Transaction) =
        when (action) {
            is SendCommands -> {
                val target = "${action.machine} ${action.addr} ${action.token} ${action.incarnation}"
                add(at, "direct $target ${formatCommands(action.commands)}")
            }
            is Probe -> add(at, "probe ${action.machine} ${action.addr}")
            is ScaleOut -> {
                val causes = action.causes.entries.joinToString { (cause, number) -> "${cause.label}:$number" }
                add(at, "rent ${action.request} ${action.type} ${action.zone} ${action.spot} $causes")
            }
            is DeleteMachines ->
                add(
                    at,
                    "delete " + action.causes.entries.joinToString { (machine, cause) -> "$machine:${cause.label}" },
                )
            is AdvanceFencingToken -> add(at, "raise")
            is Resign -> add(at, "resign ${action.reason}")
            is StoreImageLocations -> add(at, "images ${action.part} ${hex(ImagesWire.encode(action.images))}")
            is ReadFinalStates -> add(at, "ends ${action.jobs}")
            is ReportViolation, is LogMessage -> Unit
            is StoreChanges -> add(at, "store ${formatTransaction(transaction(action))}")
        }

    /** Adds the reply to a worker's heartbeat. */
    fun addHeartbeatReply(at: Duration, machine: String, token: Long, commands: List<Command>) =
        add(at, "answer $machine $token ${formatCommands(commands)}")

    fun addWorkCounters(counters: WorkCounters) {
        val scans = "${counters.placementScores} ${counters.storeScans} ${counters.commandScans}"
        add(Duration.ZERO, "effort $scans ${counters.placementRounds}")
    }

    private fun formatCommands(commands: List<Command>) =
        commands.joinToString {
            when (it) {
                is StartTask -> "start ${it.key.job}/${it.key.task}#${it.attempt} ${it.cause.label}"
                is StopTask -> {
                    val grace = it.grace.inWholeMicroseconds
                    "stop ${it.key.job}/${it.key.task}#${it.attempt} $grace ${it.cause.label}"
                }
                is ForgetTask -> "forget ${it.key.job}/${it.key.task}#${it.attempt} ${it.cause.label}"
            }
        }

    private fun formatTransaction(transaction: Transaction): String {
        val puts = transaction.puts.joinToString { "${it.key}=${hex(it.value)}" }
        return "${transaction.conditions.entries.joinToString()} $puts ${transaction.removes}"
    }

    private fun hex(value: Map<String, Any?>) = Cbor.encode(value).joinToString("") { "%02x".format(it) }

    /** Returns the digest. Nothing can be added afterwards. */
    fun digest(): String = "$lines lines ${hasher.hash()}"
}
