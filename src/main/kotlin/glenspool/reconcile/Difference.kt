package glenspool.reconcile

import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** Where the knowledge behind a difference comes from. */
enum class EvidenceSource { STATE_SERVICE, REPORT, ANSWER, CLOUD_LIST }

/** What a difference rests on. [at]: when that was learnt, in the term's steady time. */
data class Evidence(val source: EvidenceSource, val at: Duration)

/** Something that is not as it is stored, at one machine. */
sealed interface Difference {
    val machine: String
    val evidence: Evidence

    /** The task that it is about, if it is about one. */
    val task: TaskKey? get() = null
}

/** A stored place whose machine shows that the task is not there. */
data class MissingTask(
    override val machine: String,
    override val task: TaskKey,
    val attempt: Long,
    override val evidence: Evidence,
) : Difference

/** A task without a stored place on its machine. [recorded]: whether its job is known to the state service. */
data class OrphanTask(
    override val machine: String,
    override val task: TaskKey,
    val attempt: Long,
    val recorded: Boolean,
    override val evidence: Evidence,
) : Difference

/** A task that several machines show at once. */
data class DuplicateTask(
    override val machine: String,
    override val task: TaskKey,
    val machines: Set<String>,
    override val evidence: Evidence,
) : Difference

/** A task of a cancelled job that is still there. */
data class CancelledTask(override val machine: String, override val task: TaskKey, override val evidence: Evidence) : Difference

/** A task that is done, whose result is not stored yet. */
data class UnrecordedResult(override val machine: String, override val task: TaskKey, override val evidence: Evidence) : Difference

/** A stored place of a task whose result is stored. */
data class ObsoletePlace(override val machine: String, override val task: TaskKey, override val evidence: Evidence) : Difference

/** A machine that the cloud lists no more, or never listed, though a place or a report names it. */
data class DelistedMachine(override val machine: String, override val evidence: Evidence) : Difference

/** A machine that should be up and was not heard in this term: nothing is known of what is on it. */
data class UnheardMachine(override val machine: String, val places: Int, override val evidence: Evidence) : Difference

/** A machine that answers questions and sends no report that arrives: its lease runs out. */
data class UnreportingMachine(override val machine: String, override val evidence: Evidence) : Difference

/** The kinds of difference, for counting. */
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

    /** Whether a recovery lasts until there are none: orders end them, and they do not come and go on any day. */
    val isMended: Boolean get() =
        this == MISSING_TASK ||
            this == ORPHAN_TASK ||
            this == DUPLICATE_TASK ||
            this == OBSOLETE_PLACE

    /** The name as operators read it. */
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
            is ObsoletePlace -> DifferenceKind.OBSOLETE_PLACE
            is DelistedMachine -> DifferenceKind.DELISTED_MACHINE
            is UnheardMachine -> DifferenceKind.UNHEARD_MACHINE
            is UnreportingMachine -> DifferenceKind.UNREPORTING_MACHINE
        }
