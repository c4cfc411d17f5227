package glenspool.core.cluster

import glenspool.core.lifecycle.Placement
import glenspool.core.model.JobKind
import glenspool.core.model.Resources
import glenspool.core.model.TaskKey
import kotlin.time.Duration

/** The tasks that are or may be on a machine: placements, and tasks without a placement (orphans). */
class MachineWorkload {
    private val placementsByTask = LinkedHashMap<TaskKey, Placement>()
    private val orphanResources = HashMap<TaskKey, Resources>()

    /**
     * The resources that all tasks use; null after a change. Cached, because placement rounds read the value far more
     * often than it changes.
     */
    private var cachedUse: Resources? = null

    val placements: Map<TaskKey, Placement> get() = placementsByTask

    /** Tasks without a placement, with the resources that each uses. */
    val orphans: Map<TaskKey, Resources> get() = orphanResources

    /** Since when there have been orphans. */
    var orphanedSince: Duration? = null
        private set

    /** The number of service replicas placed here. */
    var serviceReplicas = 0
        private set

    val taskCount: Int get() = placementsByTask.size + orphanResources.size

    /** Adds a placement; an older one of the same task is replaced. */
    fun addPlacement(placement: Placement) {
        val replaced = placementsByTask.put(placement.key, placement)
        if (replaced != null) countReplica(replaced, -1)
        countReplica(placement, +1)
        cachedUse = null
    }

    /** Removes the placement if it is still on the machine. */
    fun removePlacement(placement: Placement) {
        if (placementsByTask[placement.key] !== placement) return
        placementsByTask.remove(placement.key)
        countReplica(placement, -1)
        cachedUse = null
    }

    private fun countReplica(placement: Placement, sign: Int) {
        if (placement.job.spec.kind == JobKind.SERVICE) serviceReplicas += sign
    }

    /** Adds an orphan or corrects its resources. Returns true if it was not known before. */
    fun addOrphan(key: TaskKey, resources: Resources, now: Duration): Boolean {
        if (orphanedSince == null) orphanedSince = now
        cachedUse = null
        return orphanResources.put(key, resources) == null
    }

    /** Removes an orphan that is gone. */
    fun removeOrphan(key: TaskKey) {
        orphanResources.remove(key)
        if (orphanResources.isEmpty()) orphanedSince = null
        cachedUse = null
    }

    /**
     * The resources that placements and orphans use. They are summed again after each change, so that rounding errors
     * can't accumulate.
     */
    fun usedResources(): Resources = cachedUse ?: sum().also { cachedUse = it }

    private fun sum(): Resources {
        var sum = Resources.ZERO
        for (placement in placementsByTask.values) sum += placement.job.resourceRequest
        for (resources in orphanResources.values) sum += resources
        return sum
    }
}
