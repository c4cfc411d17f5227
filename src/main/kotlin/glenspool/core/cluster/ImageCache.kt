package glenspool.core.cluster

/**
 * The images that tasks were seen to have on a machine, least recently used first; the machine evicts in that order.
 */
class ImageCache {
    private val sizes = LinkedHashMap<String, Double>()

    /** The size of each image in GB. */
    val images: Map<String, Double> get() = sizes

    /** Whether the image is there. */
    operator fun contains(image: String): Boolean = image in sizes

    /** A task has the image; what then exceeds the cache's [capacityGb] is evicted. */
    fun recordUse(image: String, gb: Double, capacityGb: Double) {
        sizes.remove(image)
        sizes[image] = gb
        var total = sizes.values.sum()
        val oldestFirst = sizes.entries.iterator()
        while (total > capacityGb && oldestFirst.hasNext()) {
            val oldest = oldestFirst.next()
            if (oldest.key == image) break
            total -= oldest.value
            oldestFirst.remove()
        }
    }
}
