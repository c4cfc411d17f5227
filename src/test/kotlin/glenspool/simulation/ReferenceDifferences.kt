package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.MachineStage
import glenspool.core.model.TaskState
import glenspool.core.model.TaskStatus
import glenspool.reconcile.DifferenceKind

/**
 * A slow reference model of the differences between stored state and reports. It holds the newest record of each job
 * and the newest heartbeat of each machine in plain collections, which it searches linearly.
 */
class ReferenceDifferences {
    /** The newest [heartbeat] of a machine. [hasReported] is false if the machine has only answered requests. */
    class ReportedMachine(val heartbeat: Heartbeat, val trusted: Boolean, val hasReported: Boolean)

    /** A machine of the cloud's lists. [missing] tells whether the newest list does not contain it. */
    class CloudListEntry(val stage: MachineStage, val missing: Boolean)

    val records = HashMap<String, JobRecord>()
    val cancelledJobs = HashSet<String>()

    /** Placements that the current leader did not store itself, in the form `job/task#attempt@machine`. */
    val adoptedPlacements = HashSet<String>()
    val reportedMachines = HashMap<String, ReportedMachine>()
    val listedMachines = HashMap<String, CloudListEntry>()

    /** Whether a list of the cloud was read. */
    var isListRead = false

    private class Placement(val job: String, val task: Int, val attempt: Long, val machine: String) {
        val name: String get() = "$job/$task#$attempt@$machine"

        fun matches(status: TaskStatus): Boolean =
            job == status.key.job && task == status.key.task && attempt == status.attempt
    }

    private fun placements(): List<Placement> =
        records.values.flatMap { record ->
            record.placements.map { Placement(record.spec.id, it.task, it.attempt, it.machine) }
        }

    /** Returns each difference as its kind, its machine and, if it has one, its task. The names are sorted. */
    fun differenceNames(): List<String> = (taskDifferences() + placementDifferences() + machineDifferences()).sorted()

    private fun taskDifferences(): List<String> =
        reportedMachines.values.flatMap { machine ->
            machine.heartbeat.tasks.flatMap { task ->
                val kinds = if (task.state == TaskState.EXITED) endedTaskKinds(task) else liveTaskKinds(machine, task)
                kinds.map { "$it ${machine.heartbeat.machine} ${task.key.job}/${task.key.task}" }
            }
        }

    private fun endedTaskKinds(task: TaskStatus): List<DifferenceKind> {
        val record = records[task.key.job] ?: return emptyList()
        val isResult =
            task.exit == ExitReason.DONE &&
                record.spec.kind != JobKind.SERVICE &&
                task.key.job !in cancelledJobs &&
                !record.done[task.key.task]
        return if (isResult) listOf(DifferenceKind.UNRECORDED_RESULT) else emptyList()
    }

    private fun liveTaskKinds(machine: ReportedMachine, task: TaskStatus): List<DifferenceKind> {
        val isPlaced = placements().any { it.matches(task) && it.machine == machine.heartbeat.machine }
        val kind =
            when {
                task.key.job !in records -> DifferenceKind.ORPHAN_TASK
                task.key.job in cancelledJobs -> DifferenceKind.CANCELLED_TASK
                isPlaced -> null
                else -> DifferenceKind.ORPHAN_TASK
            }
        val runsElsewhere =
            reportedMachines.values.any { other ->
                other !== machine &&
                    other.heartbeat.tasks.any { it.key == task.key && it.state != TaskState.EXITED }
            }
        return listOfNotNull(kind, DifferenceKind.DUPLICATE_TASK.takeIf { runsElsewhere })
    }

    private fun placementDifferences(): List<String> =
        placements().mapNotNull { placement ->
            val machine = reportedMachines[placement.machine]
            val kind = machine?.let { placementKind(placement, it) }
            kind?.let { "$it ${placement.machine} ${placement.job}/${placement.task}" }
        }

    private fun placementKind(placement: Placement, machine: ReportedMachine): DifferenceKind? {
        val isReported = machine.heartbeat.tasks.any(placement::matches)
        val isMissing =
            placement.name in adoptedPlacements && machine.trusted && !isReported && placement.job !in cancelledJobs
        return when {
            records.getValue(placement.job).done[placement.task] -> DifferenceKind.OBSOLETE_PLACE
            isMissing -> DifferenceKind.MISSING_TASK
            else -> null
        }
    }

    private fun machineDifferences(): List<String> {
        val machines = placements().map { it.machine } + reportedMachines.keys + listedMachines.keys
        return machines.distinct().flatMap { machine -> machineKinds(machine).map { "$it $machine" } }
    }

    private fun machineKinds(machine: String): List<DifferenceKind> {
        val entry = listedMachines[machine]
        val placed = placements().filter { it.machine == machine }
        val isDelisted = if (entry != null) entry.missing else isListRead && placed.any { it.name in adoptedPlacements }
        val isUp = entry != null && entry.stage == MachineStage.RUNNING && !entry.missing
        val isWithoutHeartbeat = machine !in reportedMachines && (placed.isNotEmpty() || isUp)
        return listOfNotNull(
            DifferenceKind.DELISTED_MACHINE.takeIf { isDelisted },
            DifferenceKind.UNHEARD_MACHINE.takeIf { isWithoutHeartbeat },
            DifferenceKind.UNREPORTING_MACHINE.takeIf { reportedMachines[machine]?.hasReported == false },
        )
    }
}
