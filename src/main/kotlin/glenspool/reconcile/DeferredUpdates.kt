package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/**
 * Queue of observations that the [tracker] has not compared yet. Comparisons are spread over later ticks, because a
 * small controller machine has no spare CPU time in the first seconds after a cold start. Of several heartbeats of one
 * machine only the newest is kept.
 */
class DeferredUpdates(private val tracker: DifferenceTracker) {
    /** An update with its number in the order of arrival; an update that replaces another one keeps its number. */
    private class Update(val number: Long, val source: HeartbeatSource?, val apply: () -> Unit)

    /** Updates of jobs. They are applied before all others, because observations are compared with the jobs. */
    private val jobUpdates = ArrayDeque<Update>()

    /** The newest heartbeat of each machine and the cloud's newest list, by [ObservationKey], in order of arrival. */
    private val observations = LinkedHashMap<ObservationKey, Update>()
    private var nextNumber = 0L
    private var marker = 0L

    /** What an observation is about; a newer observation of the same replaces it. */
    private sealed interface ObservationKey {
        data class MachineHeartbeat(val machine: String) : ObservationKey

        data object MachineList : ObservationKey
    }

    /** The number of updates in the queue. */
    val size: Int get() = jobUpdates.size + observations.size

    /** Requires all updates that are in the queue at present for [isAppliedUpToMarker]. */
    fun placeMarker() {
        marker = nextNumber
    }

    /**
     * Whether all updates that were queued before the last [placeMarker] have been applied. The queue of a large fleet
     * may never be empty, because heartbeats arrive faster than they are compared.
     */
    val isAppliedUpToMarker: Boolean
        get() {
            val heads = listOfNotNull(jobUpdates.firstOrNull(), observations.values.firstOrNull())
            return heads.all { it.number >= marker }
        }

    /** Queues [DifferenceTracker.jobStored]. */
    fun jobStored(record: JobRecord, isAdopted: Boolean) = addJobUpdate { tracker.jobStored(record, isAdopted) }

    /** Queues [DifferenceTracker.jobCancelled]. */
    fun jobCancelled(job: String) = addJobUpdate { tracker.jobCancelled(job) }

    /** Queues [DifferenceTracker.jobEnded]. */
    fun jobEnded(job: String) = addJobUpdate { tracker.jobEnded(job) }

    private fun addJobUpdate(apply: () -> Unit) = jobUpdates.addLast(Update(nextNumber++, null, apply))

    /** Queues a heartbeat in place of an older one of its machine. */
    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, isTrusted: Boolean, at: Duration) {
        val key = ObservationKey.MachineHeartbeat(heartbeat.machine)
        // If a reply to a request replaces a queued heartbeat that the worker sent on its own, the source stays WORKER,
        // because the worker's own heartbeat has arrived.
        val isQueuedFromWorker = observations[key]?.source == HeartbeatSource.WORKER
        val effectiveSource = if (isQueuedFromWorker) HeartbeatSource.WORKER else source
        addObservation(key, effectiveSource) { tracker.machineObserved(heartbeat, effectiveSource, isTrusted, at) }
    }

    /** Queues a machine list of the cloud in place of an older one. */
    fun machinesListed(machines: List<ListedMachine>, at: Duration) {
        addObservation(ObservationKey.MachineList, null) { tracker.machinesListed(machines, at) }
    }

    private fun addObservation(key: ObservationKey, source: HeartbeatSource?, apply: () -> Unit) {
        val number = observations[key]?.number ?: nextNumber++
        observations[key] = Update(number, source, apply)
    }

    /** Applies a deletion immediately, because it is certain. */
    fun machineDeleted(machine: String) {
        observations.remove(ObservationKey.MachineHeartbeat(machine))
        tracker.machineDeleted(machine)
    }

    /** Applies at most [limit] updates to the tracker. */
    fun apply(limit: Int) {
        repeat(limit) { if (!applyNext()) return }
    }

    /** Applies one update, of a job if there is one. Returns false if none was queued. */
    private fun applyNext(): Boolean {
        val update = jobUpdates.removeFirstOrNull() ?: takeObservation() ?: return false
        update.apply()
        return true
    }

    private fun takeObservation(): Update? {
        val key = observations.keys.firstOrNull() ?: return null
        return observations.remove(key)
    }
}
