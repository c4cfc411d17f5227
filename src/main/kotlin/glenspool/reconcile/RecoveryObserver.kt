package glenspool.reconcile

import glenspool.core.ClusterObserver
import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/**
 * Observes what the scheduler learns of the cluster while the recovery is active, and queues it for comparison. Ignores
 * everything afterwards.
 */
internal class RecoveryObserver(private val phases: PhaseStateMachine, private val unrecorded: UnrecordedTasks) :
    ClusterObserver {
    private var tracker = DifferenceTracker()
    private var updates = DeferredUpdates(tracker)

    /** Machines whose workers have seen this leader's token. */
    private val reportedMachines = HashSet<String>()

    /** The cloud's newest list of machines; null if none has come in this term. */
    private var listed: List<ListedMachine>? = null

    val isListRead: Boolean get() = listed != null

    /** Whether all observations have been compared. */
    val isCompared: Boolean get() = updates.isEmpty

    /** The fleet's size as far as it is known: the number of machines that are listed, or that have reported. */
    val fleetSize: Int get() = maxOf(listed?.size ?: 0, reportedMachines.size)

    val totals: DifferenceTotals get() = tracker.totals()
    val findings get() = tracker.findings

    /** Null until the cloud's first list has come. */
    fun gatheringProgress(): GatheringProgress? = listed?.let { GatheringProgress.of(it, reportedMachines) }

    /** The number of machines that would be deleted as silent, or have unexpected tasks stopped. */
    fun affectedMachineCount(): Int =
        tracker.findings.values.count { found ->
            val kinds = found.differences.mapTo(HashSet()) { it.kind }
            // A machine that the cloud does not list any more is lost whatever is ordered.
            val wouldBeDeleted = DifferenceKind.UNHEARD_MACHINE in kinds && DifferenceKind.DELISTED_MACHINE !in kinds
            wouldBeDeleted || DifferenceKind.ORPHAN_TASK in kinds || DifferenceKind.DUPLICATE_TASK in kinds
        }

    /** Compares some of the queued observations, fewer if [isOverloaded]: if this process has no spare CPU time. */
    fun compareQueuedUpdates(isOverloaded: Boolean) {
        val limit = if (isOverloaded) UPDATES_PER_TICK_BEHIND else UPDATES_PER_TICK
        updates.apply(maxOf(limit, updates.size / MIN_SHARE_DIVISOR))
    }

    /** Releases everything that was learnt; nothing is kept after the recovery. */
    fun clear() {
        tracker = DifferenceTracker()
        updates = DeferredUpdates(tracker)
        unrecorded.clear()
        reportedMachines.clear()
        listed = null
    }

    override fun jobRecordRead(record: JobRecord) =
        whileActive {
            unrecorded.jobRead(record.spec.id)
            updates.jobStored(record, isAdopted = true)
        }

    override fun jobRecordStored(record: JobRecord) = whileActive { updates.jobStored(record, isAdopted = false) }

    override fun jobEnded(job: String) =
        whileActive {
            unrecorded.jobEnded(job)
            updates.jobEnded(job)
        }

    override fun jobCancelled(job: String) = whileActive { updates.jobCancelled(job) }

    override fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) =
        whileActive {
            if (trusted) reportedMachines.add(heartbeat.machine)
            updates.machineObserved(heartbeat, source, trusted, at)
            unrecorded.machineObserved(heartbeat, at)
        }

    override fun machinesListed(machines: List<ListedMachine>, at: Duration) =
        whileActive {
            listed = machines
            updates.machinesListed(machines, at)
        }

    override fun machineDeleted(machine: String) =
        whileActive {
            reportedMachines.remove(machine)
            updates.machineDeleted(machine)
            unrecorded.machineDeleted(machine)
        }

    private inline fun whileActive(body: () -> Unit) {
        if (phases.isActive) body()
    }

    private companion object {
        /** The number of updates compared per tick, and the number while the process is behind. */
        const val UPDATES_PER_TICK = 60
        const val UPDATES_PER_TICK_BEHIND = 4

        /** At least this part (one in so many) of the queue is compared per tick. */
        const val MIN_SHARE_DIVISOR = 40
    }
}
