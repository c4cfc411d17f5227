package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/**
 * Queue of observations that the [tracker] has not compared yet. In the first seconds after a cold start a small
 * machine has no processor time to spare for comparisons, so they are spread over later ticks. Of several heartbeats of
 * one machine only the newest is kept.
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
        // That the worker sent a heartbeat by itself still holds if a later reply to a request replaces it here.
        val isQueuedFromWorker = observations[heartbeat.machine]?.source == HeartbeatSource.WORKER
        val effectiveSource = if (isQueuedFromWorker) HeartbeatSource.WORKER else source
        observations[heartbeat.machine] = Observation(heartbeat, effectiveSource, isTrusted, at)
    }

    /** Queues a list of the cloud in place of an older one. */
    fun machinesListed(machines: List<ListedMachine>, at: Duration) {
        listUpdate = { tracker.machinesListed(machines, at) }
    }

    /** A deletion is certain, and is applied at once. */
    fun machineDeleted(machine: String) {
        observations.remove(machine)
        tracker.machineDeleted(machine)
    }

    /** Applies at most [limit] updates to the tracker. */
    fun apply(limit: Int) {
        repeat(limit) { if (!applyNext()) return }
    }

    /** Applies one update: jobs first, then machines, then the cloud's list. False if there was none. */
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
