package glenspool.core.cluster

/**
 * The images that tasks are known to have fetched to a machine, least recently used first. The machine evicts them in
 * that order.
 */
class ImageCache {
    private val sizes = LinkedHashMap<String, Double>()

    /** The size of each image in GB. */
    val images: Map<String, Double> get() = sizes

    /** Whether the image is in the cache. */
    operator fun contains(image: String): Boolean = image in sizes

    /** Records that a task has the image, and evicts the images that then exceed the cache's [capacityGb]. */
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
