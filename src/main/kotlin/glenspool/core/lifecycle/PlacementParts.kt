package glenspool.core.lifecycle

/**
 * Distributes a job's placements over stored values. The record itself holds as many as fit, in the form that every
 * version reads. The others are in numbered parts, each of which is a separate value, so that a job of any size stays
 * within the key-value store's limit for one value. [recordCapacity] and [partCapacity]: the bytes available for
 * placements in a record and in a part.
 */
class PlacementParts(private val recordCapacity: Int, private val partCapacity: Int) {
    private class Part {
        var bytes = 0
        val machines = HashMap<String, Int>()
    }

    private val inRecord = Part()
    private val parts = ArrayList<Part>()

    /** Parts with changes that are not stored, with the number of their last change. */
    private val dirty = LinkedHashMap<Int, Long>()
    private var changeCount = 0L

    /**
     * Parts that received placements from the record and are not known to be stored with them. The tasks of these
     * placements may run, so a record without the placements may be stored only in one transaction with these parts.
     */
    private val moveTargets = LinkedHashSet<Int>()

    /** A lower bound of the bytes that remain in the record for placements. The record also has to list its parts. */
    private val remainingRecordBytes: Int
        get() = recordCapacity - inRecord.bytes - maxOf(0, parts.size - MAX_PARTS_IN_OVERHEAD) * PART_NUMBER_BYTES

    val dirtyCount: Int get() = dirty.size

    /** The number of parts that every transaction has to contain which stores the record. */
    val requiredCount: Int get() = moveTargets.size

    /** Returns the number of further placements that certainly fit. */
    fun remainingCapacity(maySplit: Boolean): Int {
        if (!maySplit) return remainingRecordBytes / BYTES_PER_PLACEMENT
        val inParts = parts.sumOf { maxOf(0, partCapacity - it.bytes) / BYTES_PER_PLACEMENT }
        val inNewParts = (MAX_PARTS - parts.size) * (partCapacity / BYTES_PER_PLACEMENT)
        return maxOf(0, remainingRecordBytes) / BYTES_PER_PLACEMENT + inParts + inNewParts
    }

    /** Adds a placement to the record if it fits or if splitting is not allowed, otherwise to a part with space. */
    fun add(placement: Placement, maySplit: Boolean) {
        val fitsRecord = bytesOf(placement, inRecord) <= remainingRecordBytes
        put(placement, if (!maySplit || fitsRecord) RECORD else partFor(placement))
    }

    /** Adds a placement to the given part. */
    fun put(placement: Placement, number: Int) {
        placement.part = number
        while (parts.size <= number) parts.add(Part())
        val part = partAt(number)
        part.bytes += bytesOf(placement, part)
        part.machines.merge(placement.machine, 1, Int::plus)
        markDirty(number)
    }

    /** Removes a placement from its part. */
    fun remove(placement: Placement) {
        val part = partAt(placement.part)
        val remaining = (part.machines[placement.machine] ?: return) - 1
        if (remaining == 0) part.machines.remove(placement.machine) else part.machines[placement.machine] = remaining
        part.bytes -= bytesOf(placement, part)
        markDirty(placement.part)
    }

    /** Marks all parts as stored in their current form. */
    fun markAllStored() {
        dirty.clear()
        moveTargets.clear()
    }

    /**
     * Moves placements out of a record that is too large. Not more than [maxParts] parts have to be stored together
     * with the record after that, see [partsToStore].
     */
    fun shrinkRecord(placements: Collection<Placement>, maxParts: Int) {
        for (placement in placements) {
            if (remainingRecordBytes >= 0) return
            if (placement.part != RECORD) continue
            val target = moveTargetFor(placement, maxParts) ?: return
            moveTargets.add(target)
            remove(placement)
            put(placement, target)
        }
    }

    /** The part to which the placement is moved from the record; null if there is none that may be used. */
    private fun moveTargetFor(placement: Placement, maxParts: Int): Int? {
        moveTargets.firstOrNull { hasSpaceFor(placement, parts[it]) }?.let { return it }
        if (moveTargets.size >= maxParts) return null
        // The part with the most space takes the most placements, so that few parts have to be stored at once.
        val roomiest = parts.indices.minByOrNull { parts[it].bytes }
        return when {
            roomiest != null && hasSpaceFor(placement, parts[roomiest]) -> roomiest
            parts.size < MAX_PARTS -> parts.size
            else -> null
        }
    }

    /** Moves placements back into the record as far as it has space. Returns whether any was moved. */
    fun mergeIntoRecord(placements: Collection<Placement>): Boolean {
        var wasMoved = false
        for (placement in placements) {
            if (placement.part == RECORD || bytesOf(placement, inRecord) > remainingRecordBytes) continue
            remove(placement)
            put(placement, RECORD)
            wasMoved = true
        }
        return wasMoved
    }

    /**
     * Returns up to [limit] parts to be stored with the record, each with the number of its last change. Parts that
     * received placements from the record come first: until they are stored, no record may be stored without them.
     */
    fun partsToStore(limit: Int): Map<Int, Long> {
        check(moveTargets.size <= limit) { "the parts $moveTargets have to be stored in one transaction of $limit" }
        val others = dirty.keys.asSequence().filter { it !in moveTargets }
        return (moveTargets.asSequence() + others).take(limit).associateWith { dirty.getValue(it) }
    }

    /** Marks parts as stored up to the given change of each. */
    fun markStored(changes: Map<Int, Long>) {
        changes.forEach { (number, change) -> dirty.remove(number, change) }
        // Placements are moved only while no write is in flight, so the stored parts contain them.
        moveTargets.removeAll(changes.keys)
    }

    /** Marks the part as changed since it was stored. */
    fun markDirty(number: Int) {
        if (number != RECORD) dirty[number] = ++changeCount
    }

    private fun partAt(number: Int) = if (number == RECORD) inRecord else parts[number]

    private fun partFor(placement: Placement): Int {
        val found = parts.indexOfFirst { hasSpaceFor(placement, it) }
        return when {
            found >= 0 -> found
            parts.size < MAX_PARTS -> parts.size
            else -> RECORD
        }
    }

    private fun hasSpaceFor(placement: Placement, part: Part) = bytesOf(placement, part) <= partCapacity - part.bytes

    /** The size of a placement in [part]. A machine's name is written once, and two numbers for each of its tasks. */
    private fun bytesOf(placement: Placement, part: Part): Int {
        val numbers = placement.task.toString().length + placement.attempt.toString().length + NUMBERS_OVERHEAD_BYTES
        val isNamed = placement.machine in part.machines
        return numbers + if (isNamed) 0 else placement.machine.length + MACHINE_OVERHEAD_BYTES
    }

    companion object {
        /** The part number that denotes the record itself. */
        const val RECORD = -1

        /** The size of the punctuation of a task's two numbers. */
        private const val NUMBERS_OVERHEAD_BYTES = 2

        /** The size of the punctuation of a machine's name. */
        private const val MACHINE_OVERHEAD_BYTES = 6

        /** The bytes that a part takes besides its placements. */
        const val PART_OVERHEAD = 64

        /** The maximum number of parts, all of which a record must be able to list beside its description. */
        private const val MAX_PARTS = 256

        /** The number of parts that [RECORD_OVERHEAD] can list. Each further part reduces the space for placements. */
        private const val MAX_PARTS_IN_OVERHEAD = 16
        private const val PART_NUMBER_BYTES = 4

        /** The bytes of a record besides its description and placements, such as the list of its parts. */
        const val RECORD_OVERHEAD = 96

        /** The largest size of a placement. Machine names are short, and numbers have at most seven digits. */
        const val BYTES_PER_PLACEMENT = 28
    }
}
