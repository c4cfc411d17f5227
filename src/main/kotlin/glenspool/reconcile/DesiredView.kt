package glenspool.reconcile

import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import java.util.BitSet

/**
 * A stored placement of a task.
 *
 * @property isAdopted whether an earlier leader stored the placement, so that this leader has to find out whether the
 *   task is on the machine; it tracks placements that it stored itself by the commands that it sent
 */
data class DesiredPlacement(val key: TaskKey, val attempt: Long, val machine: String, val isAdopted: Boolean)

/**
 * A stored job that has not ended.
 *
 * @property done the tasks whose result is stored; never modified after this object was created
 * @property placements by task index
 */
data class DesiredJob(
    val id: String,
    val kind: JobKind,
    val done: BitSet,
    val isCancelled: Boolean,
    val placements: PersistentMap<Int, DesiredPlacement>,
)

/**
 * The changes that a newly stored job record makes to its job.
 *
 * @property finished indices of tasks whose result is stored now but was not before
 */
data class JobChange(val removed: List<DesiredPlacement>, val added: List<DesiredPlacement>, val finished: Set<Int>)

/** The desired state: the stored jobs, and the keys of their placed tasks by machine. */
data class DesiredView(
    val jobs: PersistentMap<String, DesiredJob> = persistentHashMapOf(),
    val tasksByMachine: PersistentMap<String, PersistentSet<TaskKey>> = persistentHashMapOf(),
) {
    /** Returns the task's placement, or null if it has none. */
    fun placementOf(key: TaskKey): DesiredPlacement? = jobs[key.job]?.placements?.get(key.task)

    /** Returns the placements of all tasks on the machine. */
    fun placementsOn(machine: String): List<DesiredPlacement> {
        val tasks = tasksByMachine[machine].orEmpty()
        return tasks.mapNotNull { placementOf(it) }
    }

    /** Returns what [record] changes in its job. [isAdopted]: whether an earlier leader stored its new placements. */
    fun changeOf(record: JobRecord, isAdopted: Boolean): JobChange {
        val id = record.spec.id
        val before = jobs[id]
        val newest = newestPlacements(record)
        val added =
            newest.values
                .filterNot { it.isSameAs(before?.placements?.get(it.task)) }
                .map { DesiredPlacement(TaskKey(id, it.task), it.attempt, it.machine, isAdopted) }
        val removed =
            before
                ?.placements
                ?.values
                .orEmpty()
                .filterNot { newest[it.key.task]?.isSameAs(it) ?: false }
        return JobChange(removed, added, newlyFinished(before, record))
    }

    /** Returns the view after [record] was stored. [change]: the result of [changeOf] for the record. */
    fun with(record: JobRecord, change: JobChange): DesiredView {
        val id = record.spec.id
        val before = jobs[id]
        val placements =
            (before?.placements ?: persistentHashMapOf()).mutate { result ->
                change.removed.forEach { result.remove(it.key.task) }
                change.added.forEach { result[it.key.task] = it }
            }
        val tasks =
            tasksByMachine.mutate { result ->
                change.removed.forEach { result.removeFrom(it.machine, it.key) }
                change.added.forEach { result.addTo(it.machine, it.key) }
            }
        val job = DesiredJob(id, record.spec.kind, record.done, before?.isCancelled ?: false, placements)
        return DesiredView(jobs.put(id, job), tasks)
    }

    /** Returns the view after the job was cancelled. */
    fun withCancelled(job: String): DesiredView {
        val existing = jobs[job] ?: return this
        return copy(jobs = jobs.put(job, existing.copy(isCancelled = true)))
    }

    /** Returns the view after the job's record was removed. */
    fun without(job: String): DesiredView {
        val existing = jobs[job] ?: return this
        val tasks =
            tasksByMachine.mutate { result ->
                existing.placements.values.forEach { result.removeFrom(it.machine, it.key) }
            }
        return DesiredView(jobs.remove(job), tasks)
    }

    /**
     * Returns the placements of a record by task. The parts of a record are not all stored at the same time, so a task
     * may have two placements, of which the one with the higher attempt counts.
     */
    private fun newestPlacements(record: JobRecord): Map<Int, StoredPlacement> {
        val result = HashMap<Int, StoredPlacement>()

        fun add(placement: StoredPlacement) {
            val existing = result[placement.task]
            if (existing == null || placement.attempt > existing.attempt) result[placement.task] = placement
        }
        record.placements.forEach(::add)
        record.placementParts.values.forEach { part -> part.forEach(::add) }
        return result
    }

    private fun StoredPlacement.isSameAs(other: DesiredPlacement?): Boolean {
        if (other == null) return false
        return other.attempt == attempt && other.machine == machine
    }

    private fun newlyFinished(before: DesiredJob?, record: JobRecord): Set<Int> {
        if (before == null || before.done == record.done) return emptySet()
        val changed = record.done.clone() as BitSet
        changed.xor(before.done)
        return changed.stream().toArray().toHashSet()
    }
}

internal fun <K, V> MutableMap<K, PersistentSet<V>>.addTo(key: K, value: V) {
    this[key] = (this[key] ?: persistentHashSetOf()).add(value)
}

internal fun <K, V> MutableMap<K, PersistentSet<V>>.removeFrom(key: K, value: V) {
    val remaining = this[key]?.remove(value) ?: return
    if (remaining.isEmpty()) remove(key) else this[key] = remaining
}
