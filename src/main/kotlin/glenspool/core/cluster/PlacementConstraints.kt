package glenspool.core.cluster

import glenspool.core.lifecycle.Job
import glenspool.core.model.JobSpec

/** Whether the constraints of a job allow it to use the machine at all, regardless of other work. */
fun isAllowed(spec: JobSpec, machine: Machine): Boolean =
    (spec.types == null || machine.type in spec.types) &&
        (spec.zone == null || spec.zone == machine.zone) &&
        (spec.spot || !machine.spot)

/**
 * Whether one more task of the job may run in the zone, counting every task that runs or may run somewhere. Placements
 * and orphans both count, since neither is proved gone. [zoneOf] returns the zone of a machine, or null if it is not
 * known.
 */
fun isZoneAllowed(job: Job, zone: String, zoneOf: (String) -> String?): Boolean {
    if (!job.spec.sameZone && !job.spec.spread) return true
    var inZone = 0

    /** Counts the machine of a task; returns false if its zone excludes [zone] for the job's other tasks. */
    fun admits(machine: String): Boolean {
        val taskZone = zoneOf(machine)
        if (job.spec.sameZone && taskZone != zone) return false
        // A machine whose zone is not known yet could be in any zone, so it counts against every zone.
        if (taskZone == null || taskZone == zone) inZone++
        return true
    }
    for (placement in job.placements.values) if (!admits(placement.machine)) return false
    for (machines in job.orphans.values) {
        for (machine in machines) if (!admits(machine)) return false
    }
    return inZone < job.spec.maxTasksPerZone
}
