package glenspool.reconcile

import glenspool.core.model.ExitReason
import glenspool.core.model.JobKind
import glenspool.core.model.MachineStage
import glenspool.core.model.TaskKey
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import kotlin.time.Duration

/**
 * What comparing the views showed of one machine. [confirmed]: adopted places whose task is there; [adopted]: all
 * adopted places.
 */
data class MachineFindings(val differences: List<Difference>, val confirmed: Int, val adopted: Int) {
    val isEmpty: Boolean get() = differences.isEmpty() && adopted == 0

    companion object {
        val NONE = MachineFindings(emptyList(), 0, 0)
    }
}

/** Compares desired, observed and rented state, machine by machine. Nothing here depends on anything but the views. */
object MachineComparison {
    /** The findings at every machine that any view knows; machines without findings are left out. */
    fun all(views: ClusterViews): Map<String, MachineFindings> = views.machines().associateWith { compare(it, views) }.filterValues { !it.isEmpty }

    fun compare(machine: String, views: ClusterViews): MachineFindings {
        val places =
            views.desired.placesOn[machine]
                .orEmpty()
                .mapNotNull { views.desired.placeOf(it) }
        val observed = views.observed.machines[machine]
        val differences = ArrayList<Difference>()
        machinesListed(machine, places.any { it.adopted }, views)?.let(differences::add)
        if (observed == null) {
            unheard(machine, places.size, views)?.let(differences::add)
        } else {
            if (observed.lastHeartbeatAt ==
                null
            ) {
                differences.add(UnreportingMachine(machine, Evidence(EvidenceSource.ANSWER, observed.observedAt)))
            }
            observed.tasks.flatMapTo(differences) { heartbeatReceived(observed, it, views) }
            places.mapNotNullTo(differences) { missing(it, observed, views) }
        }
        val adopted = places.filter { it.adopted }
        // Most machines are as they should be.
        val sorted = if (differences.size > 1) differences.sortedWith(order) else differences
        return MachineFindings(sorted, adopted.count { observed != null && isPresent(it, observed) }, adopted.size)
    }

    /** Findings are lists whose order must not depend on the order in which things were learnt. */
    private val order =
        compareBy<Difference>({ it.kind }, { it.task?.job.orEmpty() }, { it.task?.task ?: 0 }, { it.toString() })

    private fun evidenceOf(observed: ObservedMachine) = Evidence(if (observed.lastHeartbeatAt != null) EvidenceSource.REPORT else EvidenceSource.ANSWER, observed.observedAt)

    private fun machinesListed(machine: String, placed: Boolean, views: ClusterViews): Difference? {
        val rented = views.rented
        val entry = rented.machines[machine]
        // Lists lag: one that was never listed is noted only if an earlier leader's place names it.
        val since = if (entry != null) entry.unlistedSince else rented.firstReadAt.takeIf { placed }
        return if (since != null) DelistedMachine(machine, Evidence(EvidenceSource.CLOUD_LIST, since)) else null
    }

    private fun unheard(machine: String, places: Int, views: ClusterViews): Difference? {
        val entry = views.rented.machines[machine]
        val isUp = entry != null && entry.stage == MachineStage.RUNNING && entry.unlistedSince == null
        if (places == 0 && !isUp) return null
        val evidence =
            if (places >
                0
            ) {
                Evidence(EvidenceSource.STATE_SERVICE, Duration.ZERO)
            } else {
                Evidence(
                    EvidenceSource.CLOUD_LIST,
                    views.rented.firstReadAt ?: Duration.ZERO,
                )
            }
        return UnheardMachine(machine, places, evidence)
    }

    private fun heartbeatReceived(observed: ObservedMachine, task: TaskStatus, views: ClusterViews): List<Difference> {
        val job = views.desired.jobs[task.key.job]
        if (task.state ==
            TaskState.EXITED
        ) {
            return listOfNotNull(unrecorded(observed.id, task, job, evidenceOf(observed)))
        }
        return listOfNotNull(misplaced(observed, task, job), duplicate(observed, task, views))
    }

    private fun misplaced(observed: ObservedMachine, task: TaskStatus, job: DesiredJob?): Difference? {
        val place = job?.places?.get(task.key.task)
        return when {
            job == null -> OrphanTask(observed.id, task.key, task.attempt, recorded = false, evidenceOf(observed))
            job.cancelled -> CancelledTask(observed.id, task.key, evidenceOf(observed))
            place != null && place.machine == observed.id && place.attempt == task.attempt -> null
            else -> OrphanTask(observed.id, task.key, task.attempt, recorded = true, evidenceOf(observed))
        }
    }

    private fun duplicate(observed: ObservedMachine, task: TaskStatus, views: ClusterViews): Difference? {
        val claims = views.observed.claims[task.key] ?: return null
        return if (claims.size >
            1
        ) {
            DuplicateTask(observed.id, task.key, claims.toSortedSet(), evidenceOf(observed))
        } else {
            null
        }
    }

    private fun unrecorded(machine: String, task: TaskStatus, job: DesiredJob?, evidence: Evidence): Difference? {
        if (task.exit != ExitReason.DONE ||
            job == null ||
            job.kind == JobKind.SERVICE ||
            job.cancelled ||
            job.done[task.key.task]
        ) {
            return null
        }
        return UnrecordedResult(machine, task.key, evidence)
    }

    private fun missing(place: StoredPlace, observed: ObservedMachine, views: ClusterViews): Difference? {
        val key: TaskKey = place.key
        val job = views.desired.jobs[key.job] ?: return null
        if (job.done[key.task]) return ObsoletePlace(place.machine, key, Evidence(EvidenceSource.STATE_SERVICE, observed.observedAt))
        val shown = observed.tasks.any { it.key == key && it.attempt == place.attempt }
        // Until the worker has seen this leader's token a start of an earlier leader may still arrive there.
        if (!place.adopted || !observed.trusted || shown || job.cancelled) return null
        return MissingTask(place.machine, key, place.attempt, evidenceOf(observed))
    }

    private fun isPresent(place: StoredPlace, observed: ObservedMachine) =
        observed.tasks.any {
            it.key == place.key &&
                it.attempt == place.attempt
        }
}
