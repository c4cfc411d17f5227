package glenspool.simulation

import glenspool.state.LiveKeyReader
import glenspool.wire.Fields
import glenspool.wire.StoreWire
import java.util.TreeMap

/**
 * A replica that is behind: what the state stand-in held at an earlier revision, or pages of it read one after the
 * other.
 */
class LaggingView(private val state: InMemoryStore) : LiveKeyReader {
    private val entries = TreeMap<String, StoreWire.Item>()
    var revision = 0L
        private set
    private var page: String? = null

    /** Follows the changes up to a revision. */
    fun advance(to: Long) {
        for ((key, value, version) in state.log) if (version in (revision + 1)..to) put(key, value, version)
        revision = maxOf(revision, to)
    }

    /**
     * Begins to read everything anew, a key range at a time; changes made meanwhile are seen as far as they lie ahead.
     */
    fun beginLoad() {
        entries.clear()
        revision = state.revision
        page = ""
    }

    /** Reads the next page; false: all is read. */
    fun loadPage(size: Int): Boolean {
        val after = page ?: return false
        val next =
            state.entries
                .tailMap(after, false)
                .entries
                .take(size)
        next.forEach { (key, entry) -> put(key, entry.value, entry.version) }
        page = next.lastOrNull()?.key
        return page != null
    }

    /** Whether a load is over, so that somebody may judge by this view. */
    val loaded: Boolean get() = page == null

    private fun put(key: String, value: Fields?, version: Long) {
        if (entries[key].let { it != null && it.version > version }) return
        if (value == null) entries.remove(key) else entries[key] = StoreWire.Item(key, value, version)
    }

    override fun get(key: String): StoreWire.Item? = entries[key]

    override fun withPrefix(prefix: String): Collection<StoreWire.Item> =
        entries
            .subMap(prefix, prefix + Char.MAX_VALUE)
            .values

    override fun <T> atomically(read: () -> T): T = read()
}
