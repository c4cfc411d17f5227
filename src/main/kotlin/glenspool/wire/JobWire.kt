package glenspool.wire

import glenspool.core.model.JobKind
import glenspool.core.model.JobSpec
import glenspool.core.model.Priority
import kotlin.time.Duration.Companion.seconds

private val jobIdPattern = Regex("[!-~&&[^/]]{1,120}")

/** The highest allowed number of tasks of a job. */
const val MAX_TASKS_PER_JOB = 100_000L

private val kinds = mapOf("batch" to JobKind.ARRAY, "gang" to JobKind.GANG, "daemon" to JobKind.SERVICE)
private val priorities =
    mapOf(
        "critical" to Priority.CRITICAL,
        "urgent" to Priority.URGENT,
        "standard" to Priority.STANDARD,
        "idle" to Priority.IDLE,
    )
private val kindWords = kinds.entries.associate { it.value to it.key }
private val priorityWords = priorities.entries.associate { it.value to it.key }

/** Whether [id] is a valid job id, which consists of 1 to 120 visible ASCII characters without a slash. */
fun isValidJobId(id: String): Boolean = jobIdPattern.matches(id)

/**
 * The messages of the user API: the description of a job and its status.
 *
 * | protocol | here |
 * | --- | --- |
 * | `uid` | job id |
 * | `lot` | job class |
 * | `crew` | team |
 * | `weave` | kind: `batch` (job array), `gang`, `daemon` (service) |
 * | `urgency` | priority |
 * | `threads` | number of tasks |
 * | `pattern`, `size_gb` | image and its size |
 * | `frames` | machine types; null: any |
 * | `hall` | zone; null: any |
 * | `same_place` | all tasks in one zone |
 * | `apart` | tasks spread over zones |
 * | `loaners` | may run on spot machines |
 * | `expected_s` | estimated duration |
 * | `knot_s`, `knotting_s` | checkpoint interval and duration |
 * | `due_s` | deadline, from submission |
 * | `awaits` | dependencies |
 * | `aborted_with` | the dependency whose cancellation cancelled the job |
 */
object JobWire {
    /**
     * Decodes a job's description, from a submission or from the job's record. Dependencies are decoded by
     * [decodeDependencies].
     */
    fun decode(fields: Fields): JobSpec {
        val id = fields.text("uid")
        if (!isValidJobId(id)) throw MalformedMessage("uid", "not a job id")
        val tasks = fields.count("threads")
        if (tasks !in 1..MAX_TASKS_PER_JOB) throw MalformedMessage("threads", "1 to $MAX_TASKS_PER_JOB are allowed")
        return JobSpec(
            id = id,
            jobClass = fields.text("lot"),
            team = fields.text("crew"),
            kind = kinds.decodeWord("weave", fields.text("weave")),
            priority = priorities.decodeWord("urgency", fields.text("urgency")),
            tasks = tasks.toInt(),
            resourceRequest = fields.resources(),
            image = fields.text("pattern"),
            imageGb = fields.amount("size_gb"),
            types = fields.textsOrNull("frames"),
            zone = fields.textOrNull("hall"),
            sameZone = fields.flag("same_place"),
            spread = fields.flag("apart"),
            spot = fields.flag("loaners"),
            estimatedDuration = fields.duration("expected_s"),
            checkpointInterval = fields.duration("knot_s"),
            checkpointDuration = fields.duration("knotting_s"),
            deadline = fields.amountOrNull("due_s")?.seconds,
        )
    }

    /** Whether a submission names any dependencies. They are not checked. */
    fun hasDependencies(fields: Fields): Boolean = fields["awaits"] != null

    /** Decodes the jobs that a submission depends on, without duplicates, in the user's order. */
    fun decodeDependencies(fields: Fields): List<String> {
        val named = fields.textsOrNull("awaits").orEmpty()
        if (!named.all(::isValidJobId)) throw MalformedMessage("awaits", "not a job id")
        return named.distinct()
    }

    fun encode(job: JobSpec): Fields =
        linkedMapOf(
            "uid" to job.id,
            "lot" to job.jobClass,
            "crew" to job.team,
            "weave" to kindWords.getValue(job.kind),
            "urgency" to priorityWords.getValue(job.priority),
            "threads" to job.tasks,
            "cpus" to job.resourceRequest.cpus,
            "accelerators" to job.resourceRequest.gpus,
            "memory_gb" to job.resourceRequest.memoryGb,
            "pattern" to job.image,
            "size_gb" to job.imageGb,
            "frames" to job.types,
            "hall" to job.zone,
            "same_place" to job.sameZone,
            "apart" to job.spread,
            "loaners" to job.spot,
            "expected_s" to job.estimatedDuration.toSeconds(),
            "knot_s" to job.checkpointInterval.toSeconds(),
            "knotting_s" to job.checkpointDuration.toSeconds(),
            "due_s" to job.deadline?.toSeconds(),
        )

    /**
     * Encodes a job's status as users receive it.
     *
     * @param done the number of tasks that are done
     * @param running the number of tasks that are running
     * @param unfinishedDependencies the dependencies that are not done yet
     * @param abortedBy the dependency whose cancellation cancelled the job; null if there is none
     */
    fun status(
        id: String,
        stage: Stage,
        done: Int? = null,
        running: Int? = null,
        unfinishedDependencies: List<String> = emptyList(),
        abortedBy: String? = null,
    ): Fields {
        val fields = linkedMapOf<String, Any?>("uid" to id, "stage" to stage.word)
        if (done != null) fields["done"] = done
        if (running != null) fields["running"] = running
        if (unfinishedDependencies.isNotEmpty()) fields["awaits"] = unfinishedDependencies
        if (abortedBy != null) fields["aborted_with"] = abortedBy
        return fields
    }
}

/** A job's stage in its status. [word] is the name in the protocol. */
enum class Stage(val word: String) { QUEUED("pending"), RUNNING("running"), DONE("done"), CANCELLED("aborted") }
