package glenspool.wire

import glenspool.core.model.Amount
import glenspool.core.model.Command
import glenspool.core.model.Exit
import glenspool.core.model.ForgetTask
import glenspool.core.model.Intent
import glenspool.core.model.JobEnd
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.JobSpec
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.MachineType
import glenspool.core.model.Priority
import glenspool.core.model.Report
import glenspool.core.model.ReportedTask
import glenspool.core.model.StartTask
import glenspool.core.model.StopTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import java.util.Base64
import java.util.BitSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

private val jobIdForm = Regex("[!-~&&[^/]]{1,120}")
const val MAX_TASKS = 100_000L

private val kinds = mapOf("batch" to JobKind.ARRAY, "gang" to JobKind.GANG, "daemon" to JobKind.SERVICE)
private val priorities = mapOf(
    "critical" to Priority.CRITICAL,
    "urgent" to Priority.URGENT,
    "standard" to Priority.STANDARD,
    "idle" to Priority.IDLE,
)
private val kindNames = kinds.entries.associate { it.value to it.key }
private val priorityNames = priorities.entries.associate { it.value to it.key }
private val taskStates = mapOf(
    "pulling" to TaskState.FETCHING,
    "waiting" to TaskState.WAITING,
    "running" to TaskState.RUNNING,
    "flushing" to TaskState.SAVING,
    "ended" to TaskState.EXITED,
)
private val exits = mapOf(
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
private val stages = mapOf("booting" to MachineStage.BOOTING, "running" to MachineStage.RUNNING, "failed" to MachineStage.FAILED)

fun validJobId(id: String): Boolean = jobIdForm.matches(id)

private fun Fields.duration(name: String): Duration = amount(name).seconds

private fun Duration.toSeconds(): Double = toDouble(DurationUnit.SECONDS)

private fun <T> Map<String, T>.pick(name: String, value: String): T = this[value] ?: throw MalformedMessage("$name: unknown value")

/** The users' view of jobs. */
object JobWire {
    fun decode(m: Fields): JobSpec {
        val id = m.text("uid")
        if (!validJobId(id)) throw MalformedMessage("uid: not a job id")
        val tasks = m.count("threads")
        if (tasks !in 1..MAX_TASKS) throw MalformedMessage("threads: 1 to $MAX_TASKS are allowed")
        return JobSpec(
            id = id,
            jobClass = m.text("lot"),
            team = m.text("crew"),
            kind = kinds.pick("weave", m.text("weave")),
            priority = priorities.pick("urgency", m.text("urgency")),
            tasks = tasks.toInt(),
            need = Amount(m.amount("cpus"), m.amount("accelerators"), m.amount("memory_gb")),
            image = m.text("pattern"),
            imageGb = m.amount("size_gb"),
            types = m.textsOrNull("frames"),
            zone = m.textOrNull("hall"),
            sameZone = m.flag("same_place"),
            spread = m.flag("apart"),
            spot = m.flag("loaners"),
            estimate = m.duration("expected_s"),
            checkpoint = m.duration("knot_s"),
            save = m.duration("knotting_s"),
            deadline = m.amountOrNull("due_s")?.seconds,
        )
    }

    fun namesOthers(m: Fields): Boolean = m["awaits"] != null

    /** The jobs that a submission waits for, each named once, in the order in which the user named them. */
    fun decodeNeeds(m: Fields): List<String> {
        val named = m.textsOrNull("awaits").orEmpty()
        if (named.any { !validJobId(it) }) throw MalformedMessage("awaits: not a job id")
        return named.distinct()
    }

    fun encode(j: JobSpec): Fields = linkedMapOf(
        "uid" to j.id,
        "lot" to j.jobClass,
        "crew" to j.team,
        "weave" to kindNames.getValue(j.kind),
        "urgency" to priorityNames.getValue(j.priority),
        "threads" to j.tasks,
        "cpus" to j.need.cpus,
        "accelerators" to j.need.gpus,
        "memory_gb" to j.need.memoryGb,
        "pattern" to j.image,
        "size_gb" to j.imageGb,
        "frames" to j.types,
        "hall" to j.zone,
        "same_place" to j.sameZone,
        "apart" to j.spread,
        "loaners" to j.spot,
        "expected_s" to j.estimate.toSeconds(),
        "knot_s" to j.checkpoint.toSeconds(),
        "knotting_s" to j.save.toSeconds(),
        "due_s" to j.deadline?.toSeconds(),
    )

    /**
     * The answer to a user. [stage] is the service's word for it, see [Stage]. [awaits]: jobs that it waits for;
     * [cutBy]: the cancelled job that it needed.
     */
    fun status(id: String, stage: Stage, done: Int? = null, running: Int? = null, awaits: List<String> = emptyList(), cutBy: String? = null): Fields {
        val m = linkedMapOf<String, Any?>("uid" to id, "stage" to stage.word)
        if (done != null) m["done"] = done
        if (running != null) m["running"] = running
        if (awaits.isNotEmpty()) m["awaits"] = awaits
        if (cutBy != null) m["aborted_with"] = cutBy
        return m
    }
}

/** A job's stage as users read it. */
enum class Stage(val word: String) { QUEUED("pending"), RUNNING("running"), DONE("done"), CANCELLED("aborted") }

/**
 * Jobs as the state service keeps them: the user's own words plus what has happened since. See docs/upgrade.md.
 *
 * A record that a version before pipelines must neither act on nor rewrite is *sealed*: its description stands under
 * `sealed` instead of `job`. That version takes it for unreadable, starts nothing of it, stores nothing over it and
 * answers users with an error, upon which they ask again.
 */
object RecordWire {
    /** Jobs of up to this many tasks keep their done bits in the record itself, larger ones in chunks. */
    const val INLINE_TASKS = glenspool.core.CHUNKED_ABOVE
    const val CHUNK_TASKS = glenspool.core.CHUNK

    fun encode(r: JobRecord): Fields {
        val m = LinkedHashMap<String, Any?>()
        if (r.needs.isEmpty() && r.shelved.isEmpty() && r.pieces == 0) m["job"] = JobWire.encode(r.spec) else m["sealed"] = sealed(r)
        m["at"] = r.submitted.inWholeMilliseconds
        m["last"] = r.lastAttempt
        if (r.ready != null) m["ready"] = r.ready.inWholeMilliseconds
        if (r.spec.tasks <= INLINE_TASKS && !r.done.isEmpty) m["done"] = encodeBits(r.done)
        if (r.intents.isNotEmpty()) m.putAll(encodePlaces(r.intents))
        return m
    }

    private fun sealed(r: JobRecord): Fields {
        val m = LinkedHashMap<String, Any?>()
        if (r.pieces > 0) m["pieces"] = r.pieces else m.putAll(description(r))
        if (r.needs.isNotEmpty()) m["waits"] = true
        if (r.shelved.isNotEmpty()) m["shelves"] = r.shelved.keys.toList()
        return m
    }

    private fun description(r: JobRecord): Fields {
        val m = linkedMapOf<String, Any?>("job" to JobWire.encode(r.spec))
        if (r.needs.isNotEmpty()) m["awaits"] = r.needs
        return m
    }

    /** The description cut into pieces of at most [bytes] as stored, for a record that would be too long with it. */
    fun encodePieces(r: JobRecord, bytes: Int): List<Fields> =
        Base64.getEncoder().encodeToString(Cbor.encode(description(r))).chunked(bytes - PIECE_MARKS).map { mapOf("piece" to it) }

    fun encodePlaces(places: List<Intent>): Fields =
        mapOf("on" to places.groupBy { it.machine }.mapValues { (_, l) -> l.flatMap { listOf(it.task.toLong(), it.attempt) } })

    @Suppress("UNCHECKED_CAST")
    fun decodePlaces(m: Fields): List<Intent> {
        val on = m["on"] as? Map<String, List<Long>> ?: emptyMap()
        return on.flatMap { (machine, l) -> l.chunked(2).map { Intent(it[0].toInt(), it[1], machine) } }
    }

    /** Whether a stored record waits for other jobs, without reading all of it. */
    fun waits(m: Fields): Boolean = (m["sealed"] as? Map<*, *>)?.get("waits") == true

    /** What belongs to the record but is stored under keys of its own. */
    interface Apart {
        fun piece(n: Int): Fields?

        fun shelf(n: Int): Fields?
    }

    /** [apart]: where a sealed record's other parts are looked up. */
    fun decode(m: Fields, apart: Apart): JobRecord {
        @Suppress("UNCHECKED_CAST")
        val sealed = m["sealed"] as? Fields
        val pieces = if (sealed != null && "pieces" in sealed) sealed.count("pieces").toInt() else 0
        val described = if (pieces > 0) join((0 until pieces).map { apart.piece(it) ?: throw MalformedMessage("piece $it: missing") }) else sealed ?: m

        @Suppress("UNCHECKED_CAST")
        val job = JobWire.decode(described["job"] as? Fields ?: throw MalformedMessage("job: missing"))
        return JobRecord(
            spec = job,
            submitted = m.count("at").milliseconds,
            lastAttempt = m.count("last"),
            done = m.textOrNull("done")?.let { decodeBits(it) } ?: BitSet(),
            intents = decodePlaces(m),
            needs = if (waits(m)) described.textsOrNull("awaits").orEmpty() else emptyList(),
            ready = if ("ready" in m) m.count("ready").milliseconds else null,
            shelved = (sealed?.get("shelves") as? List<*>).orEmpty().map { (it as Long).toInt() }.associateWith { n -> apart.shelf(n)?.let(::decodePlaces).orEmpty() },
            pieces = pieces,
        )
    }

    private fun join(pieces: List<Fields>): Fields = try {
        Cbor.decodeMap(Base64.getDecoder().decode(pieces.joinToString("") { it.text("piece") }))
    } catch (e: IllegalArgumentException) {
        throw MalformedMessage("pieces: ${e.message}")
    }

    /** What a piece takes besides its text. */
    private const val PIECE_MARKS = 64

    fun encodeBits(b: BitSet): String = Base64.getEncoder().encodeToString(b.toByteArray())

    fun decodeBits(s: String): BitSet = BitSet.valueOf(Base64.getDecoder().decode(s))
}

/** How a job ended, for ever. */
object FinalWire {
    fun encode(end: JobEnd, tasks: Int, cutBy: String?): Fields {
        val m = linkedMapOf<String, Any?>("end" to if (end == JobEnd.DONE) "done" else "cancelled", "tasks" to tasks.toLong())
        if (cutBy != null) m["with"] = cutBy
        return m
    }

    fun end(m: Fields): JobEnd = if (m["end"] == "done") JobEnd.DONE else JobEnd.CANCELLED

    /** The cancelled job that it needed, if that is why it ended. */
    fun cutBy(m: Fields): String? = m["with"] as? String

    fun answer(id: String, m: Fields): Fields = when (end(m)) {
        JobEnd.DONE -> JobWire.status(id, Stage.DONE, (m["tasks"] as? Long ?: 0L).toInt(), 0)
        JobEnd.CANCELLED -> JobWire.status(id, Stage.CANCELLED, cutBy = cutBy(m))
    }
}

/** Which machine has which images, as one leader leaves it to the next. */
object ImagesWire {
    fun encode(images: Map<String, Map<String, Double>>): Fields = mapOf("on" to images)

    fun decode(m: Fields): Map<String, Map<String, Double>> = (m["on"] as? Map<*, *>).orEmpty().entries.associate { (machine, images) ->
        val own = images as? Map<*, *> ?: throw MalformedMessage("on: maps are needed")
        machine.toString() to own.entries.associate { (image, gb) -> image.toString() to ((gb as? Number)?.toDouble() ?: throw MalformedMessage("on: sizes are needed")) }
    }
}

/** Reports and orders of workers. */
object WorkerWire {
    fun decodeReport(m: Fields): Report = Report(
        machine = m.text("spindle"),
        addr = m.text("addr"),
        type = m.text("frame"),
        zone = m.text("hall"),
        spot = m.flag("loaners"),
        session = m.count("shift"),
        seq = m.count("stitch"),
        token = m.count("baton"),
        notice = m.amountOrNull("recall_s")?.seconds,
        tasks = m.maps("threads").map { t ->
            val state = taskStates.pick("stage", t.text("stage"))
            ReportedTask(
                key = taskKey(t.text("thread")),
                attempt = t.count("try"),
                state = state,
                exit = if (state == TaskState.EXITED) exits[t.textOrNull("cause") ?: ""] ?: Exit.ERROR else null,
                saved = t.flagOr("stored", false),
            )
        },
    )

    fun encode(r: Report): Fields = linkedMapOf(
        "spindle" to r.machine, "addr" to r.addr, "frame" to r.type, "hall" to r.zone, "loaners" to r.spot, "shift" to r.session, "stitch" to r.seq,
        "baton" to r.token, "recall_s" to r.notice?.toSeconds(),
        "threads" to r.tasks.map { t ->
            linkedMapOf(
                "thread" to "${t.key.job}/${t.key.task}", "try" to t.attempt, "stage" to stateNames.getValue(t.state), "cause" to t.exit?.let { exitNames.getValue(it) },
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
        val m = linkedMapOf<String, Any?>(
            "verb" to when (c) {
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

    fun direct(token: Long, session: Long, commands: List<Command>): Fields =
        linkedMapOf("baton" to token, "shift" to session, "orders" to commands.map(::order))

    fun redirect(node: String?): Fields = if (node == null) emptyMap() else mapOf("foreman" to node)
}

/** The cloud's messages. */
object CloudWire {
    fun decodeTypes(m: Fields): List<MachineType> = m.maps("frames").map { t ->
        MachineType(
            name = t.text("name"),
            room = Amount(t.amount("cpus"), t.amount("accelerators"), t.amount("memory_gb")),
            cacheGb = t.amountOrNull("local_gb") ?: 0.0,
            fetchGbPerS = t.amountOrNull("fetch_gb_per_s") ?: 1.0,
            price = t.amount("price"),
            spotPrice = t.amountOrNull("spot_price") ?: t.amount("price"),
            boot = t.duration("startup_s"),
            zones = t.textsOrNull("halls") ?: emptyList(),
        )
    }

    fun rent(request: String, type: String, zone: String, spot: Boolean, count: Int): Fields =
        linkedMapOf("hire" to request, "frame" to type, "hall" to zone, "loaners" to spot, "number" to count)

    fun names(m: Fields): List<String> = m.textsOrNull("spindles") ?: emptyList()

    fun delete(ids: List<String>): Fields = mapOf("spindles" to ids)

    fun decodeMachines(m: Fields): List<ListedMachine> = m.maps("spindles").map { x ->
        ListedMachine(
            id = x.text("uid"),
            addr = x.textOrNull("addr") ?: "",
            type = x.text("frame"),
            zone = x.text("hall"),
            spot = x.flag("loaners"),
            stage = stages.pick("stage", x.text("stage")),
            age = x.duration("held_s"),
        )
    }

    fun more(m: Fields): Boolean = m.flagOr("has_next", false)
}

/** The state service's messages. */
object StateWire {
    data class Item(val key: String, val value: Fields, val version: Long)

    /** A change; [value] null means that the key was removed. */
    data class Change(val key: String, val value: Fields?, val version: Long)

    @Suppress("UNCHECKED_CAST")
    fun item(m: Fields): Item = Item(m.text("key"), m["data"] as? Fields ?: throw MalformedMessage("data: a map is needed"), m.count("mark"))

    fun items(m: Fields): List<Item> = m.maps("rows").map(::item)

    fun more(m: Fields): Boolean = m.flagOr("has_next", false)

    fun revision(m: Fields): Long = m.count("ledger")

    fun failed(m: Fields): List<String> = m.textsOrNull("failed") ?: emptyList()

    fun lease(m: Fields): Long = m.count("tenure")

    fun newLease(ttl: Duration): Fields = mapOf("life_ms" to ttl.inWholeMilliseconds)

    @Suppress("UNCHECKED_CAST")
    fun changes(m: Fields): List<Change> = m.maps("log").map { e ->
        val removed = e.textOrNull("remove")
        if (removed != null) {
            Change(removed, null, e.count("mark"))
        } else {
            Change(e.text("set"), e["data"] as? Fields ?: throw MalformedMessage("data: a map is needed"), e.count("mark"))
        }
    }

    fun transaction(conditions: Map<String, Long>, puts: List<Triple<String, Fields, Long?>>, removes: List<String>): Fields {
        val ops = ArrayList<Fields>(puts.size + removes.size)
        for ((key, value, lease) in puts) {
            val op = linkedMapOf<String, Any?>("set" to key, "data" to value)
            if (lease != null) op["tenure"] = lease
            ops.add(op)
        }
        removes.forEach { ops.add(mapOf("remove" to it)) }
        val m = linkedMapOf<String, Any?>("guards" to conditions.map { (k, v) -> mapOf("key" to k, "mark" to v) })
        if (ops.isNotEmpty()) m["apply"] = ops
        return m
    }

    const val GET = "/store"
    const val TRANSACTION = "/multi"
    const val FOLLOW = "/follow"
    const val LEASES = "/leases"

    fun list(prefix: String, after: String?): String =
        "$GET?starts=$prefix" + (if (after != null) "&after=$after" else "") + "&page=1000"

    fun follow(prefix: String, after: Long, wait: Duration): String =
        "$FOLLOW?starts=$prefix&after=$after&wait_ms=${wait.inWholeMilliseconds}"

    fun renew(lease: Long): String = "$LEASES/$lease/touch"
}
