package glenspool.frozen

import com.google.common.hash.Hashing
import glenspool.controller.Transaction
import glenspool.core.Action
import glenspool.core.AdvanceFencingToken
import glenspool.core.DeleteMachines
import glenspool.core.LogMessage
import glenspool.core.Probe
import glenspool.core.ReadFinalStates
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
 * All that a scheduler decided, as a digest. It is spelled here field by field and in the stored forms, so that
 * renaming a type or a field changes nothing, while any other order, at any other time, does.
 */
class DecisionTrace {
    private val hasher = Hashing.sha256().newHasher()
    private var lines = 0

    private fun add(at: Duration, line: String) {
        lines++
        hasher.putUnencodedChars("${at.inWholeMicroseconds} $line\n")
    }

    /** [transaction]: what a [StoreChanges] comes to; other actions have none. Lines of the log are no decisions. */
    fun addAction(at: Duration, action: Action, transaction: (StoreChanges) -> Transaction) =
        when (action) {
            is SendCommands -> {
                val target = "${action.machine} ${action.addr} ${action.token} ${action.incarnation}"
                add(at, "direct $target ${spelled(action.commands)}")
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
            is StoreImageLocations -> add(at, "images ${action.part} ${stored(ImagesWire.encode(action.images))}")
            is ReadFinalStates -> add(at, "ends ${action.jobs}")
            is LogMessage -> Unit
            is StoreChanges -> add(at, "store ${spelled(transaction(action))}")
        }

    /** What a worker was answered. */
    fun addHeartbeatReply(at: Duration, machine: String, token: Long, commands: List<Command>) =
        add(at, "answer $machine $token ${spelled(commands)}")

    fun addWorkCounters(counters: WorkCounters) {
        val scans = "${counters.placementScores} ${counters.storeScans} ${counters.commandScans}"
        add(Duration.ZERO, "effort $scans ${counters.placementRounds}")
    }

    private fun spelled(commands: List<Command>) =
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

    private fun spelled(transaction: Transaction): String {
        val puts = transaction.puts.joinToString { "${it.key}=${stored(it.value)}" }
        return "${transaction.conditions.entries.joinToString()} $puts ${transaction.removes}"
    }

    private fun stored(value: Map<String, Any?>) = Cbor.encode(value).joinToString("") { "%02x".format(it) }

    /** The digest, after which nothing more can be added. */
    fun digest(): String = "$lines lines ${hasher.hash()}"
}
