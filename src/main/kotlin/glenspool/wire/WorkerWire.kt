package glenspool.wire

import glenspool.core.model.Command
import glenspool.core.model.Exit
import glenspool.core.model.ForgetTask
import glenspool.core.model.Report
import glenspool.core.model.ReportedTask
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import kotlin.time.Duration.Companion.seconds

private val taskStates =
    mapOf(
        "pulling" to TaskState.FETCHING,
        "waiting" to TaskState.WAITING,
        "running" to TaskState.RUNNING,
        "flushing" to TaskState.SAVING,
        "ended" to TaskState.EXITED,
    )
private val exits =
    mapOf(
        "done" to Exit.DONE,
        "stopped" to Exit.STOPPED,
        "peers" to Exit.PEERS,
        "incomplete" to Exit.ALONE,
        "error" to Exit.ERROR,
        "full" to Exit.NO_ROOM,
        "busy" to Exit.BUSY,
        "unknown" to Exit.UNKNOWN,
    )
private val stateNames = taskStates.entries.associate { it.value to it.key }
private val exitNames = exits.entries.associate { it.value to it.key }

/** Reports and orders of workers. */
object WorkerWire {
    fun decodeReport(m: Fields): Report =
        Report(
            machine = m.text("spindle"),
            addr = m.text("addr"),
            type = m.text("frame"),
            zone = m.text("hall"),
            spot = m.flag("loaners"),
            session = m.count("shift"),
            seq = m.count("stitch"),
            token = m.count("baton"),
            notice = m.amountOrNull("recall_s")?.seconds,
            tasks =
                m.maps("threads").map { t ->
                    val state = taskStates.pick("stage", t.text("stage"))
                    ReportedTask(
                        key = taskKey(t.text("thread")),
                        attempt = t.count("try"),
                        state = state,
                        exit =
                            if (state ==
                                TaskState.EXITED
                            ) {
                                exits[t.textOrNull("cause") ?: ""] ?: Exit.ERROR
                            } else {
                                null
                            },
                        saved = t.flagOr("stored", false),
                    )
                },
        )

    fun encode(r: Report): Fields =
        linkedMapOf(
            "spindle" to r.machine, "addr" to r.addr, "frame" to r.type, "hall" to r.zone, "loaners" to r.spot,
            "shift" to r.session, "stitch" to r.seq,
            "baton" to r.token, "recall_s" to r.notice?.toSeconds(),
            "threads" to
                r.tasks.map { t ->
                    linkedMapOf(
                        "thread" to "${t.key.job}/${t.key.task}", "try" to t.attempt,
                        "stage" to stateNames.getValue(t.state),
                        "cause" to t.exit?.let { exitNames.getValue(it) },
                        "stored" to t.saved,
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

    fun answer(token: Long, commands: List<Command>): Fields =
        mapOf("baton" to token, "orders" to commands.map(::order))

    fun direct(token: Long, session: Long, commands: List<Command>): Fields =
        linkedMapOf("baton" to token, "shift" to session, "orders" to commands.map(::order))

    fun redirect(node: String?): Fields = if (node == null) emptyMap() else mapOf("foreman" to node)
}
