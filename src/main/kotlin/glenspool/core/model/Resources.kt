package glenspool.core.model

/** The resource that bounds a task, see docs/design.md. Placement rounds take jobs from the queues in this order. */
enum class Resource { GPU, MEMORY, CPU }

/** A vector of resources: a machine's capacity, what is free of it, or a task's request. */
data class Resources(val cpus: Double, val gpus: Double, val memoryGb: Double) {
    /** The sum, resource by resource. */
    operator fun plus(other: Resources) = Resources(cpus + other.cpus, gpus + other.gpus, memoryGb + other.memoryGb)

    /** The difference, resource by resource. */
    operator fun minus(other: Resources) = Resources(cpus - other.cpus, gpus - other.gpus, memoryGb - other.memoryGb)

    /** The amounts multiplied by [count]. */
    operator fun times(count: Int) = Resources(cpus * count, gpus * count, memoryGb * count)

    /**
     * Whether this request fits into [available]. A small tolerance absorbs rounding errors in sums of decimal
     * fractions. If a request really exceeds a machine's resources, the worker refuses it.
     */
    fun fitsIn(available: Resources): Boolean =
        cpus <= available.cpus + EPSILON &&
            gpus <= available.gpus + EPSILON &&
            memoryGb <= available.memoryGb + EPSILON

    /** How many times this request fits into [available], at most [MAX_COUNT]. */
    fun countIn(available: Resources): Int {
        var count = 0
        var remaining = available
        while (fitsIn(remaining) && count < MAX_COUNT) {
            remaining -= this
            count++
        }
        return count
    }

    /** The amount of one [resource]. */
    fun of(resource: Resource): Double =
        when (resource) {
            Resource.GPU -> gpus
            Resource.MEMORY -> memoryGb
            Resource.CPU -> cpus
        }

    /** The largest share of [capacity] that this uses of any resource. */
    fun dominantShareOf(capacity: Resources): Double =
        maxOf(
            cpus / capacity.cpus.coerceAtLeast(MIN_CAPACITY),
            if (capacity.gpus > 0) gpus / capacity.gpus else 0.0,
            memoryGb / capacity.memoryGb.coerceAtLeast(MIN_CAPACITY),
        )

    companion object {
        /** Amounts that differ by less are equal. */
        const val EPSILON = 1e-6

        /** Larger than the number of tasks on any machine. */
        private const val MAX_COUNT = 64

        /** Keeps shares finite if a capacity is zero. */
        private const val MIN_CAPACITY = 1e-9

        val ZERO = Resources(0.0, 0.0, 0.0)
    }
}
