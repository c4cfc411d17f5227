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
private val exits =
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
private val stateNames = taskStates.entries.associate { it.value to it.key }
private val exitNames = exits.entries.associate { it.value to it.key }

/** Reports and orders of workers. */
object WorkerWire {
    fun decodeHeartbeat(m: Fields): Heartbeat =
        Heartbeat(
            machine = m.text("spindle"),
            addr = m.text("addr"),
            type = m.text("frame"),
            zone = m.text("hall"),
            spot = m.flag("loaners"),
            incarnation = m.count("shift"),
            sequence = m.count("stitch"),
            token = m.count("baton"),
            preemptionNotice = m.amountOrNull("recall_s")?.seconds,
            tasks =
                m.maps("threads").map { t ->
                    val state = taskStates.pick("stage", t.text("stage"))
                    TaskStatus(
                        key = taskKey(t.text("thread")),
                        attempt = t.count("try"),
                        state = state,
                        exit =
                            if (state ==
                                TaskState.EXITED
                            ) {
                                exits[t.textOrNull("cause") ?: ""] ?: ExitReason.ERROR
                            } else {
                                null
                            },
                        checkpointed = t.flagOr("stored", false),
                    )
                },
        )

    fun encode(r: Heartbeat): Fields =
        linkedMapOf(
            "spindle" to r.machine, "addr" to r.addr, "frame" to r.type, "hall" to r.zone, "loaners" to r.spot,
            "shift" to r.incarnation, "stitch" to r.sequence,
            "baton" to r.token, "recall_s" to r.preemptionNotice?.toSeconds(),
            "threads" to
                r.tasks.map { t ->
                    linkedMapOf(
                        "thread" to "${t.key.job}/${t.key.task}", "try" to t.attempt,
                        "stage" to stateNames.getValue(t.state),
                        "cause" to t.exit?.let { exitNames.getValue(it) },
                        "stored" to t.checkpointed,
                    )
                },
        )

    private fun taskKey(s: String): TaskKey {
        val i = s.lastIndexOf('/')
        val n = s.substring(i + 1).toIntOrNull()
        if (i <= 0 || n == null || n < 0) throw MalformedMessage("thread: not a task")
        return TaskKey(s.substring(0, i), n)
    }

    private fun order(c: Command): Fields {
        val m =
            linkedMapOf<String, Any?>(
                "verb" to
                    when (c) {
                        is StartTask -> "run"
                        is StopTask -> "stop"
                        is ForgetTask -> "clear"
                    },
                "thread" to "${c.key.job}/${c.key.task}",
                "try" to c.attempt,
            )
        if (c is StopTask) m["wind_down_s"] = c.grace.toSeconds()
        return m
    }

    fun answer(token: Long, commands: List<Command>): Fields = mapOf("baton" to token, "orders" to commands.map(::order))

    fun direct(token: Long, incarnation: Long, commands: List<Command>): Fields = linkedMapOf("baton" to token, "shift" to incarnation, "orders" to commands.map(::order))

    fun redirect(node: String?): Fields = if (node == null) emptyMap() else mapOf("foreman" to node)
}
