package glenspool.reconcile

import glenspool.core.HeartbeatSource
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobRecord
import glenspool.core.model.ListedMachine
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlin.time.Duration

/**
 * The number of differences of each kind, and how many of the adopted placements are confirmed.
 *
 * @property byKind only kinds that occur
 */
data class DifferenceTotals(val byKind: Map<DifferenceKind, Int>, val confirmed: Int, val adopted: Int) {
    /** The number of adopted placements for which it is unknown whether their task still runs. */
    val unconfirmed: Int get() = adopted - confirmed

    /** The number of differences of one kind. */
    operator fun get(kind: DifferenceKind): Int = byKind[kind] ?: 0
}

/**
 * Maintains the views and their differences incrementally. An event causes a new comparison only of the machines that
 * it affects. The result always equals [MachineComparison.all] of the views.
 */
class DifferenceTracker {
    var views = ClusterViews()
        private set
    var findings: PersistentMap<String, MachineFindings> = persistentHashMapOf()
        private set
    private val counts = IntArray(DifferenceKind.entries.size)
    private var confirmed = 0
    private var adopted = 0

    /** Machines whose newest heartbeat names a task of the job, by job. */
    private val machinesByObservedJob = HashMap<String, MutableSet<String>>()

    /** The number of machine comparisons so far, for tests that an event's cost does not grow with the fleet. */
    var comparisonCount = 0L
        private set

    /** Returns the numbers of differences and confirmed placements as of the last comparison. */
    fun totals(): DifferenceTotals {
        val occurring = DifferenceKind.entries.filter { counts[it.ordinal] > 0 }
        return DifferenceTotals(occurring.associateWith { counts[it.ordinal] }, confirmed, adopted)
    }

    /** Applies a job record that was read or stored. [isAdopted]: whether an earlier leader stored it. */
    fun jobStored(record: JobRecord, isAdopted: Boolean) {
        val job = record.spec.id
        val isNew = job !in views.desired.jobs
        val change = views.desired.changeOf(record, isAdopted)
        views = views.copy(desired = views.desired.with(record, change))
        // A new job affects every machine that reports a task of it. A record of a known job affects only the machines
        // that the change names.
        compareAll(if (isNew) machinesOf(job) else machinesAffectedBy(change, record))
    }

    /** Applies a job's cancellation that was read or stored. */
    fun jobCancelled(job: String) = changeJob(job) { it.withCancelled(job) }

    /** Removes a job whose record is no longer in the store. */
    fun jobEnded(job: String) = changeJob(job) { it.without(job) }

    /** Applies a heartbeat. [isTrusted]: whether the worker has received this leader's fencing token. */
    fun machineObserved(heartbeat: Heartbeat, source: HeartbeatSource, isTrusted: Boolean, at: Duration) {
        if (!views.observed.isChange(heartbeat, source, isTrusted)) return
        val before = views.observed.machines[heartbeat.machine]
        val sharingBefore = machinesSharingTasksWith(before)
        views = views.copy(observed = views.observed.with(heartbeat, source, isTrusted, at))
        val after = views.observed.machines[heartbeat.machine]
        updateJobIndex(before, after)
        compareAll(sharingBefore + machinesSharingTasksWith(after) + heartbeat.machine)
    }

    /** Applies a list of the cloud's machines. */
    fun machinesListed(machines: List<ListedMachine>, at: Duration) {
        val before = views.rented
        views = views.copy(rented = before.with(machines, at))
        // The first list affects all machines: those that it names and those that are missing in it.
        if (before.firstReadAt == null) return compareAll(views.machines())
        // Entries that did not change are the same objects as before.
        for ((id, machine) in views.rented.machines) if (before.machines[id] !== machine) compare(id)
    }

    /** Removes a machine that is known to be deleted. */
    fun machineDeleted(machine: String) {
        val before = views.observed.machines[machine]
        val sharing = machinesSharingTasksWith(before)
        updateJobIndex(before, null)
        views = views.copy(observed = views.observed.without(machine), rented = views.rented.without(machine))
        compareAll(sharing + machine)
    }

    private fun changeJob(job: String, change: (DesiredView) -> DesiredView) {
        val before = machinesOf(job)
        views = views.copy(desired = change(views.desired))
        compareAll(before + machinesOf(job))
    }

    private fun machinesAffectedBy(change: JobChange, record: JobRecord): Set<String> {
        val job = record.spec.id
        val affected = HashSet<String>()
        change.removed.mapTo(affected) { it.machine }
        change.added.filter { canCauseDifference(it, record) }.mapTo(affected) { it.machine }
        if (change.finished.isNotEmpty()) {
            machinesOf(job).filterTo(affected) { hasAnyOf(it, job, change.finished) }
        }
        return affected
    }

    /**
     * Whether a new placement can cause a difference. A placement that this leader has just stored can't, unless the
     * machine is unknown or already reports the task, or the task's result is stored.
     */
    private fun canCauseDifference(placement: DesiredPlacement, record: JobRecord): Boolean {
        val observed = views.observed.machines[placement.machine]
        return placement.isAdopted ||
            observed == null ||
            record.done[placement.key.task] ||
            observed.tasks.any { it.key == placement.key }
    }

    /** Whether any of the job's [tasks] is placed on the machine or reported by it. */
    private fun hasAnyOf(machine: String, job: String, tasks: Set<Int>): Boolean {
        val placed = views.desired.tasksByMachine[machine].orEmpty()
        val reported =
            views.observed.machines[machine]
                ?.tasks
                .orEmpty()
        return placed.any { it.job == job && it.task in tasks } ||
            reported.any { it.key.job == job && it.key.task in tasks }
    }

    /** Returns the machines that have a stored placement of the job or report a task of it. */
    private fun machinesOf(job: String): Set<String> {
        val placements =
            views.desired.jobs[job]
                ?.placements
                ?.values
                .orEmpty()
        return placements.mapTo(HashSet()) { it.machine } + machinesByObservedJob[job].orEmpty()
    }

    private fun updateJobIndex(before: ObservedMachine?, after: ObservedMachine?) {
        val jobsBefore = before?.tasks.orEmpty().mapTo(HashSet()) { it.key.job }
        val jobsAfter = after?.tasks.orEmpty().mapTo(HashSet()) { it.key.job }
        for (job in jobsBefore - jobsAfter) {
            val machines = machinesByObservedJob[job] ?: continue
            machines.remove(checkNotNull(before).id)
            if (machines.isEmpty()) machinesByObservedJob.remove(job)
        }
        for (job in jobsAfter - jobsBefore) {
            machinesByObservedJob.getOrPut(job) { HashSet() }.add(checkNotNull(after).id)
        }
    }

    /** Returns all machines that report a task which both this machine and another one report. */
    private fun machinesSharingTasksWith(machine: ObservedMachine?): Set<String> {
        if (machine == null) return emptySet()
        val shared = machine.tasks.mapNotNull { views.observed.claims[it.key] }.filter { it.size > 1 }
        return if (shared.isEmpty()) emptySet() else shared.flatMapTo(HashSet()) { it }
    }

    private fun compareAll(machines: Set<String>) = machines.forEach(::compare)

    private fun compare(machine: String) {
        comparisonCount++
        count(findings[machine] ?: MachineFindings.NONE, -1)
        val updated = MachineComparison.compare(machine, views)
        findings = if (updated.isEmpty) findings.remove(machine) else findings.put(machine, updated)
        count(updated, 1)
    }

    private fun count(machineFindings: MachineFindings, sign: Int) {
        machineFindings.differences.forEach { counts[it.kind.ordinal] += sign }
        confirmed += machineFindings.confirmed * sign
        adopted += machineFindings.adopted * sign
    }
}
