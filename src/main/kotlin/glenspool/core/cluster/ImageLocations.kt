package glenspool.core.cluster

import glenspool.core.SchedulingContext
import glenspool.core.StoreImageLocations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The images of machines with their sizes in GB, by machine and image. */
typealias ImagesByMachine = Map<String, Map<String, Double>>

/**
 * Stores which machine has which images, as hints for a later leader. Without them a failover would lose this
 * information, and every task would fetch its image again. The hints are divided into several values, of which one is
 * stored at a time, so that they never use more than a small part of the key-value store's limits.
 */
class ImageLocations(private val context: SchedulingContext, private val cluster: ClusterState) {
    /** The image locations that an earlier leader stored. */
    private var inherited: ImagesByMachine = emptyMap()
    private val storedParts = HashMap<Int, ImagesByMachine>()

    /** Parts whose last write failed, so that they may not be stored as in [storedParts]. */
    private val partsToRepeat = HashSet<Int>()
    private var storedAt = context.now
    private var nextPart = 0

    /** Loads the image locations that an earlier leader stored. */
    fun loadStored(images: ImagesByMachine) {
        inherited = images
        for ((part, entries) in images.entries.groupBy { partOf(it.key) }) {
            storedParts[part] = entries.associate { it.key to it.value }
        }
    }

    /** Restores the image cache of a machine at its first contact from the image locations of an earlier leader. */
    fun restore(machine: Machine) {
        val cacheGb = cluster.typeOf(machine)?.cacheGb ?: 0.0
        inherited[machine.id]?.forEach { (image, gb) -> machine.imageCache.recordUse(image, gb, cacheGb) }
    }

    /** Called when a part was not stored. It is stored again when its turn comes. */
    fun notStored(part: Int) {
        partsToRepeat.add(part)
    }

    /** Stores the next part that has changed or has to be repeated, at most one per [STORE_INTERVAL]. */
    fun storeChanges() {
        if (context.now - storedAt < STORE_INTERVAL) return
        val parts = currentParts()
        for (offset in 0 until PART_COUNT) {
            val part = (nextPart + offset) % PART_COUNT
            val images = parts[part] ?: emptyMap()
            if (images == storedParts[part].orEmpty() && part !in partsToRepeat) continue
            partsToRepeat.remove(part)
            nextPart = part + 1
            storedAt = context.now
            storedParts[part] = images
            context.addAction(StoreImageLocations(part, images))
            return
        }
    }

    private fun currentParts(): Map<Int, ImagesByMachine> {
        val parts = PartBuilder(context.config.valueBytes * 3 / 4)
        for (machine in cluster.machines.values) {
            if (machine.isTrusted && !machine.isDeleting) parts.add(machine.id, machine.imageCache.images)
        }
        if (context.now - context.startedAt >= INHERITED_RETENTION) return parts.parts
        // Storing a part again must not lose the inherited images of machines that have not been in contact yet.
        for ((id, images) in inherited) {
            val hadContact = cluster.machines[id]?.reachability?.hadContact == true
            if (!hadContact && !cluster.wasDeleted(id)) parts.add(id, images)
        }
        return parts.parts
    }

    /** Collects parts of at most [maxBytes] each; machines that do not fit are omitted. */
    private class PartBuilder(private val maxBytes: Int) {
        val parts = HashMap<Int, LinkedHashMap<String, Map<String, Double>>>()
        private val remainingBytes = HashMap<Int, Int>()

        fun add(machine: String, images: Map<String, Double>) {
            val part = partOf(machine)
            val bytes = machine.length + BYTES_PER_ENTRY + images.keys.sumOf { it.length + BYTES_PER_ENTRY }
            val remaining = (remainingBytes[part] ?: maxBytes) - bytes
            if (images.isEmpty() || remaining < 0) return
            remainingBytes[part] = remaining
            parts.getOrPut(part) { LinkedHashMap() }[machine] = images.toMap()
        }
    }

    companion object {
        /** Enough for a thousand machines with a few images each at the smallest allowed size of a value. */
        const val PART_COUNT = 16
        private val STORE_INTERVAL = 3.seconds
        private val INHERITED_RETENTION: Duration = 60.seconds
        private const val BYTES_PER_ENTRY = 12

        private fun partOf(machine: String): Int = (machine.hashCode() and Int.MAX_VALUE) % PART_COUNT
    }
}
