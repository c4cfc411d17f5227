package glenspool.core.lifecycle

/**
 * Where a job's placements are stored. As many as fit are kept in the record itself, in the form that every version
 * reads; the others are in numbered parts, each a value of its own, so that a job of any size stays within the
 * key-value store's limit for one value. [recordCapacity] and [partCapacity]: the bytes that a record and a part have
 * for placements.
 */
class PlacementParts(private val recordCapacity: Int, private val partCapacity: Int) {
    private class Part {
        var bytes = 0
        val machines = HashMap<String, Int>()
    }

    private val inRecord = Part()
    private val parts = ArrayList<Part>()

    /** Parts whose stored value is not what they hold, with the number of their last change. */
    private val dirty = LinkedHashMap<Int, Long>()
    private var changeCount = 0L

    /** The bytes that the record still has for placements, at least. The record lists its parts, too. */
    private val recordBytesLeft: Int
        get() = recordCapacity - inRecord.bytes - maxOf(0, parts.size - PARTS_IN_OVERHEAD) * PART_NUMBER_BYTES

    val dirtyCount: Int get() = dirty.size

    /** How many more placements there is surely space for. */
    fun remainingCapacity(maySplit: Boolean): Int {
        if (!maySplit) return recordBytesLeft / BYTES_PER_PLACEMENT
        val inParts = parts.sumOf { maxOf(0, partCapacity - it.bytes) / BYTES_PER_PLACEMENT }
        val inNewParts = (MAX_PARTS - parts.size) * (partCapacity / BYTES_PER_PLACEMENT)
        return maxOf(0, recordBytesLeft) / BYTES_PER_PLACEMENT + inParts + inNewParts
    }

    /** Puts a placement into the record if it fits, or if nothing else is allowed; else into a part with space. */
    fun add(placement: Placement, maySplit: Boolean) {
        val fitsRecord = bytesOf(placement, inRecord) <= recordBytesLeft
        put(placement, if (!maySplit || fitsRecord) RECORD else partFor(placement))
    }

    /** Puts a placement into the given part. */
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
        val left = (part.machines[placement.machine] ?: return) - 1
        if (left == 0) part.machines.remove(placement.machine) else part.machines[placement.machine] = left
        part.bytes -= bytesOf(placement, part)
        markDirty(placement.part)
    }

    /** What is stored already is as it should be. */
    fun markAllStored() = dirty.clear()

    /** Moves placements out of a record that is too large; at most [maxDirtyParts] parts are then to be stored. */
    fun shrinkRecord(placements: Collection<Placement>, maxDirtyParts: Int) {
        if (recordBytesLeft >= 0) return
        val used = HashSet<Int>(dirty.keys)
        for (placement in placements) {
            if (recordBytesLeft >= 0) return
            if (placement.part != RECORD) continue
            val target = partFor(placement)
            if (target == RECORD || target !in used && used.size >= maxDirtyParts) return
            used.add(target)
            remove(placement)
            put(placement, target)
        }
    }

    /** Moves placements back into the record as far as it has space. Whether any was moved. */
    fun mergeIntoRecord(placements: Collection<Placement>): Boolean {
        var wasMoved = false
        for (placement in placements) {
            if (placement.part == RECORD || bytesOf(placement, inRecord) > recordBytesLeft) continue
            remove(placement)
            put(placement, RECORD)
            wasMoved = true
        }
        return wasMoved
    }

    /** Parts to be stored, at most [limit], each with the number of its last change. */
    fun partsToStore(limit: Int): Map<Int, Long> = dirty.entries.take(limit).associate { it.key to it.value }

    /** These parts are stored, as of the given changes. */
    fun markStored(changes: Map<Int, Long>) = changes.forEach { (number, change) -> dirty.remove(number, change) }

    /** What is stored of the part is not what it holds. */
    fun markDirty(number: Int) {
        if (number != RECORD) dirty[number] = ++changeCount
    }

    private fun partAt(number: Int) = if (number == RECORD) inRecord else parts[number]

    private fun partFor(placement: Placement): Int {
        val found = parts.indexOfFirst { bytesOf(placement, it) <= partCapacity - it.bytes }
        return when {
            found >= 0 -> found
            parts.size < MAX_PARTS -> parts.size
            else -> RECORD
        }
    }

    /** A machine is written once with all its tasks: its name for the first, two numbers for each. */
    private fun bytesOf(placement: Placement, part: Part): Int {
        val numbers = placement.task.toString().length + placement.attempt.toString().length + NUMBERS_OVERHEAD
        val isNamed = placement.machine in part.machines
        return numbers + if (isNamed) 0 else placement.machine.length + MACHINE_OVERHEAD
    }

    companion object {
        /** The number that stands for the record itself. */
        const val RECORD = -1

        /** The punctuation of a task's two numbers, and of a machine's name. */
        private const val NUMBERS_OVERHEAD = 2
        private const val MACHINE_OVERHEAD = 6

        /** The bytes that a part takes besides its placements. */
        const val PART_OVERHEAD = 64

        /** A record must be able to list them all beside its description. */
        private const val MAX_PARTS = 256

        /** So many parts are listed within [RECORD_OVERHEAD]; each further one takes space from placements. */
        private const val PARTS_IN_OVERHEAD = 16
        private const val PART_NUMBER_BYTES = 4

        /** The list of a record's parts and other bytes that its description does not have. */
        const val RECORD_OVERHEAD = 96

        /** The largest size of a placement: the names of machines are short, numbers have at most seven digits. */
        const val BYTES_PER_PLACEMENT = 28
    }
}
