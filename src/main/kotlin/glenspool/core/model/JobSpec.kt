package glenspool.core.model

import kotlin.time.Duration

/** What kind of job it is: independent tasks, tasks that run together, or replicas that run until cancelled. */
enum class JobKind { ARRAY, GANG, SERVICE }

/** Priorities, lowest first, so that they can be compared. */
enum class Priority { IDLE, STANDARD, URGENT, CRITICAL }

/** One task of a job, by its number. */
data class TaskKey(val job: String, val task: Int)

/** A job as its user described it. */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val kind: JobKind,
    val priority: Priority,
    val tasks: Int,
    /** What each of its tasks takes of a machine. */
    val resourceRequest: Resources,
    val image: String,
    val imageGb: Double,
    /** The machine types that it may use; null: all. */
    val types: List<String>?,
    /** The only zone that it may use; null: all. */
    val zone: String?,
    /** Whether all of its tasks must be in one zone. */
    val sameZone: Boolean,
    /** Whether its tasks must be spread over zones. */
    val spread: Boolean,
    /** Whether it may use spot machines. */
    val spot: Boolean,
    /** How long a task is expected to run. */
    val estimatedDuration: Duration,
    /** The time between two checkpoints; zero: it takes none. */
    val checkpointInterval: Duration,
    /** How long it takes to write a checkpoint. */
    val checkpointDuration: Duration,
    /** The time after submission by which it should be done. */
    val deadline: Duration?,
) {
    /** At most this many tasks of a spread job may be in one zone. */
    val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE

    /** The largest size of its stored description with its done bits, without the placements of its tasks. */
    val maxRecordBytes: Int
        get() {
            val texts = listOf(id, jobClass, team, image, zone ?: "").sumOf(::maxStoredBytes)
            val typeNames = types?.sumOf { maxStoredBytes(it) + LIST_ENTRY_BYTES } ?: 0
            return FIELDS_BYTES + texts + typeNames + minOf(tasks, JobRecord.MAX_INLINE_TASKS) / TASKS_PER_BYTE
        }

    private companion object {
        /** Field names, numbers and punctuation; texts come on top. */
        const val FIELDS_BYTES = 650

        /** The punctuation of an entry in a list of texts. */
        const val LIST_ENTRY_BYTES = 3

        /** Done bits are stored as Base64, which holds six bits in a byte. */
        const val TASKS_PER_BYTE = 6

        /** An escaped character takes as much in a stored value. */
        const val ESCAPED_BYTES = 6

        /** The largest size of a text in a stored value: anything but plain characters may be written as an escape. */
        fun maxStoredBytes(text: String): Int =
            text.sumOf { character ->
                val isPlain = character in ' '..'~' && character != '"' && character != '\\'
                if (isPlain) 1 else ESCAPED_BYTES
            }
    }
}
