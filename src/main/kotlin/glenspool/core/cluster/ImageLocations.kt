package glenspool.core.cluster

import glenspool.core.Scheduler
import glenspool.core.StoreImageLocations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Word of which machine has which images, left for a later leader: a take-over would otherwise forget it, and every
 * task would fetch again. It is spread over as many parts as the fleet needs; one part is stored at a time, so the
 * hints never take more than a little of what the state service allows.
 */
class ImageLocations(private val core: Scheduler) {
    private var remembered: Map<String, Map<String, Double>> = emptyMap()
    private val stored = HashMap<Int, Map<String, Map<String, Double>>>()
    private var savedAt = core.now
    private var next = 0

    fun remember(images: Map<String, Map<String, Double>>) {
        remembered = images
        for ((part, list) in images.entries.groupBy { partOf(it.key) }) {
            stored[part] =
                list.associate { it.key to it.value }
        }
    }

    /** Taken over when a machine is first heard. */
    fun hand(m: Machine) {
        val cache = core.types[m.type]?.cacheGb ?: 0.0
        remembered[m.id]?.forEach { (image, gb) -> m.sawImage(image, gb, cache) }
    }

    fun save(now: Duration) {
        if (now - savedAt < PERIOD) return
        val parts = HashMap<Int, LinkedHashMap<String, Map<String, Double>>>()
        val room = HashMap<Int, Int>()

        fun put(id: String, images: Map<String, Double>) {
            val part = partOf(id)
            val left =
                (room[part] ?: (core.config.valueBytes * 3 / 4)) - id.length - BYTES_PER_ENTRY -
                    images.keys.sumOf { it.length + BYTES_PER_ENTRY }
            if (images.isEmpty() || left < 0) return
            room[part] = left
            parts.getOrPut(part) { LinkedHashMap() }[id] = images.toMap()
        }
        for (m in core.machines.values) if (m.trusted && !m.isDeleting) put(m.id, m.cachedImages())
        // What was handed down for a machine not heard yet must not be lost by storing the part anew.
        if (now - core.startedAt <
            KEEP
        ) {
            for ((id, own) in remembered) {
                if (core.machines[id]?.wasHeard != true &&
                    !core.wasDeleted(id)
                ) {
                    put(id, own)
                }
            }
        }
        for (i in 0 until PARTS) {
            val part = (next + i) % PARTS
            val images = parts[part] ?: emptyMap()
            if (images == (stored[part] ?: emptyMap<String, Map<String, Double>>())) continue
            next = part + 1
            savedAt = now
            stored[part] = images
            core.act(StoreImageLocations(part, images))
            return
        }
    }

    companion object {
        /** Enough for a thousand machines with a few images each in the smallest value there may be. */
        const val PARTS = 16
        private val PERIOD = 3.seconds
        private val KEEP = 60.seconds
        private const val BYTES_PER_ENTRY = 12

        private fun partOf(machine: String): Int = (machine.hashCode() and Int.MAX_VALUE) % PARTS
    }
}
