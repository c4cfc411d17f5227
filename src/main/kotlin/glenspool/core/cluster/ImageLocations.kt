package glenspool.core.cluster

import glenspool.core.SchedulingContext
import glenspool.core.StoreImageLocations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The images of machines with their sizes in GB, by machine and image. */
typealias ImagesByMachine = Map<String, Map<String, Double>>

/**
 * Hints for a later leader: which machine has which images. A failover would otherwise forget it, and every task would
 * fetch again. They are spread over several values, of which one is stored at a time, so that they never take more than
 * a little of what the key-value store allows.
 */
class ImageLocations(private val context: SchedulingContext, private val cluster: ClusterState) {
    /** What an earlier leader left. */
    private var remembered: ImagesByMachine = emptyMap()
    private val storedParts = HashMap<Int, ImagesByMachine>()
    private var storedAt = context.now
    private var nextPart = 0

    /** Takes over what an earlier leader left. */
    fun loadStored(images: ImagesByMachine) {
        remembered = images
        for ((part, entries) in images.entries.groupBy { partOf(it.key) }) {
            storedParts[part] = entries.associate { it.key to it.value }
        }
    }

    /** Gives a machine that is heard for the first time the images that it had for an earlier leader. */
    fun restore(machine: Machine) {
        val cacheGb = cluster.typeOf(machine)?.cacheGb ?: 0.0
        remembered[machine.id]?.forEach { (image, gb) -> machine.imageCache.recordUse(image, gb, cacheGb) }
    }

    /** Stores the next part that has changed, now and then. */
    fun storeChanges() {
        if (context.now - storedAt < STORE_INTERVAL) return
        val parts = currentParts()
        for (offset in 0 until PARTS) {
            val part = (nextPart + offset) % PARTS
            val images = parts[part] ?: emptyMap()
            if (images == storedParts[part].orEmpty()) continue
            nextPart = part + 1
            storedAt = context.now
            storedParts[part] = images
            context.act(StoreImageLocations(part, images))
            return
        }
    }

    private fun currentParts(): Map<Int, ImagesByMachine> {
        val parts = PartBuilder(context.config.valueBytes * 3 / 4)
        for (machine in cluster.machines.values) {
            if (machine.isTrusted && !machine.isDeleting) parts.add(machine.id, machine.imageCache.images)
        }
        if (context.now - context.startedAt >= KEEP_REMEMBERED) return parts.parts
        // What was left for a machine that is not heard yet must not be lost by storing its part anew.
        for ((id, images) in remembered) {
            val hadContact = cluster.machines[id]?.reachability?.hadContact == true
            if (!hadContact && !cluster.wasDeleted(id)) parts.add(id, images)
        }
        return parts.parts
    }

    /** Collects parts of at most [maxBytes] each; what does not fit is left out. */
    private class PartBuilder(private val maxBytes: Int) {
        val parts = HashMap<Int, LinkedHashMap<String, Map<String, Double>>>()
        private val bytesLeft = HashMap<Int, Int>()

        fun add(machine: String, images: Map<String, Double>) {
            val part = partOf(machine)
            val bytes = machine.length + BYTES_PER_ENTRY + images.keys.sumOf { it.length + BYTES_PER_ENTRY }
            val left = (bytesLeft[part] ?: maxBytes) - bytes
            if (images.isEmpty() || left < 0) return
            bytesLeft[part] = left
            parts.getOrPut(part) { LinkedHashMap() }[machine] = images.toMap()
        }
    }

    companion object {
        /** Enough for a thousand machines with a few images each in the smallest value there may be. */
        const val PARTS = 16
        private val STORE_INTERVAL = 3.seconds
        private val KEEP_REMEMBERED: Duration = 60.seconds
        private const val BYTES_PER_ENTRY = 12

        private fun partOf(machine: String): Int = (machine.hashCode() and Int.MAX_VALUE) % PARTS
    }
}
