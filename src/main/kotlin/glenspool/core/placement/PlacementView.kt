package glenspool.core.placement

import glenspool.core.WorkCounters
import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.MachineType
import kotlin.time.Duration

/** What a placement round may look at, and the one thing it does: [place]. */
interface PlacementView {
    val types: Map<String, MachineType>
    val commonType: MachineType?

    /** How far a memory request must outweigh the CPU request for the task to be bound by memory. */
    val resourceFactor: Double
    val workCounters: WorkCounters

    /** The zone of a machine, null if it is not known. */
    fun zoneOf(machine: String): String?

    /** How many more tasks of the job its team's limit allows. */
    fun remainingQuota(job: Job): Int

    /** Whether the job's team stays within its guarantee with one more task of the job. */
    fun isWithinGuarantee(job: Job): Boolean

    /** Whether the job's objective can be met only where its image is cached. */
    fun requiresCachedImage(job: Job): Boolean

    /** The fastest machine type for the class, null if that is not known. */
    fun fastestType(jobClass: String): String?

    /** Places a task of the job on the machine; [attempt]: of a gang, null for a new one. */
    fun place(job: Job, task: Int, machine: Machine, attempt: Long?)

    /** The attempt that all tasks of a gang share. */
    fun newGangAttempt(gang: Job): Long

    /** All tasks of the gang have their placements. */
    fun gangPlaced(gang: Job)

    /** A time that orders jobs of the same priority: who should start first. */
    fun latestStart(job: Job): Duration

    /** How many tasks of the job may be placed at once, so that what is stored of it stays within a value's limit. */
    fun recordCapacity(job: Job): Int

    /** Whether the job avoids this machine, because it failed there or must not have it now. */
    fun isAvoided(job: Job, machine: Machine): Boolean

    /** Extra cost of using the machine for this job, 0 is best: keeps work that may use spot machines off dear ones. */
    fun costPenalty(job: Job, machine: Machine): Int
}
