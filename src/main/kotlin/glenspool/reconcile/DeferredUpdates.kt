package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlin.time.Duration

/**
 * What was learnt and is not compared yet. In the first seconds after a cold start a small machine has no processor
 * time to spare for comparing, so that is done by and by; of several reports of a machine only the newest is kept
 * meanwhile.
 */
class DeferredUpdates(private val tracker: DifferenceTracker) {
    private class Observation(val heartbeat: Heartbeat, val source: HeartbeatSource, val trusted: Boolean, val at: Duration)

    private val jobs = ArrayDeque<() -> Unit>()
    private val machines = LinkedHashMap<String, Observation>()
    private var list: (() -> Unit)? = null

    /** How many updates wait. */
    val size: Int get() = jobs.size + machines.size + (if (list == null) 0 else 1)

    fun jobStored(record: JobRecord, adopted: Boolean) = jobs.addLast { tracker.jobStored(record, adopted) }

    fun jobCancelled(job: String) = jobs.addLast { tracker.jobCancelled(job) }

    fun jobEnded(job: String) = jobs.addLast { tracker.jobEnded(job) }

    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) {
        // A report of the worker's own is not forgotten for an answer that came after it.
        val own = source == HeartbeatSource.WORKER || machines[heartbeat.machine]?.source == HeartbeatSource.WORKER
        machines[heartbeat.machine] = Observation(heartbeat, if (own) HeartbeatSource.WORKER else source, trusted, at)
    }

    fun machinesListed(machines: List<ListedMachine>, at: Duration) {
        list = { tracker.machinesListed(machines, at) }
    }

    /** A deletion is certain knowledge and never waits. */
    fun machineDeleted(machine: String) {
        machines.remove(machine)
        tracker.machineDeleted(machine)
    }

    /** Takes in as many as [most]. */
    fun apply(most: Int) {
        repeat(most) { if (!applyNext()) return }
    }

    private fun applyNext(): Boolean {
        val job = jobs.removeFirstOrNull()
        val waiting = machines.values.firstOrNull()
        when {
            job != null -> job()
            waiting != null -> {
                machines.remove(waiting.heartbeat.machine)
                tracker.machineObserved(waiting.heartbeat, waiting.source, waiting.trusted, waiting.at)
            }
            else -> {
                val next = list ?: return false
                list = null
                next()
            }
        }
        return true
    }
}
