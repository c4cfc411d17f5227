package glenspool.reconcile

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.MachineStage
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration

/**
 * The result of comparing the views of one machine.
 *
 * @property confirmed the number of adopted placements whose task the machine reports
 * @property adopted the number of all adopted placements
 */
data class MachineFindings(val differences: List<Difference>, val confirmed: Int, val adopted: Int) {
    val isEmpty: Boolean get() = differences.isEmpty() && adopted == 0

    companion object {
        val NONE = MachineFindings(emptyList(), 0, 0)
    }
}

/** Compares the desired, observed and rented state machine by machine. The result depends on the views only. */
object MachineComparison {
    /** Sorts a machine's differences, because their order must not depend on the order of the observations. */
    private val findingOrder =
        compareBy<Difference>({ it.kind }, { it.task?.job.orEmpty() }, { it.task?.task ?: 0 }, { it.toString() })

    /** Returns the findings of every machine in any of the views; machines without findings are omitted. */
    fun all(views: ClusterViews): Map<String, MachineFindings> {
        val findings = views.machines().associateWith { compare(it, views) }
        return findings.filterValues { !it.isEmpty }
    }

    /** Returns the findings of one machine. */
    fun compare(machine: String, views: ClusterViews): MachineFindings {
        val placements = views.desired.placementsOn(machine)
        val adopted = placements.filter { it.isAdopted }
        val observed = views.observed.machines[machine]
        val differences = ArrayList<Difference>()
        delisted(machine, adopted.isNotEmpty(), views.rented)?.let(differences::add)
        if (observed == null) {
            silent(machine, placements.size, views.rented)?.let(differences::add)
        } else {
            unreporting(observed)?.let(differences::add)
            observed.tasks.flatMapTo(differences) { taskDifferences(observed, it, views) }
            placements.mapNotNullTo(differences) { placementDifference(it, observed, views.desired) }
        }
        // Most machines have at most one difference and need no sorting.
        val sorted = if (differences.size > 1) differences.sortedWith(findingOrder) else differences
        val confirmed = adopted.count { observed != null && observed.reports(it) }
        return MachineFindings(sorted, confirmed, adopted.size)
    }

    private fun evidenceOf(observed: ObservedMachine): Evidence {
        val source = if (observed.firstHeartbeatAt != null) EvidenceSource.REPORT else EvidenceSource.ANSWER
        return Evidence(source, observed.observedAt)
    }

    private fun delisted(machine: String, hasAdoptedPlacement: Boolean, rented: RentedView): Difference? {
        val entry = rented.machines[machine]
        // The cloud's lists lag, so a machine that was never listed counts as delisted only if an earlier leader placed
        // a task on it.
        val since = if (entry != null) entry.unlistedSince else rented.firstReadAt.takeIf { hasAdoptedPlacement }
        return since?.let { DelistedMachine(machine, Evidence(EvidenceSource.CLOUD_LIST, it)) }
    }

    private fun silent(machine: String, placements: Int, rented: RentedView): Difference? {
        val entry = rented.machines[machine]
        val isUp = entry != null && entry.stage == MachineStage.RUNNING && entry.unlistedSince == null
        if (placements == 0 && !isUp) return null
        val evidence =
            if (placements > 0) {
                Evidence(EvidenceSource.STATE_SERVICE, Duration.ZERO)
            } else {
                Evidence(EvidenceSource.CLOUD_LIST, rented.firstReadAt ?: Duration.ZERO)
            }
        return SilentMachine(machine, placements, evidence)
    }

    private fun unreporting(observed: ObservedMachine): Difference? {
        if (observed.firstHeartbeatAt != null) return null
        return UnreportingMachine(observed.id, evidenceOf(observed))
    }

    private fun taskDifferences(observed: ObservedMachine, task: TaskStatus, views: ClusterViews): List<Difference> {
        val job = views.desired.jobs[task.key.job]
        if (task.state == TaskState.EXITED) return listOfNotNull(unrecordedResult(observed, task, job))
        return listOfNotNull(cancelledOrOrphaned(observed, task, job), duplicate(observed, task, views.observed))
    }

    private fun unrecordedResult(observed: ObservedMachine, task: TaskStatus, job: DesiredJob?): Difference? {
        if (task.exit != ExitReason.DONE || job == null) return null
        val isResultExpected = job.kind != JobKind.SERVICE && !job.isCancelled && !job.done[task.key.task]
        return if (isResultExpected) UnrecordedResult(observed.id, task.key, evidenceOf(observed)) else null
    }

    private fun cancelledOrOrphaned(observed: ObservedMachine, task: TaskStatus, job: DesiredJob?): Difference? {
        if (job?.isCancelled == true) return CancelledTask(observed.id, task.key, evidenceOf(observed))
        val placement = job?.placements?.get(task.key.task)
        val isPlacedHere = placement != null && placement.machine == observed.id && placement.attempt == task.attempt
        if (isPlacedHere) return null
        return OrphanTask(observed.id, task.key, task.attempt, isJobRecorded = job != null, evidenceOf(observed))
    }

    private fun duplicate(observed: ObservedMachine, task: TaskStatus, view: ObservedView): Difference? {
        val claimants = view.claims[task.key] ?: return null
        if (claimants.size <= 1) return null
        return DuplicateTask(observed.id, task.key, claimants.toSortedSet(), evidenceOf(observed))
    }

    private fun placementDifference(
        placement: DesiredPlacement,
        observed: ObservedMachine,
        desired: DesiredView,
    ): Difference? {
        val key = placement.key
        val job = desired.jobs[key.job] ?: return null
        if (job.done[key.task]) {
            val evidence = Evidence(EvidenceSource.STATE_SERVICE, observed.observedAt)
            return ObsoletePlacement(placement.machine, key, evidence)
        }
        // Until the worker has received this leader's fencing token, a start command of an earlier leader may still
        // reach it, so the task does not count as missing.
        val isProvedMissing = placement.isAdopted && observed.isTrusted && !observed.reports(placement)
        if (!isProvedMissing || job.isCancelled) return null
        return MissingTask(placement.machine, key, placement.attempt, evidenceOf(observed))
    }

    private fun ObservedMachine.reports(placement: DesiredPlacement): Boolean =
        tasks.any {
            it.key == placement.key &&
                it.attempt == placement.attempt
        }
}
