package glenspool.wire

import glenspool.core.model.Command
import glenspool.core.model.ExitReason
import glenspool.core.model.ForgetTask
import glenspool.core.model.Heartbeat
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration.Companion.seconds

private val taskStates =
    mapOf(
        "pulling" to TaskState.FETCHING,
        "waiting" to TaskState.WAITING,
        "running" to TaskState.RUNNING,
        "flushing" to TaskState.CHECKPOINTING,
        "ended" to TaskState.EXITED,
    )
private val exitReasons =
    mapOf(
        "done" to ExitReason.DONE,
        "stopped" to ExitReason.STOPPED,
        "peers" to ExitReason.GANG_BROKEN,
        "incomplete" to ExitReason.GANG_INCOMPLETE,
        "error" to ExitReason.ERROR,
        "full" to ExitReason.INSUFFICIENT_RESOURCES,
        "busy" to ExitReason.ALREADY_PRESENT,
        "unknown" to ExitReason.UNKNOWN,
    )
private val taskStateWords = taskStates.entries.associate { it.value to it.key }
private val exitReasonWords = exitReasons.entries.associate { it.value to it.key }

/**
 * The messages between controllers and workers: heartbeats and commands.
 *
 * | protocol | here |
 * | --- | --- |
 * | `spindle` | machine |
 * | `frame` | machine type |
 * | `hall` | zone |
 * | `loaners` | spot machine |
 * | `shift` | incarnation of the worker |
 * | `stitch` | sequence number of the heartbeat within the incarnation |
 * | `baton` | fencing token |
 * | `recall_s` | remaining time until the cloud takes the spot machine back (preemption notice) |
 * | `thread` | task, as job id and task number (`run-1/0`) |
 * | `try` | attempt |
 * | `cause` | exit reason |
 * | `stored` | whether the task was checkpointed |
 * | `orders` | commands, each with a `verb` |
 * | `wind_down_s` | grace period for stopping |
 * | `foreman` | in a redirect: the leader's host name |
 */
object WorkerWire {
    fun decodeHeartbeat(fields: Fields): Heartbeat =
        Heartbeat(
            machine = fields.text("spindle"),
            addr = fields.text("addr"),
            type = fields.text("frame"),
            zone = fields.text("hall"),
            spot = fields.flag("loaners"),
            incarnation = fields.count("shift"),
            sequence = fields.count("stitch"),
            token = fields.count("baton"),
            preemptionNotice = fields.amountOrNull("recall_s")?.seconds,
            tasks = fields.maps("threads").map(::decodeTask),
        )

    private fun decodeTask(fields: Fields): TaskStatus {
        val state = taskStates.decodeWord("stage", fields.text("stage"))
        return TaskStatus(
            key = decodeTaskKey(fields.text("thread")),
            attempt = fields.count("try"),
            state = state,
            exit = if (state == TaskState.EXITED) decodeExitReason(fields) else null,
            checkpointed = fields.flagOr("stored", false),
        )
    }

    /** A missing reason, or one that this build does not know, counts as an error of the task. */
    private fun decodeExitReason(fields: Fields): ExitReason {
        val word = fields.textOrNull("cause") ?: return ExitReason.ERROR
        return exitReasons[word] ?: ExitReason.ERROR
    }

    private fun decodeTaskKey(text: String): TaskKey {
        val slash = text.lastIndexOf('/')
        val number = text.substring(slash + 1).toIntOrNull()
        if (slash <= 0 || number == null || number < 0) throw MalformedMessage("thread", "not a task")
        return TaskKey(text.substring(0, slash), number)
    }

    /** Encodes a heartbeat as a worker sends it. Controllers use it for the warm-up. */
    fun encode(heartbeat: Heartbeat): Fields =
        linkedMapOf(
            "spindle" to heartbeat.machine,
            "addr" to heartbeat.addr,
            "frame" to heartbeat.type,
            "hall" to heartbeat.zone,
            "loaners" to heartbeat.spot,
            "shift" to heartbeat.incarnation,
            "stitch" to heartbeat.sequence,
            "baton" to heartbeat.token,
            "recall_s" to heartbeat.preemptionNotice?.toSeconds(),
            "threads" to heartbeat.tasks.map(::encodeTask),
        )

    private fun encodeTask(task: TaskStatus): Fields =
        linkedMapOf(
            "thread" to encodeTaskKey(task.key),
            "try" to task.attempt,
            "stage" to taskStateWords.getValue(task.state),
            "cause" to task.exit?.let { exitReasonWords.getValue(it) },
            "stored" to task.checkpointed,
        )

    private fun encodeTaskKey(key: TaskKey) = "${key.job}/${key.task}"

    /** The reply to a heartbeat, with commands that are valid under this fencing [token]. */
    fun heartbeatReply(token: Long, commands: List<Command>): Fields {
        val orders = commands.map(::encodeCommand)
        return mapOf("baton" to token, "orders" to orders)
    }

    /**
     * The request that sends commands to a worker without a heartbeat to answer. Only this [incarnation] of the worker
     * may carry them out.
     */
    fun directCommands(token: Long, incarnation: Long, commands: List<Command>): Fields {
        val orders = commands.map(::encodeCommand)
        return linkedMapOf("baton" to token, "shift" to incarnation, "orders" to orders)
    }

    private fun encodeCommand(command: Command): Fields {
        val verb =
            when (command) {
                is StartTask -> "run"
                is StopTask -> "stop"
                is ForgetTask -> "clear"
            }
        val fields =
            linkedMapOf<String, Any?>(
                "verb" to verb,
                "thread" to encodeTaskKey(command.key),
                "try" to command.attempt,
            )
        if (command is StopTask) fields["wind_down_s"] = command.grace.toSeconds()
        return fields
    }

    /**
     * The reply to a heartbeat that reached a controller that does not lead.
     *
     * @param leader the leader's host name; null if no leader is known
     */
    fun redirect(leader: String?): Fields = if (leader == null) emptyMap() else mapOf("foreman" to leader)
}
