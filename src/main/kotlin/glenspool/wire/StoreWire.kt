package glenspool.wire

import kotlin.time.Duration

/**
 * The messages and paths of the key-value store.
 *
 * | protocol | here |
 * | --- | --- |
 * | `data` | a key's value |
 * | `mark` | the version of a key, which is the revision of the transaction that last set it; 0 if it is absent |
 * | `ledger` | the store's revision |
 * | `guards` | the conditions of a compare-and-swap transaction |
 * | `apply` | the changes of the transaction, each with `set` or `remove` |
 * | `tenure` | lease |
 * | `touch` | renewal of a lease |
 * | `log` | the changes that a watch delivers |
 */
object StoreWire {
    /** A stored key with its value and version. */
    data class Item(val key: String, val value: Fields, val version: Long)

    /** A change of a key. [value] is null if the key was removed. */
    data class Change(val key: String, val value: Fields?, val version: Long)

    /** A key that a transaction sets. If it has a [lease], the store removes it when the lease expires or is ended. */
    data class Put(val key: String, val value: Fields, val lease: Long? = null)

    const val STORE_PATH = "/store"
    const val TRANSACTION_PATH = "/multi"
    const val WATCH_PATH = "/follow"
    const val LEASES_PATH = "/leases"
    private const val ITEMS_PER_PAGE = 1000

    /** The path that lists one page of the keys with this [prefix], starting after the key [afterKey]. */
    fun listPath(prefix: String, afterKey: String?): String {
        val start = if (afterKey != null) "&after=$afterKey" else ""
        return "$STORE_PATH?starts=$prefix$start&page=$ITEMS_PER_PAGE"
    }

    /**
     * The path of a watch, which asks for the changes after the revision [afterRevision]. If there are none, the store
     * waits up to [wait] for a change.
     */
    fun watchPath(prefix: String, afterRevision: Long, wait: Duration): String {
        val waitMs = wait.inWholeMilliseconds
        return "$WATCH_PATH?starts=$prefix&after=$afterRevision&wait_ms=$waitMs"
    }

    /** The path that renews a lease. */
    fun renewalPath(lease: Long): String = "$LEASES_PATH/$lease/touch"

    /** The body of a request for a lease. */
    fun leaseRequest(ttl: Duration): Fields = mapOf("life_ms" to ttl.inWholeMilliseconds)

    /**
     * The body of a compare-and-swap transaction. The store carries out all changes if every key in [conditions] has
     * the given version; otherwise it changes nothing.
     */
    fun transaction(conditions: Map<String, Long>, puts: List<Put>, removes: List<String>): Fields {
        val guards = conditions.map { (key, version) -> mapOf("key" to key, "mark" to version) }
        val changes = ArrayList<Fields>(puts.size + removes.size)
        puts.forEach { changes.add(encodePut(it)) }
        removes.forEach { changes.add(mapOf("remove" to it)) }
        val fields = linkedMapOf<String, Any?>("guards" to guards)
        if (changes.isNotEmpty()) fields["apply"] = changes
        return fields
    }

    private fun encodePut(put: Put): Fields {
        val fields = linkedMapOf<String, Any?>("set" to put.key, "data" to put.value)
        if (put.lease != null) fields["tenure"] = put.lease
        return fields
    }

    fun decodeItem(fields: Fields): Item = Item(fields.text("key"), fields.nested("data"), fields.count("mark"))

    /** Decodes one page of a list. */
    fun decodeItems(fields: Fields): List<Item> = fields.maps("rows").map(::decodeItem)

    /** Whether further pages follow this one. */
    fun hasNextPage(fields: Fields): Boolean = fields.flagOr("has_next", false)

    /** Decodes the store's revision at the time of the response, or the revision of the requested transaction. */
    fun decodeRevision(fields: Fields): Long = fields.count("ledger")

    /** Decodes the keys whose conditions made a transaction fail. */
    fun decodeConflicts(fields: Fields): List<String> = fields.textsOrNull("failed") ?: emptyList()

    /** Decodes the id of a granted lease. */
    fun decodeLease(fields: Fields): Long = fields.count("tenure")

    /** Decodes the changes that a watch delivered. */
    fun decodeChanges(fields: Fields): List<Change> = fields.maps("log").map(::decodeChange)

    private fun decodeChange(fields: Fields): Change {
        val removed = fields.textOrNull("remove")
        if (removed != null) return Change(removed, null, fields.count("mark"))
        return Change(fields.text("set"), fields.nested("data"), fields.count("mark"))
    }
}
