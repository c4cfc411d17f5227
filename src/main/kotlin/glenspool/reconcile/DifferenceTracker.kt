package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration

/** How many differences there are of each kind, and how much of what was adopted is confirmed. */
data class DifferenceTotals(val byKind: Map<DifferenceKind, Int>, val confirmed: Int, val adopted: Int) {
    operator fun get(kind: DifferenceKind): Int = byKind[kind] ?: 0
}

/**
 * Keeps the views and what comparing them shows, event by event: only machines that an event concerns are compared
 * again. The result always equals [MachineComparison.all] of the views.
 */
class DifferenceTracker {
    var views = ClusterViews()
        private set
    var findings: PersistentMap<String, MachineFindings> = persistentHashMapOf()
        private set
    private val counts = IntArray(DifferenceKind.entries.size)
    private var confirmed = 0
    private var adopted = 0

    /** Machines that were compared, so that tests can see that the work of an event does not grow with the fleet. */
    var comparisons = 0L
        private set

    fun totals() =
        DifferenceTotals(
            DifferenceKind.entries
                .filter {
                    counts[it.ordinal] > 0
                }.associateWith { counts[it.ordinal] },
            confirmed, adopted,
        )

    fun jobStored(record: JobRecord, adopted: Boolean) {
        val isNew = record.spec.id !in views.desired.jobs
        val change = views.desired.changeOf(record, adopted)
        views = views.copy(desired = views.desired.with(record, change))
        // A new job concerns every machine that shows tasks of it; a known one only where something is different now.
        if (isNew) return compareAll(machinesOf(record.spec.id))
        val concerned = HashSet<String>()
        change.removed.mapTo(concerned) { it.machine }
        change.added.filter { matters(it, record) }.mapTo(concerned) { it.machine }
        if (change.finished.isNotEmpty()) {
            machinesOf(record.spec.id).filterTo(concerned) {
                concernsAny(it, record.spec.id, change.finished)
            }
        }
        compareAll(concerned)
    }

    fun jobCancelled(job: String) = changeJob(job) { it.withCancelled(job) }

    fun jobEnded(job: String) = changeJob(job) { it.without(job) }

    /**
     * A place that this leader has just stored differs from nothing, unless the task is there already or its result is
     * stored.
     */
    private fun matters(place: StoredPlace, record: JobRecord): Boolean {
        val observed = views.observed.machines[place.machine]
        return place.adopted ||
            observed == null ||
            record.done[place.key.task] ||
            observed.tasks.any { it.key == place.key }
    }

    private fun concernsAny(machine: String, job: String, tasks: Set<Int>): Boolean =
        views.desired.placesOn[machine]
            .orEmpty()
            .any { it.job == job && it.task in tasks } ||
            views.observed.machines[machine]
                ?.tasks
                .orEmpty()
                .any { it.key.job == job && it.key.task in tasks }

    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, trusted: Boolean, at: Duration) {
        if (!views.observed.isNews(heartbeat, source, trusted)) return
        val before = views.observed.machines[heartbeat.machine]
        val sharedBefore = sharing(before)
        views = views.copy(observed = views.observed.with(heartbeat, source, trusted, at))
        val now = views.observed.machines[heartbeat.machine]
        index(before, now)
        compareAll(sharedBefore + sharing(now) + heartbeat.machine)
    }

    fun machinesListed(machines: List<ListedMachine>, at: Duration) {
        val before = views.rented
        views = views.copy(rented = before.with(machines, at))
        // The first list tells of machines that are named by it and of those that it does not name.
        if (before.firstReadAt == null) return compareAll(views.machines())
        // Most entries are the very same object as before.
        for ((id, machine) in views.rented.machines) if (before.machines[id] !== machine) compare(id)
    }

    fun machineDeleted(machine: String) {
        val before = views.observed.machines[machine]
        val shared = sharing(before)
        index(before, null)
        views = views.copy(observed = views.observed.without(machine), rented = views.rented.without(machine))
        compareAll(shared + machine)
    }

    private fun changeJob(job: String, change: (DesiredView) -> DesiredView) {
        val before = machinesOf(job)
        views = views.copy(desired = change(views.desired))
        compareAll(before + machinesOf(job))
    }

    /** Machines that have a stored place of the job, or show a task of it. */
    private fun machinesOf(job: String): Set<String> {
        val known = views.desired.jobs[job]
        val places = known?.places?.values.orEmpty()
        return places.mapTo(HashSet()) { it.machine } + showing(job)
    }

    private fun showing(job: String): Set<String> = machinesShowing[job].orEmpty()

    /** Machines whose newest report names a task of the job. */
    private val machinesShowing = HashMap<String, MutableSet<String>>()

    private fun index(before: ObservedMachine?, now: ObservedMachine?) {
        val old = before?.tasks.orEmpty().mapTo(HashSet()) { it.key.job }
        val new = now?.tasks.orEmpty().mapTo(HashSet()) { it.key.job }
        for (job in old - new) {
            val machines = machinesShowing[job] ?: continue
            machines.remove(checkNotNull(before).id)
            if (machines.isEmpty()) machinesShowing.remove(job)
        }
        for (job in new - old) machinesShowing.getOrPut(job) { HashSet() }.add(checkNotNull(now).id)
    }

    /** Other machines that claim a task that this one shows. */
    private fun sharing(machine: ObservedMachine?): Set<String> {
        if (machine == null) return emptySet()
        val several = machine.tasks.mapNotNull { views.observed.claims[it.key] }.filter { it.size > 1 }
        return if (several.isEmpty()) emptySet() else several.flatMapTo(HashSet()) { it }
    }

    private fun compareAll(machines: Set<String>) = machines.forEach(::compare)

    private fun compare(machine: String) {
        comparisons++
        count(findings[machine] ?: MachineFindings.NONE, -1)
        val fresh = MachineComparison.compare(machine, views)
        findings = if (fresh.isEmpty) findings.remove(machine) else findings.put(machine, fresh)
        count(fresh, 1)
    }

    private fun count(found: MachineFindings, sign: Int) {
        found.differences.forEach { counts[it.kind.ordinal] += sign }
        confirmed += found.confirmed * sign
        adopted += found.adopted * sign
    }
}
