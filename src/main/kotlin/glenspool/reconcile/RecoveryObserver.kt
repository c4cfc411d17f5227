package glenspool.reconcile

import glenspool.core.ClusterObserver
import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/**
 * Queues the scheduler's observations of the cluster for comparison while the recovery is active, and ignores them
 * afterwards.
 */
internal class RecoveryObserver(private val phases: PhaseStateMachine, private val unrecorded: UnrecordedTasks) :
    ClusterObserver {
    private var tracker = DifferenceTracker()
    private var updates = DeferredUpdates(tracker)

    /** Machines whose workers have received this leader's fencing token. */
    private val reportedMachines = HashSet<String>()

    /** The cloud's newest list of machines; null if none has been received in this term. */
    private var newestList: List<ListedMachine>? = null

    val isListRead: Boolean get() = newestList != null

    /** Whether all observations from before the present phase have been compared. */
    val isCompared: Boolean get() = updates.isAppliedUpToMarker

    /** The fleet's size as far as it is known: the number of listed or of reporting machines, whichever is larger. */
    val fleetSize: Int get() = maxOf(newestList?.size ?: 0, reportedMachines.size)

    val totals: DifferenceTotals get() = tracker.totals()
    val findings get() = tracker.findings

    /** Returns the progress of the gathering phase, or null before the cloud's first list of this term. */
    fun gatheringProgress(): GatheringProgress? = newestList?.let { GatheringProgress.of(it, reportedMachines) }

    /** Returns the number of machines that would be deleted as silent or whose unexpected tasks would be stopped. */
    fun affectedMachineCount(): Int =
        tracker.findings.values.count { machineFindings ->
            val kinds = machineFindings.differences.mapTo(HashSet()) { it.kind }
            // A machine that the cloud no longer lists is lost in any case, so it does not count.
            val wouldBeDeleted = DifferenceKind.UNHEARD_MACHINE in kinds && DifferenceKind.DELISTED_MACHINE !in kinds
            wouldBeDeleted || DifferenceKind.ORPHAN_TASK in kinds || DifferenceKind.DUPLICATE_TASK in kinds
        }

    /** Compares some of the queued observations. [isOverloaded]: whether this process has no spare CPU time. */
    fun compareQueuedUpdates(isOverloaded: Boolean) {
        val limit = if (isOverloaded) UPDATES_PER_OVERLOADED_TICK else UPDATES_PER_TICK
        updates.apply(maxOf(limit, updates.size / MIN_QUEUE_SHARE_DIVISOR))
    }

    /** Marks the beginning of a phase, for [isCompared]. */
    fun phaseEntered() = updates.placeMarker()

    /** Discards all observations, because nothing is kept after the recovery. */
    fun clear() {
        tracker = DifferenceTracker()
        updates = DeferredUpdates(tracker)
        unrecorded.clear()
        reportedMachines.clear()
        newestList = null
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
            newestList = machines
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
        /** The numbers of updates compared per tick, normally and while the process is overloaded. */
        const val UPDATES_PER_TICK = 60
        const val UPDATES_PER_OVERLOADED_TICK = 4

        /** At least the queue's length divided by this number is compared per tick. */
        const val MIN_QUEUE_SHARE_DIVISOR = 40
    }
}
