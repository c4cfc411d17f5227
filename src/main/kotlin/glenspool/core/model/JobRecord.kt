package glenspool.core.model

import java.util.BitSet
import kotlin.time.Duration

/** A task's placement as it is stored before the task is started: task number, attempt and machine. */
data class StoredPlacement(val task: Int, val attempt: Long, val machine: String)

/** A job as the key-value store holds it. */
data class JobRecord(
    val spec: JobSpec,
    /** When it was accepted, as a time of day. */
    val submittedAt: Duration,
    /** The highest attempt number that any of its tasks ever had. */
    val lastAttempt: Long,
    /** The tasks that are done. */
    val done: BitSet,
    val placements: List<StoredPlacement>,
    /** Jobs that have to be done before any task of this one starts; empty once they are. */
    val dependencies: List<String> = emptyList(),
    /** The time of day at which the last dependency was done; null if some are not done, or there were none. */
    val dependenciesDoneAt: Duration? = null,
    /** Placements that are stored under keys of their own, by part, since the record itself has no space for them. */
    val placementParts: Map<Int, List<StoredPlacement>> = emptyMap(),
    /** The number of parts that hold the description, which is too long for the record; 0: the record holds it. */
    val descriptionPartCount: Int = 0,
) {
    companion object {
        /** Jobs of up to this many tasks keep their done bits in the record itself, larger ones in chunks. */
        const val MAX_INLINE_TASKS = 2048

        /** So many tasks have their done bits in one chunk. */
        const val TASKS_PER_CHUNK = 8192
    }
}

/** How a job ended for good. */
enum class FinalState { DONE, CANCELLED }
