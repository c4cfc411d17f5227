package glenspool.reconcile

import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** The source of the information behind a difference. [ANSWER] is a worker's reply to a request of the leader. */
enum class EvidenceSource { STATE_SERVICE, REPORT, ANSWER, CLOUD_LIST }

/** The observation that a difference is based on. [at]: when it was made, in the term's monotonic time. */
data class Evidence(val source: EvidenceSource, val at: Duration)

/** A deviation of one machine's observed state from the stored state. */
sealed interface Difference {
    val machine: String
    val evidence: Evidence

    /** The task concerned; null if the difference concerns the machine as a whole. */
    val task: TaskKey? get() = null
}

/** A stored placement whose machine reports that it does not have the task. */
data class MissingTask(
    override val machine: String,
    override val task: TaskKey,
    val attempt: Long,
    override val evidence: Evidence,
) : Difference

/** A task that runs without a stored placement on its machine. [isJobRecorded]: whether its job is stored. */
data class OrphanTask(
    override val machine: String,
    override val task: TaskKey,
    val attempt: Long,
    val isJobRecorded: Boolean,
    override val evidence: Evidence,
) : Difference

/** A task that several [machines] report at the same time. */
data class DuplicateTask(
    override val machine: String,
    override val task: TaskKey,
    val machines: Set<String>,
    override val evidence: Evidence,
) : Difference

/** A task of a cancelled job that still runs. */
data class CancelledTask(override val machine: String, override val task: TaskKey, override val evidence: Evidence) :
    Difference

/** A finished task whose result is not stored yet. */
data class UnrecordedResult(
    override val machine: String,
    override val task: TaskKey,
    override val evidence: Evidence,
) : Difference

/** A stored placement of a task whose result is stored already. */
data class ObsoletePlacement(
    override val machine: String,
    override val task: TaskKey,
    override val evidence: Evidence,
) : Difference

/** A machine that the cloud does not list, though a placement or a heartbeat names it. */
data class DelistedMachine(override val machine: String, override val evidence: Evidence) : Difference

/**
 * A machine that should be up but has not reported in this term, so that the state of its tasks is unknown.
 *
 * @property placements the number of placements stored for it
 */
data class SilentMachine(override val machine: String, val placements: Int, override val evidence: Evidence) :
    Difference

/** A machine that answers requests but whose own heartbeats do not arrive, so that its lease will expire. */
data class UnreportingMachine(override val machine: String, override val evidence: Evidence) : Difference

/** The kinds of differences, for counting. The constants' names are shown to operators. */
enum class DifferenceKind {
    MISSING_TASK,
    ORPHAN_TASK,
    DUPLICATE_TASK,
    CANCELLED_TASK,
    UNRECORDED_RESULT,
    OBSOLETE_PLACE,
    DELISTED_MACHINE,
    UNHEARD_MACHINE,
    UNREPORTING_MACHINE,
    ;

    /**
     * Whether the recovery lasts until no difference of this kind remains. This applies to kinds that orders remove and
     * that do not occur in ordinary operation.
     */
    val isRepairable: Boolean get() =
        this == MISSING_TASK ||
            this == ORPHAN_TASK ||
            this == DUPLICATE_TASK ||
            this == OBSOLETE_PLACE

    /** The name shown to operators. */
    val label: String get() = name.lowercase().replace('_', '-')
}

val Difference.kind: DifferenceKind
    get() =
        when (this) {
            is MissingTask -> DifferenceKind.MISSING_TASK
            is OrphanTask -> DifferenceKind.ORPHAN_TASK
            is DuplicateTask -> DifferenceKind.DUPLICATE_TASK
            is CancelledTask -> DifferenceKind.CANCELLED_TASK
            is UnrecordedResult -> DifferenceKind.UNRECORDED_RESULT
            is ObsoletePlacement -> DifferenceKind.OBSOLETE_PLACE
            is DelistedMachine -> DifferenceKind.DELISTED_MACHINE
            is SilentMachine -> DifferenceKind.UNHEARD_MACHINE
            is UnreportingMachine -> DifferenceKind.UNREPORTING_MACHINE
        }
