package glenspool.reconcile

import glenspool.core.ReportSource
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.Report
import glenspool.core.model.ReportedTask
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.toPersistentHashMap
import java.util.BitSet
import kotlin.time.Duration

/**
 * Where the state service says that a task belongs. [adopted]: an earlier leader stored it, so that this one has to find out whether
 * the task is there; what this leader stores itself it follows by its own commands.
 */
data class StoredPlace(val key: TaskKey, val attempt: Long, val machine: String, val adopted: Boolean)

/** A live job as it is stored. [done] is never changed once it is here. */
data class DesiredJob(val id: String, val kind: JobKind, val done: BitSet, val cancelled: Boolean, val places: PersistentMap<Int, StoredPlace>)

/** What should be: the stored jobs, and their places by machine. */
data class DesiredView(
    val jobs: PersistentMap<String, DesiredJob> = persistentHashMapOf(),
    val placesOn: PersistentMap<String, PersistentSet<TaskKey>> = persistentHashMapOf(),
) {
    fun placeOf(key: TaskKey): StoredPlace? = jobs[key.job]?.places?.get(key.task)

    /** The view with the job as [record] has it. [adopted]: whether its places were stored by an earlier leader. */
    fun with(record: JobRecord, adopted: Boolean): DesiredView {
        val id = record.spec.id
        val before = jobs[id]
        val places = placesOf(record, adopted, before)
        val job = DesiredJob(id, record.spec.kind, record.done, before?.cancelled ?: false, places)
        val index = placed(placesOn.without(before), places.values)
        return DesiredView(jobs.put(id, job), index)
    }

    fun withCancelled(job: String): DesiredView {
        val known = jobs[job] ?: return this
        return copy(jobs = jobs.put(job, known.copy(cancelled = true)))
    }

    fun without(job: String): DesiredView {
        val known = jobs[job] ?: return this
        return DesiredView(jobs.remove(job), placesOn.without(known))
    }

    private fun placesOf(record: JobRecord, adopted: Boolean, before: DesiredJob?): PersistentMap<Int, StoredPlace> {
        // Parts of a record are not all stored at the same moment: of two places of a task the one with the higher attempt counts.
        val newest = (record.intents + record.shelved.values.flatten()).groupBy { it.task }.mapValues { (_, all) -> all.maxBy { it.attempt } }
        return newest.mapValues { (task, intent) ->
            val old = before?.places?.get(task)
            val same = old != null && old.attempt == intent.attempt && old.machine == intent.machine
            if (same) checkNotNull(old) else StoredPlace(TaskKey(record.spec.id, task), intent.attempt, intent.machine, adopted)
        }.toPersistentHashMap()
    }

    private fun placed(index: PersistentMap<String, PersistentSet<TaskKey>>, places: Collection<StoredPlace>): PersistentMap<String, PersistentSet<TaskKey>> {
        var result = index
        for (place in places) result = result.put(place.machine, (result[place.machine] ?: persistentHashSetOf()).add(place.key))
        return result
    }

    private fun PersistentMap<String, PersistentSet<TaskKey>>.without(job: DesiredJob?): PersistentMap<String, PersistentSet<TaskKey>> {
        var result = this
        for (place in job?.places?.values.orEmpty()) {
            val left = result[place.machine]?.remove(place.key) ?: continue
            result = if (left.isEmpty()) result.remove(place.machine) else result.put(place.machine, left)
        }
        return result
    }
}

/**
 * A machine as its newest report shows it. [trusted]: the worker has seen this leader's token, so what the report does not show is
 * not there. [reportedAt]: when a report of its own last came; null: it only answered questions or commands.
 */
data class ObservedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val session: Long,
    val sequence: Long,
    val trusted: Boolean,
    val tasks: List<ReportedTask>,
    val observedAt: Duration,
    val reportedAt: Duration?,
) {
    /** The tasks that are on the machine now. */
    val present: List<ReportedTask> get() = tasks.filter { it.state != TaskState.EXITED }
}

/** What was seen of machines in this term, and which machines claim a task. */
data class ObservedView(
    val machines: PersistentMap<String, ObservedMachine> = persistentHashMapOf(),
    val claims: PersistentMap<TaskKey, PersistentSet<String>> = persistentHashMapOf(),
) {
    fun with(report: Report, source: ReportSource, trusted: Boolean, at: Duration): ObservedView {
        val before = machines[report.machine]
        val own = if (source == ReportSource.WORKER) at else before?.reportedAt
        val machine = ObservedMachine(report.machine, report.type, report.zone, report.session, report.seq, trusted, report.tasks, at, own)
        return ObservedView(machines.put(machine.id, machine), claimed(claims.without(before), machine))
    }

    fun without(machine: String): ObservedView {
        val before = machines[machine] ?: return this
        return ObservedView(machines.remove(machine), claims.without(before))
    }

    private fun claimed(index: PersistentMap<TaskKey, PersistentSet<String>>, machine: ObservedMachine): PersistentMap<TaskKey, PersistentSet<String>> {
        var result = index
        for (task in machine.present) result = result.put(task.key, (result[task.key] ?: persistentHashSetOf()).add(machine.id))
        return result
    }

    private fun PersistentMap<TaskKey, PersistentSet<String>>.without(machine: ObservedMachine?): PersistentMap<TaskKey, PersistentSet<String>> {
        var result = this
        for (task in machine?.present.orEmpty()) {
            val left = result[task.key]?.remove(checkNotNull(machine).id) ?: continue
            result = if (left.isEmpty()) result.remove(task.key) else result.put(task.key, left)
        }
        return result
    }
}

/** A machine as the cloud lists it. [missingSince]: when a list first came without it, after one that had it; lists lag. */
data class RentedMachine(val id: String, val type: String, val zone: String, val stage: MachineStage, val missingSince: Duration?)

/** What is paid for. [firstReadAt]: when the first list of this term came; null: none did. */
data class RentedView(val machines: PersistentMap<String, RentedMachine> = persistentHashMapOf(), val firstReadAt: Duration? = null) {
    /** The view after another list. Only machines that differ are entered anew. */
    fun with(list: List<ListedMachine>, at: Duration): RentedView {
        var result = machines
        val listed = HashSet<String>()
        for (machine in list) {
            listed.add(machine.id)
            val entry = RentedMachine(machine.id, machine.type, machine.zone, machine.stage, null)
            if (result[machine.id] != entry) result = result.put(machine.id, entry)
        }
        for (gone in machines.values) if (gone.id !in listed && gone.missingSince == null) result = result.put(gone.id, gone.copy(missingSince = at))
        return RentedView(result, firstReadAt ?: at)
    }

    fun without(machine: String): RentedView = copy(machines = machines.remove(machine))
}

/** Desired, observed and rented state at one moment. Immutable: whoever holds it sees that moment, whatever comes after. */
data class ClusterViews(val desired: DesiredView = DesiredView(), val observed: ObservedView = ObservedView(), val rented: RentedView = RentedView()) {
    /** All machines that any of the views knows. */
    fun machines(): Set<String> = desired.placesOn.keys + observed.machines.keys + rented.machines.keys
}
