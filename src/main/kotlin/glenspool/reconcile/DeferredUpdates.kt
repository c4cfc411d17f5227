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
    private class Observation(
        val heartbeat: Heartbeat,
        val source: HeartbeatSource,
        val isTrusted: Boolean,
        val at: Duration,
    )

    private val jobUpdates = ArrayDeque<() -> Unit>()
    private val observations = LinkedHashMap<String, Observation>()
    private var listUpdate: (() -> Unit)? = null

    /** The number of updates in the queue. */
    val size: Int get() = jobUpdates.size + observations.size + (if (listUpdate == null) 0 else 1)

    val isEmpty: Boolean get() = size == 0

    /** Queues [DifferenceTracker.jobStored]. */
    fun jobStored(record: JobRecord, isAdopted: Boolean) = jobUpdates.addLast { tracker.jobStored(record, isAdopted) }

    /** Queues [DifferenceTracker.jobCancelled]. */
    fun jobCancelled(job: String) = jobUpdates.addLast { tracker.jobCancelled(job) }

    /** Queues [DifferenceTracker.jobEnded]. */
    fun jobEnded(job: String) = jobUpdates.addLast { tracker.jobEnded(job) }

    /** Queues a heartbeat in place of an older one of its machine. */
    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, isTrusted: Boolean, at: Duration) {
        // If a reply to a request replaces a queued heartbeat that the worker sent on its own, the source stays WORKER,
        // because the worker's own heartbeat has arrived.
        val isQueuedFromWorker = observations[heartbeat.machine]?.source == HeartbeatSource.WORKER
        val effectiveSource = if (isQueuedFromWorker) HeartbeatSource.WORKER else source
        observations[heartbeat.machine] = Observation(heartbeat, effectiveSource, isTrusted, at)
    }

    /** Queues a machine list of the cloud in place of an older one. */
    fun machinesListed(machines: List<ListedMachine>, at: Duration) {
        listUpdate = { tracker.machinesListed(machines, at) }
    }

    /** Applies a deletion immediately, because it is certain. */
    fun machineDeleted(machine: String) {
        observations.remove(machine)
        tracker.machineDeleted(machine)
    }

    /** Applies at most [limit] updates to the tracker. */
    fun apply(limit: Int) {
        repeat(limit) { if (!applyNext()) return }
    }

    /** Applies one update: jobs first, then machines, then the cloud's list. Returns false if none was queued. */
    private fun applyNext(): Boolean {
        val jobUpdate = jobUpdates.removeFirstOrNull()
        val observation = observations.values.firstOrNull()
        when {
            jobUpdate != null -> jobUpdate()
            observation != null -> {
                observations.remove(observation.heartbeat.machine)
                tracker.machineObserved(
                    observation.heartbeat, observation.source, observation.isTrusted, observation.at,
                )
            }
            else -> {
                val update = listUpdate ?: return false
                listUpdate = null
                update()
            }
        }
        return true
    }
}
