package glenspool.state

import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An answer of the state service. [Refused] means: not executed. [Unknown]: perhaps executed, perhaps later. */
sealed interface StoreResult<out T> {
    data class Ok<T>(val value: T) : StoreResult<T>

    data object Missing : StoreResult<Nothing>

    data class Conflict(val keys: List<String>) : StoreResult<Nothing>

    data class Refused(val status: Int) : StoreResult<Nothing>

    data class Unknown(val why: String) : StoreResult<Nothing>
}

/** A key to be set; with a [lease] it is removed when that ends. */
data class Put(val key: String, val value: Fields, val lease: Long? = null)

/** The state service's requests, one for one. */
class KeyValueStoreClient(private val addr: String, private val http: HttpCaller) {
    /** Whether the last request that told anything found the state service out of this node's reach. */
    @Volatile
    var failing = false
        private set

    fun get(key: String): StoreResult<StoreWire.Item> =
        map(http.get(addr, "${StoreWire.GET}/$key", TIMEOUT)) {
            StoreWire
                .item(it)
        }

    data class Page(val items: List<StoreWire.Item>, val more: Boolean, val revision: Long)

    fun list(prefix: String, after: String?): StoreResult<Page> =
        map(http.get(addr, StoreWire.list(prefix, after), LIST_TIMEOUT)) {
            Page(StoreWire.items(it), StoreWire.more(it), StoreWire.revision(it))
        }

    data class Changes(val changes: List<StoreWire.Change>, val revision: Long)

    fun follow(prefix: String, after: Long, wait: Duration): StoreResult<Changes> =
        map(http.get(addr, StoreWire.follow(prefix, after, wait), wait + FOLLOW_TIMEOUT)) {
            Changes(StoreWire.changes(it), StoreWire.revision(it))
        }

    /** All or nothing, if every key has the version given. The value is the revision. */
    fun transact(
        conditions: Map<String, Long>,
        puts: List<Put>,
        removes: List<String> = emptyList(),
    ): StoreResult<Long> =
        map(
            http
                .post(
                    addr, StoreWire.TRANSACTION,
                    StoreWire
                        .transaction(conditions, puts.map { Triple(it.key, it.value, it.lease) }, removes),
                    TIMEOUT,
                ),
        ) {
            StoreWire.revision(it)
        }

    fun newLease(ttl: Duration): StoreResult<Long> =
        map(
            http
                .post(addr, StoreWire.LEASES, StoreWire.newLease(ttl), TIMEOUT),
        ) { StoreWire.lease(it) }

    fun renew(lease: Long): StoreResult<Unit> =
        map(http.post(addr, StoreWire.renew(lease), emptyMap(), RENEW_TIMEOUT)) {
        }

    fun endLease(lease: Long): StoreResult<Unit> =
        map(
            http
                .call("DELETE", addr, "${StoreWire.LEASES}/$lease", null, RENEW_TIMEOUT),
        ) { }

    private fun <T> map(r: CallResult, read: (Fields) -> T): StoreResult<T> =
        convert(r, read).also {
            when (it) {
                is StoreResult.Unknown -> failing = true
                is StoreResult.Refused -> if (it.status == 0 || it.status >= 500) failing = true
                else -> failing = false
            }
        }

    private fun <T> convert(r: CallResult, read: (Fields) -> T): StoreResult<T> =
        when (r) {
            is CallResult.NotSent -> StoreResult.Refused(0)
            is CallResult.NoAnswer -> StoreResult.Unknown(r.reason)
            is CallResult.Answer ->
                try {
                    when (r.status) {
                        200 -> StoreResult.Ok(read(r.body))
                        404 -> StoreResult.Missing
                        409 -> StoreResult.Conflict(StoreWire.failed(r.body))
                        else -> StoreResult.Refused(r.status)
                    }
                } catch (e: MalformedMessage) {
                    StoreResult.Unknown(e.toString())
                }
        }

    companion object {
        private val TIMEOUT = 1500.milliseconds
        private val FOLLOW_TIMEOUT = 900.milliseconds
        private val RENEW_TIMEOUT = 1.seconds
        private val LIST_TIMEOUT = 5.seconds
    }
}
