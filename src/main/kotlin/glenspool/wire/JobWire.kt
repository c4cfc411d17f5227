package glenspool.wire

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import glenspool.core.model.Resources
import kotlin.time.Duration.Companion.seconds

private val jobIdForm = Regex("[!-~&&[^/]]{1,120}")

/** A job has at most so many tasks. */
const val MAX_TASKS = 100_000L

private val kinds = mapOf("batch" to JobKind.ARRAY, "gang" to JobKind.GANG, "daemon" to JobKind.SERVICE)
private val priorities =
    mapOf(
        "critical" to Priority.CRITICAL,
        "urgent" to Priority.URGENT,
        "standard" to Priority.STANDARD,
        "idle" to Priority.IDLE,
    )
private val kindNames = kinds.entries.associate { it.value to it.key }
private val priorityNames = priorities.entries.associate { it.value to it.key }

/** Whether this is the id of a job at all. */
fun validJobId(id: String): Boolean = jobIdForm.matches(id)

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
            resourceRequest = Resources(m.amount("cpus"), m.amount("accelerators"), m.amount("memory_gb")),
            image = m.text("pattern"),
            imageGb = m.amount("size_gb"),
            types = m.textsOrNull("frames"),
            zone = m.textOrNull("hall"),
            sameZone = m.flag("same_place"),
            spread = m.flag("apart"),
            spot = m.flag("loaners"),
            estimatedDuration = m.duration("expected_s"),
            checkpointInterval = m.duration("knot_s"),
            checkpointDuration = m.duration("knotting_s"),
            deadline = m.amountOrNull("due_s")?.seconds,
        )
    }

    fun hasDependencies(m: Fields): Boolean = m["awaits"] != null

    /** The jobs that a submission waits for, each named once, in the order in which the user named them. */
    fun decodeDependencies(m: Fields): List<String> {
        val named = m.textsOrNull("awaits").orEmpty()
        if (named.any { !validJobId(it) }) throw MalformedMessage("awaits: not a job id")
        return named.distinct()
    }

    fun encode(j: JobSpec): Fields =
        linkedMapOf(
            "uid" to j.id,
            "lot" to j.jobClass,
            "crew" to j.team,
            "weave" to kindNames.getValue(j.kind),
            "urgency" to priorityNames.getValue(j.priority),
            "threads" to j.tasks,
            "cpus" to j.resourceRequest.cpus,
            "accelerators" to j.resourceRequest.gpus,
            "memory_gb" to j.resourceRequest.memoryGb,
            "pattern" to j.image,
            "size_gb" to j.imageGb,
            "frames" to j.types,
            "hall" to j.zone,
            "same_place" to j.sameZone,
            "apart" to j.spread,
            "loaners" to j.spot,
            "expected_s" to j.estimatedDuration.toSeconds(),
            "knot_s" to j.checkpointInterval.toSeconds(),
            "knotting_s" to j.checkpointDuration.toSeconds(),
            "due_s" to j.deadline?.toSeconds(),
        )

    /**
     * The answer to a user. [stage] is the service's word for it, see [Stage]. [awaits]: jobs that it waits for;
     * [abortedBy]: the cancelled job that it needed.
     */
    fun status(
        id: String,
        stage: Stage,
        done: Int? = null,
        running: Int? = null,
        awaits: List<String> = emptyList(),
        abortedBy: String? = null,
    ): Fields {
        val m = linkedMapOf<String, Any?>("uid" to id, "stage" to stage.word)
        if (done != null) m["done"] = done
        if (running != null) m["running"] = running
        if (awaits.isNotEmpty()) m["awaits"] = awaits
        if (abortedBy != null) m["aborted_with"] = abortedBy
        return m
    }
}

/** A job's stage as users read it. */
enum class Stage(val word: String) { QUEUED("pending"), RUNNING("running"), DONE("done"), CANCELLED("aborted") }
