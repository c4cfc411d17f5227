package glenspool.reconcile

import glenspool.core.model.Heartbeat
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import kotlin.time.Duration

/**
 * The tasks that machines report and whose job is not stored, as far as this leader has read the store. Only a read of
 * the store that was sent after the task was first reported proves that the job is absent.
 *
 * Used only by the scheduler's thread, except for [needsStoreReads].
 */
internal class UnrecordedTasks(startedAt: Duration) {
    private data class ReportedTask(val machine: String, val task: TaskKey)

    /** The jobs that this leader has read and that have not ended. */
    private val knownJobs = HashSet<String>()

    /** When each task was first reported. */
    private val reportedSince = HashMap<ReportedTask, Duration>()

    /** This leader has read everything that was stored before this time. */
    private var storeReadUpTo = startedAt

    /** Whether [recordStoreRead] has to be called after every read of the store; may be read by any thread. */
    @Volatile
    var needsStoreReads = false
        private set

    fun jobRead(job: String) {
        knownJobs.add(job)
    }

    fun jobEnded(job: String) {
        knownJobs.remove(job)
    }

    fun machineObserved(heartbeat: Heartbeat, at: Duration) {
        if (heartbeat.tasks.isEmpty() && reportedSince.isEmpty()) return
        val reported =
            heartbeat.tasks
                .filter { it.key.job !in knownJobs && it.state != TaskState.EXITED }
                .mapTo(HashSet()) { ReportedTask(heartbeat.machine, it.key) }
        if (reported.isEmpty() && reportedSince.isEmpty()) return
        reportedSince.keys.removeIf { it.machine == heartbeat.machine && it !in reported }
        reported.forEach { reportedSince.putIfAbsent(it, at) }
        needsStoreReads = reportedSince.isNotEmpty()
    }

    fun machineDeleted(machine: String) {
        reportedSince.keys.removeIf { it.machine == machine }
    }

    /** Records that everything stored before [sentAt] has been read and applied. */
    fun recordStoreRead(sentAt: Duration) {
        storeReadUpTo = maxOf(storeReadUpTo, sentAt)
    }

    /** Whether a read that was sent after the task was first reported has shown that the task's job is absent. */
    fun isProvedUnrecorded(machine: String, task: TaskKey): Boolean {
        val since = reportedSince[ReportedTask(machine, task)] ?: return false
        return storeReadUpTo > since
    }

    fun clear() {
        reportedSince.clear()
        needsStoreReads = false
        knownJobs.clear()
    }
}
