package glenspool.core

import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** An order that the scheduler would give now. [machine] and [task]: what it concerns, where that is one. */
data class ProposedOrder(val cause: OrderCause, val machine: String? = null, val task: TaskKey? = null)

/**
 * Decides whether an order that can wait is given now. What is refused is proposed again at the next occasion. Never
 * asked about stops of work that the scheduler placed itself, about cancellations, about machines that failed or are
 * taken back.
 */
fun interface OrderGate {
    fun admits(order: ProposedOrder): Boolean
}

/** Where a report came from. */
enum class HeartbeatSource {
    /** The worker sent it by itself, and is answered: its lease is renewed. */
    WORKER,

    /** It answers a command or a question of ours, which renews no lease. */
    DIRECT,
}

/** Told of what the scheduler learns, as it learns it. */
interface ClusterObserver {
    /** A live job was read from the state service. */
    fun jobRead(record: JobRecord) = Unit

    /** A record of this leader's own was stored. */
    fun jobStored(record: JobRecord) = Unit

    /** The job has its final state. */
    fun jobEnded(job: String) = Unit

    fun jobCancelled(job: String) = Unit

    /** A report that is newer than all before. [trusted]: the worker has seen this leader's token. */
    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) = Unit

    fun machinesListed(machines: List<ListedMachine>, at: Duration) = Unit

    fun machineDeleted(machine: String) = Unit
}

/** What becomes of a stored place whose machine shows that the task is not there. */
enum class MissingTaskPolicy {
    /** The place is given up, and the task waits for another. */
    RESCHEDULE,

    /**
     * The task is started there again under its stored place and attempt, if the machine's own reports are answered.
     * That needs no change of what is stored, and its image is there.
     */
    RESTORE,

    /** The same, and a machine that has only answered questions so far is given time to report by itself. */
    RESTORE_AND_WAIT,
}

/** What is attached to a scheduler from outside. */
class SchedulerHooks(
    val gate: OrderGate = OrderGate { true },
    val observer: ClusterObserver = object : ClusterObserver {},
    /**
     * Whether a machine is fit for new work only while its own reports are answered. A worker that answers commands may
     * be unable to report: its lease ends, session after session, with all that it was given meanwhile.
     */
    val newWorkNeedsOwnReport: Boolean = false,
    /** What becomes of a task that is gone from the machine where it was placed. */
    val absence: () -> MissingTaskPolicy = { MissingTaskPolicy.RESCHEDULE },
)
