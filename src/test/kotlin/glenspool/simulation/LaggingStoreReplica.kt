package glenspool.simulation

import glenspool.state.LiveKeyReader
import glenspool.wire.Fields
import glenspool.wire.StoreWire
import java.util.TreeMap

/**
 * A replica that lags behind the store. It contains the entries of an earlier revision, or the pages that were read one
 * after the other.
 */
class LaggingStoreReplica(private val state: InMemoryStore) : LiveKeyReader {
    private val entries = TreeMap<String, StoreWire.Item>()
    var revision = 0L
        private set

    /** The last key that the current load has read, or null if no load is in progress. */
    private var lastKey: String? = null

    /** Applies the store's changes up to revision [to]. */
    fun advance(to: Long) {
        for ((key, value, version) in state.log) if (version in (revision + 1)..to) put(key, value, version)
        revision = maxOf(revision, to)
    }

    /** Starts to reload all entries in pages. A change made during the load is included if its key is not read yet. */
    fun startLoad() {
        entries.clear()
        revision = state.revision
        lastKey = ""
    }

    /** Reads the next page. Returns false when all entries are read. */
    fun loadPage(size: Int): Boolean {
        val after = lastKey ?: return false
        val next =
            state.entries
                .tailMap(after, false)
                .entries
                .take(size)
        next.forEach { (key, entry) -> put(key, entry.value, entry.version) }
        lastKey = next.lastOrNull()?.key
        return lastKey != null
    }

    /** Whether no load is in progress, so that decisions may be based on this replica. */
    val isLoaded: Boolean get() = lastKey == null

    private fun put(key: String, value: Fields?, version: Long) {
        val known = entries[key]
        if (known != null && known.version > version) return
        if (value == null) entries.remove(key) else entries[key] = StoreWire.Item(key, value, version)
    }

    override fun get(key: String): StoreWire.Item? = entries[key]

    override fun withPrefix(prefix: String): Collection<StoreWire.Item> =
        entries.subMap(prefix, prefix + Char.MAX_VALUE).values

    override fun <T> atomically(read: () -> T): T = read()
}
