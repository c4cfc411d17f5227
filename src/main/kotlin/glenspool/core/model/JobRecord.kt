package glenspool.core.model

import java.util.BitSet
import kotlin.time.Duration

/** A task's placement as it is stored before the task is started: task number, attempt and machine. */
data class StoredPlacement(val task: Int, val attempt: Long, val machine: String)

/** A job as the key-value store holds it. */
data class JobRecord(
    val spec: JobSpec,
    /** The wall-clock time at which the job was accepted. */
    val submittedAt: Duration,
    /** The highest attempt number that any task of the job ever had. */
    val lastAttempt: Long,
    /** The tasks that are done. */
    val done: BitSet,
    val placements: List<StoredPlacement>,
    /** Jobs that have to be done before any task of this job starts; empty once all of them are done. */
    val dependencies: List<String> = emptyList(),
    /** The wall-clock time at which the last dependency was done; null if some are not done, or there were none. */
    val dependenciesDoneAt: Duration? = null,
    /** Placements by part that are stored under separate keys, because the record has no space for them. */
    val placementParts: Map<Int, List<StoredPlacement>> = emptyMap(),
    /** The number of parts that hold a description too long for the record, or 0 if the record holds it. */
    val descriptionPartCount: Int = 0,
) {
    companion object {
        /** Jobs of up to this many tasks keep their done bits in the record itself, larger ones in chunks. */
        const val MAX_INLINE_TASKS = 2048

        /** The number of tasks whose done bits are in one chunk. */
        const val TASKS_PER_CHUNK = 8192
    }
}

/** The final state of a job. */
enum class FinalState { DONE, CANCELLED }
