package glenspool.state

import glenspool.wire.StoreWire

/** A view of the live keys of the key-value store, such as a node's [StoreCache]. */
interface LiveKeyReader {
    /** The key's value and version; null if it is absent. */
    fun get(key: String): StoreWire.Item?

    /** The items whose keys begin with [prefix], in the order of their keys. */
    fun withPrefix(prefix: String): Collection<StoreWire.Item>

    /** Reads several keys at one revision: changes made by one transaction are seen together or not at all. */
    fun <T> atomically(read: () -> T): T
}
