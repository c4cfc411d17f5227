package glenspool.simulation

import glenspool.state.LiveKeyReader
import glenspool.state.Put
import glenspool.wire.Cbor
import glenspool.wire.Fields
import glenspool.wire.StoreWire
import glenspool.wire.count
import glenspool.wire.maps
import glenspool.wire.text
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer
import java.util.TreeMap

/** The state service as the protocol describes it, in memory. Leases end only when told to. */
class InMemoryStore : LiveKeyReader {
    data class Entry(val value: Fields, val version: Long, val lease: Long?)

    val entries = TreeMap<String, Entry>()
    val log = ArrayList<Triple<String, Fields?, Long>>()
    var revision = 0L
    private var lastLease = 0L
    private val leases = HashSet<Long>()

    /** The node that gets 503, or everyone. */
    var down = false
    var opsLimit = 24

    /** Larger values get 400. */
    var valueLimit = 16 * 1024

    /** What others do just before a transaction is carried out. */
    var beforeTransaction: (List<Put>) -> Unit = {}

    /**
     * Whether the answer to a transaction is lost although it was carried out. It can't be read then, which is no
     * answer.
     */
    var loses: () -> Boolean = { false }

    /** Transactions and reads of single keys that came in. */
    var served = 0
        private set

    /** So many of the next transactions are over the rate. */
    var throttled = 0

    @Synchronized
    fun newLease(): Long = (++lastLease).also { leases.add(it) }

    @Synchronized
    fun endLease(id: Long) {
        if (!leases.remove(id)) return
        val keys = entries.filterValues { it.lease == id }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach(::drop)
    }

    private fun drop(key: String) {
        if (entries.remove(key) != null) log.add(Triple(key, null, revision))
    }

    /** Sizes are counted in JSON. */
    fun tooLarge(p: Put) = Cbor.jsonBytes(p.value) > valueLimit

    /** The failed keys, or null once applied. */
    @Synchronized
    fun transact(conditions: Map<String, Long>, puts: List<Put>, removes: List<String>): List<String>? {
        check(puts.size + removes.size <= opsLimit) { "too many changes: ${puts.size + removes.size}" }
        check(conditions.size <= opsLimit * 4) { "too many conditions" }
        check(puts.none(::tooLarge)) { "too large" }
        val failed = conditions.filter { (k, v) -> (entries[k]?.version ?: 0L) != v }.keys.toList()
        if (failed.isNotEmpty()) return failed
        if (puts.isEmpty() && removes.isEmpty()) return null
        revision++
        for (p in puts) {
            // As it would come back over the wire.
            val value = Cbor.decodeMap(Cbor.encode(p.value))
            entries[p.key] = Entry(value, revision, p.lease)
            log.add(Triple(p.key, value, revision))
        }
        removes.forEach(::drop)
        return null
    }

    override fun get(key: String): StoreWire.Item? = entries[key]?.let { StoreWire.Item(key, it.value, it.version) }

    @Synchronized
    override fun <T> atomically(read: () -> T): T = read()

    override fun withPrefix(prefix: String): List<StoreWire.Item> =
        entries
            .filterKeys {
                it.startsWith(prefix)
            }.map {
                StoreWire
                    .Item(it.key, it.value.value, it.value.version)
            }

    /** The same over HTTP. */
    @Synchronized
    fun serve(r: Request): Response {
        if (down) return reply(503, mapOf("error" to "trouble"))
        val path = r.uri.path
        if (path != "/follow") served++
        return when {
            path == "/multi" && throttled > 0 -> reply(429, emptyMap()).also { throttled-- }
            path == "/multi" ->
                multi(Cbor.decodeMap(r.body.stream.readAllBytes())).let {
                    if (loses()) {
                        Response(Status.OK)
                            .body("\u00ff")
                    } else {
                        it
                    }
                }
            path == "/leases" -> reply(200, mapOf("tenure" to newLease()))
            path.endsWith("/touch") ->
                if (path.split('/')[2].toLong() in
                    leases
                ) {
                    reply(200, emptyMap())
                } else {
                    reply(404, emptyMap())
                }
            path == "/follow" -> follow(r)
            path == "/store" -> list(r)
            r.method == Method.GET -> item(path.removePrefix("/store/"))
            else -> reply(400, emptyMap())
        }
    }

    private fun multi(m: Fields): Response {
        val apply =
            (m["apply"] as? List<*> ?: emptyList<Any>()).map {
                @Suppress("UNCHECKED_CAST")
                it as Fields
            }
        val puts =
            apply.filter { "set" in it }.map {
                @Suppress("UNCHECKED_CAST")
                Put(it.text("set"), it["data"] as Fields, it["tenure"] as Long?)
            }
        beforeTransaction(puts)
        if (puts.any { tooLarge(it) }) return reply(400, mapOf("error" to "too large"))
        if (puts.any { it.lease != null && it.lease !in leases }) return reply(400, mapOf("error" to "no such lease"))
        val failed =
            transact(
                m.maps("guards").associate {
                    it.text("key") to it.count("mark")
                },
                puts, apply.mapNotNull { it["remove"] as String? },
            )
        return if (failed ==
            null
        ) {
            reply(200, mapOf("ledger" to revision))
        } else {
            reply(409, mapOf("failed" to failed, "ledger" to revision))
        }
    }

    private fun follow(r: Request): Response {
        val after = r.query("after")?.toLong() ?: 0
        val prefix = r.query("starts") ?: ""
        val changes =
            log.filter { it.third > after && it.first.startsWith(prefix) }.map { (k, v, n) ->
                if (v == null) mapOf("remove" to k, "mark" to n) else mapOf("set" to k, "data" to v, "mark" to n)
            }
        return reply(200, mapOf("ledger" to revision, "log" to changes))
    }

    private fun list(r: Request): Response {
        val prefix = r.query("starts") ?: ""
        val after = r.query("after") ?: ""
        val all = entries.filterKeys { it.startsWith(prefix) && it > after }
        val page = all.entries.take(PAGE).map { (k, e) -> mapOf("key" to k, "data" to e.value, "mark" to e.version) }
        return reply(200, mapOf("rows" to page, "has_next" to (all.size > PAGE), "ledger" to revision))
    }

    private fun item(key: String): Response {
        val e = entries[key] ?: return reply(404, mapOf("ledger" to revision))
        return reply(200, mapOf("key" to key, "data" to e.value, "mark" to e.version))
    }

    private fun reply(status: Int, body: Fields) =
        Response(Status(status, null))
            .body(Body(ByteBuffer.wrap(Cbor.encode(body))))

    companion object {
        /** Small, so that paging is exercised. */
        const val PAGE = 3
    }
}
