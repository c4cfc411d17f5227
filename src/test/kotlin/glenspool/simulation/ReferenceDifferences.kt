package glenspool.simulation

import glenspool.core.model.ExitReason
import glenspool.core.model.Heartbeat
import glenspool.core.model.JobKind
import glenspool.core.model.JobRecord
import glenspool.core.model.MachineStage
import glenspool.core.model.TaskState
import glenspool.reconcile.DifferenceKind

/**
 * The slow plain model of differences: plain lists, looked through from one end to the other. It knows the newest
 * record of each job and the newest report of each machine, and names a difference by its kind, machine and task.
 */
class ReferenceDifferences {
    class Seen(val heartbeat: Heartbeat, val trusted: Boolean, val reportedItself: Boolean)

    class Listed(val stage: MachineStage, val missing: Boolean)

    val records = HashMap<String, JobRecord>()
    val cancelled = HashSet<String>()

    /** Places that this leader did not store itself, as text. */
    val adopted = HashSet<String>()
    val seen = HashMap<String, Seen>()
    val listed = HashMap<String, Listed>()
    var listRead = false

    private class Place(val job: String, val task: Int, val attempt: Long, val machine: String) {
        val name get() = "$job/$task#$attempt@$machine"
    }

    private fun places() =
        records.values.flatMap { r ->
            r.placements.map { Place(r.spec.id, it.task, it.attempt, it.machine) }
        }

    fun names(): List<String> = (ofTasks() + ofPlaces() + ofMachines()).sorted()

    private fun ofTasks(): List<String> =
        seen.values.flatMap { s ->
            s.heartbeat.tasks.flatMap { t ->
                val record = records[t.key.job]
                val what = "${s.heartbeat.machine} ${t.key.job}/${t.key.task}"
                when {
                    t.state == TaskState.EXITED -> {
                        val result =
                            t.exit == ExitReason.DONE &&
                                record != null &&
                                record.spec.kind != JobKind.SERVICE &&
                                t.key.job !in cancelled &&
                                !record.done[t.key.task]
                        listOfNotNull("${DifferenceKind.UNRECORDED_RESULT} $what".takeIf { result })
                    }
                    else -> {
                        val placed =
                            places().any {
                                it.job == t.key.job &&
                                    it.task == t.key.task &&
                                    it.attempt == t.attempt &&
                                    it.machine == s.heartbeat.machine
                            }
                        val others =
                            seen.values.any { o ->
                                o !== s &&
                                    o.heartbeat.tasks.any { it.key == t.key && it.state != TaskState.EXITED }
                            }
                        val kind =
                            when {
                                record == null -> DifferenceKind.ORPHAN_TASK
                                t.key.job in cancelled -> DifferenceKind.CANCELLED_TASK
                                placed -> null
                                else -> DifferenceKind.ORPHAN_TASK
                            }
                        listOfNotNull(
                            kind?.let {
                                "$it $what"
                            },
                            "${DifferenceKind.DUPLICATE_TASK} $what".takeIf { others },
                        )
                    }
                }
            }
        }

    private fun ofPlaces(): List<String> =
        places().mapNotNull { p ->
            val s = seen[p.machine] ?: return@mapNotNull null
            val shown = s.heartbeat.tasks.any { it.key.job == p.job && it.key.task == p.task && it.attempt == p.attempt }
            when {
                records.getValue(p.job).done[p.task] -> "${DifferenceKind.OBSOLETE_PLACE} ${p.machine} ${p.job}/${p.task}"
                p.name in adopted && s.trusted && !shown && p.job !in cancelled -> "${DifferenceKind.MISSING_TASK} ${p.machine} ${p.job}/${p.task}"
                else -> null
            }
        }

    private fun ofMachines(): List<String> =
        (places().map { it.machine } + seen.keys + listed.keys).distinct().flatMap { m ->
            val entry = listed[m]
            val placed = places().filter { it.machine == m }
            val delisted = if (entry != null) entry.missing else listRead && placed.any { it.name in adopted }
            val up = entry != null && entry.stage == MachineStage.RUNNING && !entry.missing
            listOfNotNull(
                "${DifferenceKind.DELISTED_MACHINE} $m".takeIf { delisted },
                "${DifferenceKind.UNHEARD_MACHINE} $m".takeIf { m !in seen && (placed.isNotEmpty() || up) },
                "${DifferenceKind.UNREPORTING_MACHINE} $m".takeIf { seen[m]?.reportedItself == false },
            )
        }
}
