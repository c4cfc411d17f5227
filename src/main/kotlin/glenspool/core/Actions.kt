package glenspool.core

import glenspool.core.cluster.ImagesByMachine
import glenspool.core.model.Command
import glenspool.core.model.FinalState
import glenspool.core.model.HeartbeatPosition
import glenspool.core.model.JobRecord
import glenspool.core.model.StartTask

/** An action that the scheduler asks the rest of the controller to carry out. */
sealed interface Action

/** Sends commands to one machine without delay. */
data class SendCommands(
    val machine: String,
    val addr: String,
    val token: Long,
    val incarnation: Long,
    val commands: List<Command>,
) : Action {
    val starts: List<StartTask> get() = commands.filterIsInstance<StartTask>()
}

/**
 * Requests the status of its tasks from a machine. [sentAfter]: the position of its newest heartbeat at this time,
 * which the reply of the same worker process exceeds.
 */
data class Probe(val machine: String, val addr: String, val sentAfter: HeartbeatPosition) : Action

/** Rents machines. [request]: a unique name; [causes]: the number of machines by cause. */
data class ScaleOut(
    val request: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val causes: Map<ScaleOutCause, Int>,
) : Action {
    /** The number of machines. */
    val count: Int get() = causes.values.sum()
}

/** Deletes machines, each with its cause. */
data class DeleteMachines(val causes: Map<String, DeletionCause>) : Action {
    val machines: List<String> get() = causes.keys.toList()

    companion object {
        /** The maximum number of machines that the cloud deletes in one request. */
        const val MAX_MACHINES = 100
    }
}

/** Advances the fencing token, which invalidates commands that are in flight. */
data class AdvanceFencingToken(val cause: TokenAdvanceCause) : Action

/** Resigns the leadership so that another node can lead, because this node can't do the work. */
data class Resign(val reason: String) : Action

/**
 * Stores for a later leader which machine has which images, with their sizes in GB. This is only a hint; no correctness
 * rule depends on it.
 */
data class StoreImageLocations(val part: Int, val images: ImagesByMachine) : Action

/** Reads the final states of jobs on which other jobs depend, and whose live records no longer exist. */
data class ReadFinalStates(val jobs: List<String>) : Action

/** A line with stable keys for the operators' log. */
data class LogMessage(val text: String, val isImportant: Boolean) : Action

/** Reports a broken rule of the protocol; [details] are parts of the form `key=value`. */
data class ReportViolation(val rule: String, val details: String) : Action

/** Stores these changes in one transaction, on the condition that this node still leads. */
data class StoreChanges(val writes: List<JobWrite>) : Action

/** One job's part of a transaction. [version]: the version of the record on which the write is conditional. */
sealed interface JobWrite {
    val id: String
    val version: Long
}

/**
 * Replaces the job's record. With [requiresUncancelled] the record must not be stored once the job is cancelled.
 * [chunks]: the chunks of done bits that changed; [parts]: the parts of the placements that changed, each with the
 * number of its last change; [lastChange]: the number of the last change of the job that the record includes.
 */
data class UpdateJobRecord(
    override val id: String,
    override val version: Long,
    val record: JobRecord,
    val chunks: List<Int>,
    val lastChange: Long,
    val requiresUncancelled: Boolean,
    val parts: Map<Int, Long> = emptyMap(),
    /** Whether the write includes all changed parts of the placements, so that no urgent change is left out. */
    val includesAllDirtyParts: Boolean = true,
) : JobWrite

/**
 * Moves a job to its final state. [cancelVersion]: the version of the job's own cancellation, if there is one.
 * [abortedBy]: the cancelled job on which this job depended, directly or indirectly. If both are null, the job is done.
 */
data class StoreFinalState(
    override val id: String,
    override val version: Long,
    val cancelVersion: Long?,
    val tasks: Int,
    val abortedBy: String? = null,
) : JobWrite {
    val finalState: FinalState
        get() = if (cancelVersion == null && abortedBy == null) FinalState.DONE else FinalState.CANCELLED
}

/** How a transaction ended. */
sealed interface StoreOutcome {
    /** Everything was written, under this revision. */
    data class Stored(val revision: Long) : StoreOutcome

    /** Conditions failed for these jobs; nothing was written. */
    data class Refused(val jobs: Set<String>) : StoreOutcome

    /**
     * A value or the transaction as a whole exceeds the key-value store's limits; nothing was written.
     * [descriptionParts]: the number of parts by job, for jobs whose descriptions were then stored in parts, so that
     * their records become shorter.
     */
    data class TooLarge(val descriptionParts: Map<String, Int> = emptyMap()) : StoreOutcome

    /** The transaction may have been written, or may still be written. The jobs' current versions were read again. */
    data object Unknown : StoreOutcome
}

/** How a request with commands ended. */
enum class CommandOutcome {
    /** The commands were executed; the heartbeat in the answer shows it. */
    DONE,

    /** No command was executed, and none will be. */
    REFUSED,

    /** No connection was established. */
    NOT_SENT,

    /** No answer was received; the commands may be executed at any later time. */
    UNKNOWN,

    /**
     * The request was not attempted, because no thread was free or this node does not lead. That says nothing about
     * the machine.
     */
    NOT_TRIED,
}
