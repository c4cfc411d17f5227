package glenspool.state

import glenspool.wire.StoreWire

/** Read access to the live keys of the key-value store, such as a node's [StoreCache]. */
interface LiveKeyReader {
    /** Returns the key's value and version, or null if the key is absent. */
    fun get(key: String): StoreWire.Item?

    /** Returns the items whose keys start with [prefix], in key order. */
    fun withPrefix(prefix: String): Collection<StoreWire.Item>

    /** Runs [read] at one revision of the store, so that it sees either all changes of a transaction or none. */
    fun <T> atomically(read: () -> T): T
}
