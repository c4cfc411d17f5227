package glenspool.core

import glenspool.core.cluster.ImagesByMachine
import glenspool.core.model.Command
import glenspool.core.model.FinalState
import glenspool.core.model.JobRecord

/** What the scheduler wants done outside. */
sealed interface Action

/** Commands for one machine, to be sent at once. */
data class SendCommands(
    val machine: String,
    val addr: String,
    val token: Long,
    val incarnation: Long,
    val commands: List<Command>,
) : Action

/** Ask a silent machine for the status of its tasks. */
data class Probe(val machine: String, val addr: String) : Action

/** Rent machines. [request]: a name that is never used twice; [causes]: how many of them are wanted for what. */
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

/** Delete machines, each for its cause. */
data class DeleteMachines(val causes: Map<String, DeletionCause>) : Action {
    val machines: List<String> get() = causes.keys.toList()

    companion object {
        /** How many machines the cloud deletes at one request. */
        const val MAX_MACHINES = 100
    }
}

/** Advance the fencing token, so that commands on their way become void. */
data object AdvanceFencingToken : Action

/** Give the leadership to another node: this one can't do the work. */
data class Resign(val reason: String) : Action

/** Keep for a later leader which machine has which images, with their sizes in GB. A hint: no rule rests on it. */
data class StoreImageLocations(val part: Int, val images: ImagesByMachine) : Action

/** Read the final states of these jobs: others depend on them, and their live records are gone. */
data class ReadFinalStates(val jobs: List<String>) : Action

/** Something an operator may want to read in the log: one line with stable keys. */
data class LogMessage(val text: String, val isImportant: Boolean) : Action

/** Store these changes in one transaction that holds only while this node leads. */
data class StoreChanges(val writes: List<JobWrite>) : Action

/** One job's part of a transaction. [version]: the record's version on which it is conditioned. */
sealed interface JobWrite {
    val id: String
    val version: Long
}

/**
 * Replaces the job's record. With [requiresUncancelled] it must not be stored once the job is cancelled. [chunks]: the
 * chunks of its done bits that changed; [parts]: the parts of its placements that changed, each with the number of its
 * last change; [lastChange]: the number of the job's last change that it holds.
 */
data class UpdateJobRecord(
    override val id: String,
    override val version: Long,
    val record: JobRecord,
    val chunks: List<Int>,
    val lastChange: Long,
    val requiresUncancelled: Boolean,
    val parts: Map<Int, Long> = emptyMap(),
    /** Whether nothing is left that this job would still have to store. */
    val includesAllChanges: Boolean = true,
) : JobWrite

/**
 * Moves a job to its final state. [cancelVersion]: of its own cancellation, if there is one. [abortedBy]: the cancelled
 * job that it depended on, directly or through others. With neither, the job is done.
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
     * [descriptionParts]: jobs whose descriptions were then stored in so many parts, so that their records become
     * shorter.
     */
    data class TooLarge(val descriptionParts: Map<String, Int> = emptyMap()) : StoreOutcome

    /** It may or may not have been written, or will be; the jobs' current versions were read again. */
    data object Unknown : StoreOutcome
}

/** How a request with commands ended. */
enum class CommandOutcome {
    /** Carried out; the heartbeat in the answer shows it. */
    DONE,

    /** Nothing was carried out, and won't be. */
    REFUSED,

    /** The connection never came about. */
    NOT_SENT,

    /** No answer: it may be carried out at any later time. */
    UNKNOWN,

    /** It was not even tried, for want of threads or of the leadership, which says nothing of the machine. */
    NOT_TRIED,
}
