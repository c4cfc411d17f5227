package glenspool.core

import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.Report
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** An order that the scheduler would give now. [machine] and [task]: what it concerns, where that is one. */
data class ProposedOrder(val cause: OrderCause, val machine: String? = null, val task: TaskKey? = null)

/**
 * Decides whether an order that can wait is given now. What is refused is proposed again at the next occasion. Never asked about
 * stops of work that the scheduler placed itself, about cancellations, about machines that failed or are taken back.
 */
fun interface OrderGate {
    fun admits(order: ProposedOrder): Boolean
}

/** Where a report came from. */
enum class ReportSource {
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
    fun machineObserved(report: Report, source: ReportSource, trusted: Boolean, at: Duration) = Unit

    fun machinesListed(machines: List<ListedMachine>, at: Duration) = Unit

    fun machineDeleted(machine: String) = Unit
}

/** What is attached to a scheduler from outside. */
class SchedulerHooks(
    val gate: OrderGate = OrderGate { true },
    val observer: ClusterObserver = object : ClusterObserver {},
    /**
     * Whether a machine is fit for new work only while its own reports are answered. A worker that answers commands may be unable
     * to report: its lease ends, session after session, with all that it was given meanwhile.
     */
    val newWorkNeedsOwnReport: Boolean = false,
)
