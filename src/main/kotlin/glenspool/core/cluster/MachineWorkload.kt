package glenspool.core.cluster

import glenspool.core.lifecycle.Placement
import glenspool.core.model.JobKind
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** What is on a machine, or may be: placements, and tasks without a placement (orphans). */
class MachineWorkload {
    private val placed = LinkedHashMap<TaskKey, Placement>()
    private val orphanTasks = HashMap<TaskKey, Resources>()

    /** What all of them take; null after a change, since placement rounds ask far more often than it changes. */
    private var cachedUse: Resources? = null

    val placements: Map<TaskKey, Placement> get() = placed

    /** Tasks without a placement, and what each takes. */
    val orphans: Map<TaskKey, Resources> get() = orphanTasks

    /** Since when there have been orphans. */
    var orphanedSince: Duration? = null
        private set

    /** The number of service replicas placed here. */
    var serviceReplicas = 0
        private set

    val taskCount: Int get() = placed.size + orphanTasks.size

    /** Adds a placement; an older one of the same task gives way. */
    fun addPlacement(placement: Placement) {
        val replaced = placed.put(placement.key, placement)
        if (replaced != null) countReplica(replaced, -1)
        countReplica(placement, +1)
        cachedUse = null
    }

    /** Removes the placement if it is still here. */
    fun removePlacement(placement: Placement) {
        if (placed[placement.key] !== placement) return
        placed.remove(placement.key)
        countReplica(placement, -1)
        cachedUse = null
    }

    private fun countReplica(placement: Placement, sign: Int) {
        if (placement.job.spec.kind == JobKind.SERVICE) serviceReplicas += sign
    }

    /** Adds an orphan, or corrects what it takes. True if it was not known before. */
    fun addOrphan(key: TaskKey, resources: Resources, now: Duration): Boolean {
        if (orphanedSince == null) orphanedSince = now
        cachedUse = null
        return orphanTasks.put(key, resources) == null
    }

    /** The orphan is gone. */
    fun removeOrphan(key: TaskKey) {
        orphanTasks.remove(key)
        if (orphanTasks.isEmpty()) orphanedSince = null
        cachedUse = null
    }

    /** What placements and orphans take; summed anew after each change, so that rounding errors can't add up. */
    fun usedResources(): Resources = cachedUse ?: sum().also { cachedUse = it }

    private fun sum(): Resources {
        var sum = Resources.ZERO
        for (placement in placed.values) sum += placement.job.resourceRequest
        for (resources in orphanTasks.values) sum += resources
        return sum
    }
}
