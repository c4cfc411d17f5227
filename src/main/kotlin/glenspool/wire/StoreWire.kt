package glenspool.wire

import kotlin.time.Duration

/** The state service's messages. */
object StoreWire {
    data class Item(val key: String, val value: Fields, val version: Long)

    /** A change; [value] null means that the key was removed. */
    data class Change(val key: String, val value: Fields?, val version: Long)

    @Suppress("UNCHECKED_CAST")
    fun item(m: Fields): Item =
        Item(
            m.text("key"),
            m["data"] as? Fields ?: throw MalformedMessage("data: a map is needed"), m.count("mark"),
        )

    fun items(m: Fields): List<Item> = m.maps("rows").map(::item)

    fun more(m: Fields): Boolean = m.flagOr("has_next", false)

    fun revision(m: Fields): Long = m.count("ledger")

    fun failed(m: Fields): List<String> = m.textsOrNull("failed") ?: emptyList()

    fun lease(m: Fields): Long = m.count("tenure")

    fun newLease(ttl: Duration): Fields = mapOf("life_ms" to ttl.inWholeMilliseconds)

    @Suppress("UNCHECKED_CAST")
    fun changes(m: Fields): List<Change> =
        m.maps("log").map { e ->
            val removed = e.textOrNull("remove")
            if (removed != null) {
                Change(removed, null, e.count("mark"))
            } else {
                Change(
                    e.text("set"), e["data"] as? Fields ?: throw MalformedMessage("data: a map is needed"),
                    e
                        .count("mark"),
                )
            }
        }

    fun transaction(
        conditions: Map<String, Long>,
        puts: List<Triple<String, Fields, Long?>>,
        removes: List<String>,
    ): Fields {
        val ops = ArrayList<Fields>(puts.size + removes.size)
        for ((key, value, lease) in puts) {
            val op = linkedMapOf<String, Any?>("set" to key, "data" to value)
            if (lease != null) op["tenure"] = lease
            ops.add(op)
        }
        removes.forEach { ops.add(mapOf("remove" to it)) }
        val m = linkedMapOf<String, Any?>("guards" to conditions.map { (k, v) -> mapOf("key" to k, "mark" to v) })
        if (ops.isNotEmpty()) m["apply"] = ops
        return m
    }

    const val GET = "/store"
    const val TRANSACTION = "/multi"
    const val FOLLOW = "/follow"
    const val LEASES = "/leases"

    fun list(prefix: String, after: String?): String = "$GET?starts=$prefix" + (if (after != null) "&after=$after" else "") + "&page=1000"

    fun follow(prefix: String, after: Long, wait: Duration): String = "$FOLLOW?starts=$prefix&after=$after&wait_ms=${wait.inWholeMilliseconds}"

    fun renew(lease: Long): String = "$LEASES/$lease/touch"
}
