package glenspool.core.model

import kotlin.time.Duration

/** The kind of a job: independent tasks, tasks that run together, or replicas that run until cancelled. */
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
    /** The resources that each task of the job uses on its machine. */
    val resourceRequest: Resources,
    val image: String,
    val imageGb: Double,
    /** The machine types that the job may use; null allows all. */
    val types: List<String>?,
    /** The only zone that the job may use; null allows all. */
    val zone: String?,
    /** Whether all tasks of the job must be in one zone. */
    val sameZone: Boolean,
    /** Whether the tasks of the job must be spread over zones. */
    val spread: Boolean,
    /** Whether the job may use spot machines. */
    val spot: Boolean,
    /** How long a task is expected to run. */
    val estimatedDuration: Duration,
    /** The time between two checkpoints; zero if the tasks write none. */
    val checkpointInterval: Duration,
    /** How long it takes to write a checkpoint. */
    val checkpointDuration: Duration,
    /** The time after submission by which the job should be done. */
    val deadline: Duration?,
) {
    /** The maximum number of tasks of a spread job in one zone. */
    val maxTasksPerZone: Int get() = if (spread) (tasks + 1) / 2 else Int.MAX_VALUE

    /** The largest size of the stored description and done bits, without the placements of the tasks. */
    val maxRecordBytes: Int
        get() {
            val texts = listOf(id, jobClass, team, image, zone ?: "").sumOf(::maxStoredBytes)
            val typeNames = types?.sumOf { maxStoredBytes(it) + LIST_ENTRY_BYTES } ?: 0
            return FIELDS_BYTES + texts + typeNames + minOf(tasks, JobRecord.MAX_INLINE_TASKS) / TASKS_PER_BYTE
        }

    private companion object {
        /** The size of field names, numbers and punctuation, without the texts. */
        const val FIELDS_BYTES = 650

        /** The size of the punctuation of an entry in a list of texts. */
        const val LIST_ENTRY_BYTES = 3

        /** Done bits are stored as Base64, which holds six bits in a byte. */
        const val TASKS_PER_BYTE = 6

        /** The size of an escaped character in a stored value. */
        const val ESCAPED_BYTES = 6

        /** The largest size of a text in a stored value, in which all but plain characters may be escaped. */
        fun maxStoredBytes(text: String): Int =
            text.sumOf { character ->
                val isPlain = character in ' '..'~' && character != '"' && character != '\\'
                if (isPlain) 1 else ESCAPED_BYTES
            }
    }
}
