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

/**
 * An in-memory key-value store that implements the protocol of the real one. Tests call it directly or, through
 * [serve], over HTTP. Leases end only by [endLease].
 */
class InMemoryStore : LiveKeyReader {
    data class Entry(val value: Fields, val version: Long, val lease: Long?)

    val entries = TreeMap<String, Entry>()

    /** All changes, each with its key, its value (null if the key was removed) and its revision. */
    val log = ArrayList<Triple<String, Fields?, Long>>()

    /** The revision of the newest change. */
    var revision = 0L
        private set
    private var lastLease = 0L
    private val leases = HashSet<Long>()

    /** Whether every request is answered with 503. */
    var isDown = false

    /** Whether every request other than a transaction is answered with 503. */
    var rejectsReads = false

    /** The maximum number of changes of a transaction. Conditions are limited to four times as many. */
    var maxChangesPerTransaction = 24

    /** The maximum size of a value in JSON. A larger value is answered with status 400. */
    var maxValueBytes = 16 * 1024

    /** Called just before a transaction over HTTP is executed, so that a test can make concurrent changes. */
    var beforeTransaction: (List<Put>) -> Unit = {}

    /** Returns whether the response to an executed transaction is replaced by one that can't be decoded. */
    var losesResponse: () -> Boolean = { false }

    /** The number of requests received while the store was not down, apart from those that follow the changes. */
    var servedRequests = 0
        private set

    /** The number of next transactions that are answered with status 429, as if they exceeded the rate limit. */
    var transactionsToThrottle = 0

    @Synchronized
    fun newLease(): Long = (++lastLease).also { leases.add(it) }

    @Synchronized
    fun endLease(id: Long) {
        if (!leases.remove(id)) return
        val keys = entries.filterValues { it.lease == id }.keys.toList()
        if (keys.isEmpty()) return
        revision++
        keys.forEach(::remove)
    }

    private fun remove(key: String) {
        if (entries.remove(key) != null) log.add(Triple(key, null, revision))
    }

    fun isTooLarge(put: Put) = Cbor.jsonSizeBytes(put.value) > maxValueBytes

    /**
     * Executes a conditional transaction. Returns the keys whose versions differ from [conditions], or null if the
     * transaction was executed.
     */
    @Synchronized
    fun transact(conditions: Map<String, Long>, puts: List<Put>, removes: List<String>): List<String>? {
        check(puts.size + removes.size <= maxChangesPerTransaction) {
            "too many changes in a transaction: ${puts.size + removes.size}"
        }
        check(conditions.size <= maxChangesPerTransaction * 4) { "too many conditions in a transaction" }
        check(puts.none(::isTooLarge)) { "a value of the transaction is too large" }
        val failed = conditions.filter { (key, version) -> (entries[key]?.version ?: 0L) != version }.keys.toList()
        if (failed.isNotEmpty()) return failed
        if (puts.isEmpty() && removes.isEmpty()) return null
        revision++
        for (put in puts) {
            // Encoded and decoded again, so that readers get the value as they would over the wire.
            val value = Cbor.decodeMap(Cbor.encode(put.value))
            entries[put.key] = Entry(value, revision, put.lease)
            log.add(Triple(put.key, value, revision))
        }
        removes.forEach(::remove)
        return null
    }

    override fun get(key: String): StoreWire.Item? = entries[key]?.let { StoreWire.Item(key, it.value, it.version) }

    @Synchronized
    override fun <T> atomically(read: () -> T): T = read()

    override fun withPrefix(prefix: String): List<StoreWire.Item> =
        entries
            .filterKeys { it.startsWith(prefix) }
            .map { (key, entry) -> StoreWire.Item(key, entry.value, entry.version) }

    /** Answers a request of the store's HTTP protocol. */
    @Synchronized
    fun serve(request: Request): Response {
        if (isDown) return reply(503, mapOf("error" to "trouble"))
        val path = request.uri.path
        if (rejectsReads && path != "/multi") return reply(503, mapOf("error" to "trouble"))
        if (path != "/follow") servedRequests++
        return when {
            path == "/multi" -> multi(request)
            path == "/leases" -> reply(200, mapOf("tenure" to newLease()))
            path.endsWith("/touch") -> touch(path.split('/')[2].toLong())
            path == "/follow" -> follow(request)
            path == "/store" -> list(request)
            request.method == Method.GET -> item(path.removePrefix("/store/"))
            else -> reply(400, emptyMap())
        }
    }

    private fun multi(request: Request): Response {
        if (transactionsToThrottle > 0) {
            transactionsToThrottle--
            return reply(429, emptyMap())
        }
        val response = execute(Cbor.decodeMap(request.body.stream.readAllBytes()))
        return if (losesResponse()) Response(Status.OK).body(UNREADABLE) else response
    }

    private fun execute(transaction: Fields): Response {
        val changes = if ("apply" in transaction) transaction.maps("apply") else emptyList()
        val puts = changes.filter { "set" in it }.map(::put)
        beforeTransaction(puts)
        if (puts.any(::isTooLarge)) return reply(400, mapOf("error" to "too large"))
        if (puts.any { it.lease != null && it.lease !in leases }) return reply(400, mapOf("error" to "no such lease"))
        val conditions = transaction.maps("guards").associate { it.text("key") to it.count("mark") }
        val failed = transact(conditions, puts, changes.mapNotNull { it["remove"] as String? })
        return if (failed == null) {
            reply(200, mapOf("ledger" to revision))
        } else {
            reply(409, mapOf("failed" to failed, "ledger" to revision))
        }
    }

    @Suppress("UNCHECKED_CAST")
    private fun put(change: Fields) = Put(change.text("set"), change["data"] as Fields, change["tenure"] as Long?)

    private fun touch(lease: Long): Response = reply(if (lease in leases) 200 else 404, emptyMap())

    private fun follow(request: Request): Response {
        val after = request.query("after")?.toLong() ?: 0
        val prefix = request.query("starts") ?: ""
        val changes =
            log
                .filter { (key, _, version) -> version > after && key.startsWith(prefix) }
                .map { (key, value, version) ->
                    if (value == null) {
                        mapOf("remove" to key, "mark" to version)
                    } else {
                        mapOf("set" to key, "data" to value, "mark" to version)
                    }
                }
        return reply(200, mapOf("ledger" to revision, "log" to changes))
    }

    private fun list(request: Request): Response {
        val prefix = request.query("starts") ?: ""
        val after = request.query("after") ?: ""
        val all = entries.filterKeys { it.startsWith(prefix) && it > after }
        val page = all.entries.take(PAGE_SIZE).map { (key, entry) -> row(key, entry) }
        return reply(200, mapOf("rows" to page, "has_next" to (all.size > PAGE_SIZE), "ledger" to revision))
    }

    private fun item(key: String): Response {
        val entry = entries[key] ?: return reply(404, mapOf("ledger" to revision))
        return reply(200, row(key, entry))
    }

    private fun row(key: String, entry: Entry): Fields =
        mapOf("key" to key, "data" to entry.value, "mark" to entry.version)

    private fun reply(status: Int, body: Fields) =
        Response(Status(status, null)).body(Body(ByteBuffer.wrap(Cbor.encode(body))))

    companion object {
        /** The number of entries of a page, which is small so that paging is exercised. */
        const val PAGE_SIZE = 3

        /** A response body that is not decodable as CBOR. */
        private const val UNREADABLE = "\u00ff"
    }
}
