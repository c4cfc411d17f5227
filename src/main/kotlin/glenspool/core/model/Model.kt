package glenspool.core.model

import glenspool.core.ForgetCause
import glenspool.core.OrderCause
import glenspool.core.StartCause
import glenspool.core.StopCause
import java.util.BitSet
import kotlin.time.Duration

/** What kind of job it is: independent tasks, tasks that run together, or replicas that run until cancelled. */
enum class JobKind { ARRAY, GANG, SERVICE }

/** Priorities, lowest first, so that comparison follows rank. */
enum class Priority { IDLE, STANDARD, URGENT, CRITICAL }

/** The resource that bounds a task, see DESIGN. The order is the order in which rounds draw from the queues. */
enum class Resource { GPU, MEMORY, CPU }

/** An amount of a machine's resources. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    operator fun plus(o: Resources) = Resources(cpus + o.cpus, gpus + o.gpus, memoryGb + o.memoryGb)

    operator fun minus(o: Resources) = Resources(cpus - o.cpus, gpus - o.gpus, memoryGb - o.memoryGb)

    operator fun times(n: Int) = Resources(cpus * n, gpus * n, memoryGb * n)

    /** A little slack absorbs the rounding of sums of decimal fractions; a worker refuses a real overflow. */
    fun fits(o: Resources): Boolean = cpus <= o.cpus + EPS && gpus <= o.gpus + EPS && memoryGb <= o.memoryGb + EPS

    /** How many times this fits into the room; as many as no machine holds count as one number. */
    fun countIn(available: Resources): Int {
        var n = 0
        var r = available
        while (fits(r) && n < MANY) {
            r -= this
            n++
        }
        return n
    }

    fun of(r: Resource): Double =
        when (r) {
            Resource.GPU -> gpus
            Resource.MEMORY -> memoryGb
            Resource.CPU -> cpus
        }

    companion object {
        const val EPS = 1e-6
        private const val MANY = 64
        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}

/** A job as its user described it. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    val resourceRequest: Resources,
    val image: String,
    val imageGb: Double,
    val types: List<String>?,
    val zone: String?,
    val sameZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val estimatedDuration: Duration,
    val checkpointInterval: Duration,
    val checkpointDuration: Duration,
    val deadline: Duration?,
) {
    /** At most this many tasks of a spread job may be in one zone. */
    val zoneCap: Int get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE

    /** At most what its stored description takes, with its done bits and without its tasks' places. */
    val recordBytes: Int
        get() =
            RECORD_FIELDS + listOf(id, jobClass, team, image, zone ?: "").sumOf(::written) +
                (types?.sumOf { written(it) + 3 } ?: 0) +
                minOf(tasks, 2048) / 6

    companion object {
        /** Field names, numbers and marks; texts come on top. */
        private const val RECORD_FIELDS = 650

        /** What a text takes at most in a stored value: anything but plain characters may be written as an escape. */
        private fun written(text: String): Int =
            text
                .sumOf { c ->
                    if (c in ' '..'~' &&
                        c != '"' &&
                        c != '\\'
                    ) {
                        1L
                    } else {
                        6L
                    }
                }.toInt()
    }
}

/** A machine type as the cloud offers it. */
data class MachineType(
    val name: String,
    val capacity: Resources,
    val cacheGb: Double,
    val fetchGbPerS: Double,
    val price: Double,
    val spotPrice: Double,
    val boot: Duration,
    val zones: List<String>,
)

/** A team's guarantee and limit; null where there is none. */
data class Team(val name: String, val cpus: Double, val gpus: Double, val cpusMax: Double?, val gpusMax: Double?)

/** One of the operators' aims, as far as scheduling can use it. */
data class Objective(val kind: String, val jobClass: String?, val within: Duration?, val share: Double)

/** A task's place as stored before it is commanded: task index, attempt and machine. */
data class StoredPlacement(val task: Int, val attempt: Long, val machine: String)

/** A job as the state service holds it. */
data class JobRecord(
    val spec: JobSpec,
    val submitted: Duration,
    val lastAttempt: Long,
    val done: BitSet,
    val placements: List<StoredPlacement>,
    /** Jobs that have to be done before any task of this one starts; empty once they are. */
    val dependencies: List<String> = emptyList(),
    /** When the last job that it needed was done; null if it waits for others, or never did. */
    val dependenciesDoneAt: Duration? = null,
    /** Places that are stored apart, by shelf, since the record itself has no room for them. */
    val placementParts: Map<Int, List<StoredPlacement>> = emptyMap(),
    /** So many pieces hold the description, which is too long for the record; 0: the record holds it. */
    val descriptionParts: Int = 0,
)

/** How a job ended for good. */
enum class FinalState { DONE, CANCELLED }

/** Where a task is in its life on a machine, as its worker tells it. */
enum class TaskState { FETCHING, WAITING, RUNNING, CHECKPOINTING, EXITED }

/** Why a task exited. */
enum class ExitReason { DONE, STOPPED, GANG_BROKEN, GANG_INCOMPLETE, ERROR, INSUFFICIENT_RESOURCES, ALREADY_PRESENT, UNKNOWN }

/** One task of a job, by its number. */
data class TaskKey(val job: String, val task: Int)

/** One task in a worker's report. */
data class TaskStatus(val key: TaskKey, val attempt: Long, val state: TaskState, val exit: ExitReason?, val checkpointed: Boolean)

/** A worker's report; (session, seq) orders the reports of one machine. */
data class Heartbeat(
    val machine: String,
    val addr: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val incarnation: Long,
    val sequence: Long,
    val token: Long,
    val preemptionNotice: Duration?,
    val tasks: List<TaskStatus>,
)

/** What a worker is told to do. */
sealed interface Command {
    val key: TaskKey
    val attempt: Long
    val cause: OrderCause
}

/** Start the task, unless this attempt is known already. */
data class StartTask(override val key: TaskKey, override val attempt: Long, override val cause: StartCause) : Command

/** Stop the task; it may take [grace] to save. */
data class StopTask(
    override val key: TaskKey,
    override val attempt: Long,
    val grace: Duration,
    override val cause: StopCause,
) : Command

/** Forget an ended task, which is no longer reported then. */
data class ForgetTask(override val key: TaskKey, override val attempt: Long, override val cause: ForgetCause) : Command

/** The command without the difference that its cause makes to controllers alone. */
fun Command.asWorkersSeeIt(): Command =
    when (this) {
        is StartTask -> copy(cause = StartCause.PLACED)
        is StopTask -> copy(cause = StopCause.CANCELLED)
        is ForgetTask -> copy(cause = ForgetCause.RECORDED)
    }

/** How far the cloud says a machine has come. */
enum class MachineStage { BOOTING, RUNNING, FAILED }

/** A machine as the cloud lists it. */
data class ListedMachine(
    val id: String,
    val addr: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: MachineStage,
    val age: Duration,
)
