package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import glenspool.core.model.MachineStage
import glenspool.core.model.StoredPlacement
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import java.util.BitSet
import kotlin.time.Duration

/**
 * Where the state service says that a task belongs. [adopted]: an earlier leader stored it, so that this one has to
 * find out whether the task is there; what this leader stores itself it follows by its own commands.
 */
data class StoredPlace(val key: TaskKey, val attempt: Long, val machine: String, val adopted: Boolean)

/** A live job as it is stored. [done] is never changed once it is here. */
data class DesiredJob(
    val id: String,
    val kind: JobKind,
    val done: BitSet,
    val cancelled: Boolean,
    val places: PersistentMap<Int, StoredPlace>,
)

/**
 * What a record that was stored anew changes: places that are no more, that are new, and tasks whose result is stored
 * now.
 */
data class JobChange(val removed: List<StoredPlace>, val added: List<StoredPlace>, val finished: Set<Int>)

/** What should be: the stored jobs, and their places by machine. */
data class DesiredView(
    val jobs: PersistentMap<String, DesiredJob> = persistentHashMapOf(),
    val placesOn: PersistentMap<String, PersistentSet<TaskKey>> = persistentHashMapOf(),
) {
    fun placeOf(key: TaskKey): StoredPlace? = jobs[key.job]?.places?.get(key.task)

    /** What [record] changes of the job. [adopted]: whether its new places were stored by an earlier leader. */
    fun changeOf(record: JobRecord, adopted: Boolean): JobChange {
        val before = jobs[record.spec.id]
        val newest = newestIntents(record)
        val added =
            newest.values
                .filterNot {
                    it.isSameAs(before?.places?.get(it.task))
                }.map { StoredPlace(TaskKey(record.spec.id, it.task), it.attempt, it.machine, adopted) }
        val removed =
            before?.places?.values.orEmpty().filterNot { place ->
                newest[place.key.task].let {
                    it != null &&
                        it.isSameAs(place)
                }
            }
        return JobChange(removed, added, finished(before, record))
    }

    /** The view with the job as [record] has it. */
    fun with(record: JobRecord, change: JobChange): DesiredView {
        val id = record.spec.id
        val before = jobs[id]
        val places =
            (before?.places ?: persistentHashMapOf()).mutate { result ->
                change.removed.forEach { result.remove(it.key.task) }
                change.added.forEach { result[it.key.task] = it }
            }
        val index =
            placesOn.mutate { result ->
                change.removed.forEach { result.removeFrom(it.machine, it.key) }
                change.added.forEach { result[it.machine] = (result[it.machine] ?: persistentHashSetOf()).add(it.key) }
            }
        return DesiredView(
            jobs
                .put(id, DesiredJob(id, record.spec.kind, record.done, before?.cancelled ?: false, places)),
            index,
        )
    }

    fun withCancelled(job: String): DesiredView {
        val known = jobs[job] ?: return this
        return copy(jobs = jobs.put(job, known.copy(cancelled = true)))
    }

    fun without(job: String): DesiredView {
        val known = jobs[job] ?: return this
        val index = placesOn.mutate { result -> known.places.values.forEach { result.removeFrom(it.machine, it.key) } }
        return DesiredView(jobs.remove(job), index)
    }

    /**
     * Parts of a record are not all stored at the same moment: of two places of a task the one with the higher attempt
     * counts.
     */
    private fun newestIntents(record: JobRecord): Map<Int, StoredPlacement> {
        val result = HashMap<Int, StoredPlacement>()

        fun take(placement: StoredPlacement) =
            result.merge(placement.task, placement) { one, other ->
                if (other.attempt >
                    one.attempt
                ) {
                    other
                } else {
                    one
                }
            }
        record.placements.forEach(::take)
        record.placementParts.values.forEach { part -> part.forEach(::take) }
        return result
    }

    private fun StoredPlacement.isSameAs(place: StoredPlace?) = place != null && place.attempt == attempt && place.machine == machine

    private fun finished(before: DesiredJob?, record: JobRecord): Set<Int> {
        if (before == null || before.done == record.done) return emptySet()
        val fresh = record.done.clone() as BitSet
        fresh.xor(before.done)
        return fresh.stream().toArray().toHashSet()
    }
}

/**
 * A machine as its newest report shows it. [trusted]: the worker has seen this leader's token, so what the report does
 * not show is not there. [observedAt]: since when it has shown this. [lastHeartbeatAt]: when a report of its own first
 * came; null: it only answered questions or commands.
 */
data class ObservedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val incarnation: Long,
    val sequence: Long,
    val trusted: Boolean,
    val tasks: List<TaskStatus>,
    val observedAt: Duration,
    val lastHeartbeatAt: Duration?,
) {
    /** The tasks that are on the machine now. */
    val present: List<TaskStatus> get() = tasks.filter { it.state != TaskState.EXITED }
}

/** What was seen of machines in this term, and which machines claim a task. */
data class ObservedView(
    val machines: PersistentMap<String, ObservedMachine> = persistentHashMapOf(),
    val claims: PersistentMap<TaskKey, PersistentSet<String>> = persistentHashMapOf(),
) {
    fun with(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration): ObservedView {
        val before = machines[heartbeat.machine]
        val own = before?.lastHeartbeatAt ?: at.takeIf { source == HeartbeatSource.WORKER }
        val machine =
            ObservedMachine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.incarnation, heartbeat.sequence, trusted, heartbeat.tasks, at, own)
        return ObservedView(machines.put(machine.id, machine), claimed(claims.without(before), machine))
    }

    /** Whether the report shows anything that is not known of its machine. */
    fun isNews(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean): Boolean {
        val before = machines[heartbeat.machine] ?: return true
        val firstOwn = source == HeartbeatSource.WORKER && before.lastHeartbeatAt == null
        return firstOwn || before.trusted != trusted || before.incarnation != heartbeat.incarnation || before.tasks != heartbeat.tasks
    }

    fun without(machine: String): ObservedView {
        val before = machines[machine] ?: return this
        return ObservedView(machines.remove(machine), claims.without(before))
    }

    private fun claimed(
        index: PersistentMap<TaskKey, PersistentSet<String>>,
        machine: ObservedMachine,
    ): PersistentMap<TaskKey, PersistentSet<String>> {
        if (machine.tasks.isEmpty()) return index
        return index.mutate { result ->
            for (task in machine.present) result[task.key] = (result[task.key] ?: persistentHashSetOf()).add(machine.id)
        }
    }

    private fun PersistentMap<TaskKey, PersistentSet<String>>.without(
        machine: ObservedMachine?,
    ): PersistentMap<TaskKey, PersistentSet<String>> {
        if (machine == null || machine.tasks.isEmpty()) return this
        return mutate { result -> machine.present.forEach { result.removeFrom(it.key, machine.id) } }
    }
}

private fun <K, V> MutableMap<K, PersistentSet<V>>.removeFrom(key: K, value: V) {
    val left = this[key]?.remove(value) ?: return
    if (left.isEmpty()) remove(key) else this[key] = left
}

/**
 * A machine as the cloud lists it. [unlistedSince]: when a list first came without it, after one that had it; lists
 * lag.
 */
data class RentedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val stage: MachineStage,
    val unlistedSince: Duration?,
)

/** What is paid for. [firstReadAt]: when the first list of this term came; null: none did. */
data class RentedView(
    val machines: PersistentMap<String, RentedMachine> = persistentHashMapOf(),
    val firstReadAt: Duration? = null,
) {
    /** The view after another list. Only machines that differ are entered anew. */
    fun with(list: List<ListedMachine>, at: Duration): RentedView {
        val listed = list.mapTo(HashSet(list.size * 2)) { it.id }
        val next =
            machines.mutate { result ->
                for (machine in list) {
                    val entry = RentedMachine(machine.id, machine.type, machine.zone, machine.stage, null)
                    if (result[machine.id] != entry) result[machine.id] = entry
                }
                for (gone in machines.values) {
                    if (gone.unlistedSince == null &&
                        gone.id !in listed
                    ) {
                        result[gone.id] = gone.copy(unlistedSince = at)
                    }
                }
            }
        return RentedView(next, firstReadAt ?: at)
    }

    fun without(machine: String): RentedView = copy(machines = machines.remove(machine))
}

/**
 * Desired, observed and rented state at one moment. Immutable: whoever holds it sees that moment, whatever comes after.
 */
data class ClusterViews(
    val desired: DesiredView = DesiredView(),
    val observed: ObservedView = ObservedView(),
    val rented: RentedView = RentedView(),
) {
    /** All machines that any of the views knows. */
    fun machines(): Set<String> = desired.placesOn.keys + observed.machines.keys + rented.machines.keys
}
