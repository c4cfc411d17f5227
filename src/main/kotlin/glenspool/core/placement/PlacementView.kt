package glenspool.core.placement

import glenspool.core.WorkCounters
import glenspool.core.cluster.Machine
import glenspool.core.lifecycle.Job
import glenspool.core.model.MachineType
import kotlin.time.Duration

/** The state that a placement round reads, and the operations by which it places tasks. */
interface PlacementView {
    val types: Map<String, MachineType>
    val mostCommonType: MachineType?

    /** By which factor a task's share of memory must exceed its share of CPUs for memory to be its bottleneck. */
    val resourceFactor: Double
    val workCounters: WorkCounters

    /** The zone of a machine, null if it is not known. */
    fun zoneOf(machine: String): String?

    /** How many more tasks of the job its team's limit allows. */
    fun remainingQuota(job: Job): Int

    /** Whether the job's team stays within its guarantee with one more task of the job. */
    fun isWithinGuarantee(job: Job): Boolean

    /** Whether the job's objective can be met only on a machine that has the image in its cache. */
    fun requiresCachedImage(job: Job): Boolean

    /** The fastest machine type for the class, null if that is not known. */
    fun fastestType(jobClass: String): String?

    /** Places a task of the job on the machine. [attempt] is the attempt of a gang; null for a new attempt. */
    fun place(job: Job, task: Int, machine: Machine, attempt: Long?)

    /** Begins a new attempt, which all tasks of the gang share, and returns its number. */
    fun newGangAttempt(gang: Job): Long

    /** Called when all tasks of the gang have been placed. */
    fun gangPlaced(gang: Job)

    /** The time that orders jobs of the same priority: the job with the earliest time should start first. */
    fun latestStart(job: Job): Duration

    /** How many more tasks of the job may be placed so that its stored values stay within the size limit. */
    fun recordCapacity(job: Job): Int

    /** Whether the job avoids this machine, because it failed there or must not use it now. */
    fun isAvoided(job: Job, machine: Machine): Boolean

    /**
     * The penalty for the cost of using the machine for this job; 0 is best. It keeps work that may use spot machines
     * off more expensive machines.
     */
    fun costPenalty(job: Job, machine: Machine): Int
}
