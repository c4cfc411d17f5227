package glenspool.wire

import kotlin.time.Duration

/**
 * The messages and paths of the key-value store.
 *
 * | protocol | here |
 * | --- | --- |
 * | `data` | a key's value |
 * | `mark` | the version of a key: the revision of the transaction that last set it; 0: absent |
 * | `ledger` | the store's revision |
 * | `guards` | the conditions of a compare-and-swap transaction |
 * | `apply` | its changes, each with `set` or `remove` |
 * | `tenure` | lease |
 * | `touch` | renewal of a lease |
 * | `log` | the changes that a watch delivers |
 */
object StoreWire {
    /** A stored key with its value and version. */
    data class Item(val key: String, val value: Fields, val version: Long)

    /** A change; [value] null means that the key was removed. */
    data class Change(val key: String, val value: Fields?, val version: Long)

    /** A key to be set; with a [lease] the store removes it once that has expired or was ended. */
    data class Put(val key: String, val value: Fields, val lease: Long? = null)

    const val STORE_PATH = "/store"
    const val TRANSACTION_PATH = "/multi"
    const val WATCH_PATH = "/follow"
    const val LEASES_PATH = "/leases"
    private const val PAGE_ITEMS = 1000

    /** The path that lists keys with this [prefix] behind the key [after], one page of them. */
    fun listPath(prefix: String, after: String?): String {
        val start = if (after != null) "&after=$after" else ""
        return "$STORE_PATH?starts=$prefix$start&page=$PAGE_ITEMS"
    }

    /** The path of a watch: changes after the revision [after], for which the store waits as long as [wait]. */
    fun watchPath(prefix: String, after: Long, wait: Duration): String {
        val waitMs = wait.inWholeMilliseconds
        return "$WATCH_PATH?starts=$prefix&after=$after&wait_ms=$waitMs"
    }

    /** The path that renews a lease. */
    fun renewalPath(lease: Long): String = "$LEASES_PATH/$lease/touch"

    /** The body that asks for a lease. */
    fun leaseRequest(ttl: Duration): Fields = mapOf("life_ms" to ttl.inWholeMilliseconds)

    /** The body of a compare-and-swap transaction: all changes if every key has the version given, or none. */
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

    /** One page of a list. */
    fun decodeItems(fields: Fields): List<Item> = fields.maps("rows").map(::decodeItem)

    /** Whether further pages follow this one. */
    fun hasNextPage(fields: Fields): Boolean = fields.flagOr("has_next", false)

    /** The store's revision at the time of the answer, or that of the transaction that it answers. */
    fun decodeRevision(fields: Fields): Long = fields.count("ledger")

    /** The keys whose conditions a transaction failed on. */
    fun decodeConflicts(fields: Fields): List<String> = fields.textsOrNull("failed") ?: emptyList()

    /** The id of a lease that was granted. */
    fun decodeLease(fields: Fields): Long = fields.count("tenure")

    /** What a watch delivered. */
    fun decodeChanges(fields: Fields): List<Change> = fields.maps("log").map(::decodeChange)

    private fun decodeChange(fields: Fields): Change {
        val removed = fields.textOrNull("remove")
        if (removed != null) return Change(removed, null, fields.count("mark"))
        return Change(fields.text("set"), fields.nested("data"), fields.count("mark"))
    }
}
