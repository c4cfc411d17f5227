package glenspool.core.lifecycle

import glenspool.core.model.StoredPlacement

/**
 * Where a job's places are stored. As many as fit are kept in the record itself, in the form that every version reads;
 * the others lie on numbered shelves, each a value of its own, so that a job of any size stays within the state
 * service's limit for one value.
 */
class PlacementParts(private val recordCapacity: Int, private val partCapacity: Int) {
    private class Part {
        var bytes = 0
        val machines = HashMap<String, Int>()
    }

    private val inRecord = Part()
    private val apart = ArrayList<Part>()
    private val dirty = LinkedHashMap<Int, Long>()
    private var stamp = 0L

    /** What the record still holds of places, at least. */
    val recordBytesLeft: Int get() = recordCapacity - inRecord.bytes - maxOf(0, apart.size - LISTED_PARTS) * PART_NUMBER_BYTES

    val dirtyCount: Int get() = dirty.size

    /** How many more places there is surely room for. The record lists its shelves, so there are only so many. */
    fun room(maySplit: Boolean): Int {
        if (!maySplit) return recordBytesLeft / BYTES_PER_PLACE
        val onShelves =
            apart.sumOf { maxOf(0, partCapacity - it.bytes) / BYTES_PER_PLACE } +
                (MAX_PARTS - apart.size) * (partCapacity / BYTES_PER_PLACE)
        return maxOf(0, recordBytesLeft) / BYTES_PER_PLACE + onShelves
    }

    /** Puts a place into the record if it fits, or if nothing else is allowed; else on the first shelf with room. */
    fun add(p: Placement, maySplit: Boolean) {
        val n = if (!maySplit || cost(inRecord, p) <= recordBytesLeft) RECORD else partFor(p)
        put(p, n)
    }

    /** The place as it was stored. */
    fun put(p: Placement, part: Int) {
        p.part = part
        while (apart.size <= part) apart.add(Part())
        val s = of(part)
        s.bytes += cost(s, p)
        s.machines.merge(p.machine, 1, Int::plus)
        touched(part)
    }

    fun remove(p: Placement) {
        val s = of(p.part)
        val left = (s.machines[p.machine] ?: return) - 1
        if (left == 0) s.machines.remove(p.machine) else s.machines[p.machine] = left
        s.bytes -= cost(s, p)
        touched(p.part)
    }

    /** What is stored already is as it should be. */
    fun clean() = dirty.clear()

    /** Moves places out of a record that is too large, onto [most] shelves at the most. */
    fun relieve(places: Collection<Placement>, most: Int) {
        if (recordBytesLeft >= 0) return
        val used = HashSet<Int>(dirty.keys)
        for (p in places) {
            if (recordBytesLeft >= 0) return
            if (p.part != RECORD) continue
            val to = partFor(p)
            if (to == RECORD || to !in used && used.size >= most) return
            used.add(to)
            remove(p)
            put(p, to)
        }
    }

    /** Moves places back into the record as far as it has room. Whether any was moved. */
    fun mergeIntoRecord(places: Collection<Placement>): Boolean {
        var moved = false
        for (p in places) {
            if (p.part == RECORD || cost(inRecord, p) > recordBytesLeft) continue
            remove(p)
            put(p, RECORD)
            moved = true
        }
        return moved
    }

    /** Changed shelves that are not known to be stored, [most] at the most. */
    fun toStore(most: Int): Map<Int, Long> = dirty.entries.take(most).associate { it.key to it.value }

    fun stored(parts: Map<Int, Long>) = parts.forEach { (n, at) -> dirty.remove(n, at) }

    /** What is stored of the shelf is not what it holds. */
    fun touched(part: Int) {
        if (part != RECORD) dirty[part] = ++stamp
    }

    private fun of(part: Int) = if (part == RECORD) inRecord else apart[part]

    private fun partFor(p: Placement): Int {
        val found = apart.indexOfFirst { cost(it, p) <= partCapacity - it.bytes }
        return when {
            found >= 0 -> found
            apart.size < MAX_PARTS -> apart.size
            else -> RECORD
        }
    }

    /** A machine is written once with all its tasks: name and marks for the first, two numbers for each. */
    private fun cost(s: Part, p: Placement): Int =
        p.task.toString().length + p.attempt.toString().length + 2 +
            if (p.machine in s.machines) 0 else p.machine.length + MACHINE_OVERHEAD

    companion object {
        const val RECORD = -1
        private const val MACHINE_OVERHEAD = 6

        /** What a shelf takes besides its places. */
        const val PART_OVERHEAD = 64

        /** A record must be able to list them all beside its description. */
        private const val MAX_PARTS = 256

        /**
         * So many are listed within [RECORD_MARKS]; the number of each further one takes room that places could have.
         */
        private const val LISTED_PARTS = 16
        private const val PART_NUMBER_BYTES = 4

        /** The list of a record's shelves and other marks that its description does not have. */
        const val RECORD_OVERHEAD = 96

        /** A place at most: the names of machines are short, numbers have at most seven digits. */
        const val BYTES_PER_PLACE = 28

        fun storedPlacements(places: Collection<Placement>, part: Int): List<StoredPlacement> =
            places
                .filter { it.part == part }
                .map { StoredPlacement(it.task, it.attempt, it.machine) }
    }
}
