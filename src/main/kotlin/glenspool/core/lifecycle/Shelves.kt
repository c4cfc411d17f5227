package glenspool.core.lifecycle

import glenspool.core.model.Intent

/**
 * Where a job's places are stored. As many as fit are kept in the record itself, in the form that every version reads;
 * the others lie on numbered shelves, each a value of its own, so that a job of any size stays within the state
 * service's limit for one value.
 */
class Shelves(private val recordRoom: Int, private val shelfRoom: Int) {
    private class Shelf {
        var bytes = 0
        val machines = HashMap<String, Int>()
    }

    private val inRecord = Shelf()
    private val apart = ArrayList<Shelf>()
    private val dirty = LinkedHashMap<Int, Long>()
    private var stamp = 0L

    /** What the record still holds of places, at least. */
    val recordLeft: Int get() = recordRoom - inRecord.bytes - maxOf(0, apart.size - LISTED_SHELVES) * SHELF_NUMBER

    val dirtyCount: Int get() = dirty.size

    /** How many more places there is surely room for. The record lists its shelves, so there are only so many. */
    fun room(mayShelve: Boolean): Int {
        if (!mayShelve) return recordLeft / BYTES_PER_PLACE
        val onShelves =
            apart.sumOf { maxOf(0, shelfRoom - it.bytes) / BYTES_PER_PLACE } +
                (MAX_SHELVES - apart.size) * (shelfRoom / BYTES_PER_PLACE)
        return maxOf(0, recordLeft) / BYTES_PER_PLACE + onShelves
    }

    /** Puts a place into the record if it fits, or if nothing else is allowed; else on the first shelf with room. */
    fun add(p: Placement, mayShelve: Boolean) {
        val n = if (!mayShelve || cost(inRecord, p) <= recordLeft) RECORD else shelfFor(p)
        put(p, n)
    }

    /** The place as it was stored. */
    fun put(p: Placement, shelf: Int) {
        p.shelf = shelf
        while (apart.size <= shelf) apart.add(Shelf())
        val s = of(shelf)
        s.bytes += cost(s, p)
        s.machines.merge(p.machine, 1, Int::plus)
        touched(shelf)
    }

    fun remove(p: Placement) {
        val s = of(p.shelf)
        val left = (s.machines[p.machine] ?: return) - 1
        if (left == 0) s.machines.remove(p.machine) else s.machines[p.machine] = left
        s.bytes -= cost(s, p)
        touched(p.shelf)
    }

    /** What is stored already is as it should be. */
    fun clean() = dirty.clear()

    /** Moves places out of a record that is too large, onto [most] shelves at the most. */
    fun relieve(places: Collection<Placement>, most: Int) {
        if (recordLeft >= 0) return
        val used = HashSet<Int>(dirty.keys)
        for (p in places) {
            if (recordLeft >= 0) return
            if (p.shelf != RECORD) continue
            val to = shelfFor(p)
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
            if (p.shelf == RECORD || cost(inRecord, p) > recordLeft) continue
            remove(p)
            put(p, RECORD)
            moved = true
        }
        return moved
    }

    /** Changed shelves that are not known to be stored, [most] at the most. */
    fun toStore(most: Int): Map<Int, Long> = dirty.entries.take(most).associate { it.key to it.value }

    fun stored(shelves: Map<Int, Long>) = shelves.forEach { (n, at) -> dirty.remove(n, at) }

    /** What is stored of the shelf is not what it holds. */
    fun touched(shelf: Int) {
        if (shelf != RECORD) dirty[shelf] = ++stamp
    }

    private fun of(shelf: Int) = if (shelf == RECORD) inRecord else apart[shelf]

    private fun shelfFor(p: Placement): Int {
        val found = apart.indexOfFirst { cost(it, p) <= shelfRoom - it.bytes }
        return when {
            found >= 0 -> found
            apart.size < MAX_SHELVES -> apart.size
            else -> RECORD
        }
    }

    /** A machine is written once with all its tasks: name and marks for the first, two numbers for each. */
    private fun cost(s: Shelf, p: Placement): Int =
        p.task.toString().length + p.attempt.toString().length + 2 +
            if (p.machine in s.machines) 0 else p.machine.length + MACHINE_MARKS

    companion object {
        const val RECORD = -1
        private const val MACHINE_MARKS = 6

        /** What a shelf takes besides its places. */
        const val SHELF_MARKS = 64

        /** A record must be able to list them all beside its description. */
        private const val MAX_SHELVES = 256

        /**
         * So many are listed within [RECORD_MARKS]; the number of each further one takes room that places could have.
         */
        private const val LISTED_SHELVES = 16
        private const val SHELF_NUMBER = 4

        /** The list of a record's shelves and other marks that its description does not have. */
        const val RECORD_MARKS = 96

        /** A place at most: the names of machines are short, numbers have at most seven digits. */
        const val BYTES_PER_PLACE = 28

        fun intentsOf(places: Collection<Placement>, shelf: Int): List<Intent> =
            places
                .filter { it.shelf == shelf }
                .map { Intent(it.task, it.attempt, it.machine) }
    }
}
