package glenspool.state

import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.StateWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An answer of the state service. [Refused] means: not executed. [Unknown]: perhaps executed, perhaps later. */
sealed interface StateResult<out T> {
    data class Ok<T>(val value: T) : StateResult<T>

    data object Missing : StateResult<Nothing>

    data class Conflict(val keys: List<String>) : StateResult<Nothing>

    data class Refused(val status: Int) : StateResult<Nothing>

    data class Unknown(val why: String) : StateResult<Nothing>
}

/** A key to be set; with a [lease] it is removed when that ends. */
data class Put(val key: String, val value: Fields, val lease: Long? = null)

/** The state service's requests, one for one. */
class StateClient(private val addr: String, private val http: HttpCaller) {
    /** Whether the last request that told anything found the state service out of this node's reach. */
    @Volatile
    var failing = false
        private set

    fun get(key: String): StateResult<StateWire.Item> =
        map(http.get(addr, "${StateWire.GET}/$key", TIMEOUT)) {
            StateWire
                .item(it)
        }

    data class Page(val items: List<StateWire.Item>, val more: Boolean, val revision: Long)

    fun list(prefix: String, after: String?): StateResult<Page> =
        map(http.get(addr, StateWire.list(prefix, after), LIST_TIMEOUT)) {
            Page(StateWire.items(it), StateWire.more(it), StateWire.revision(it))
        }

    data class Changes(val changes: List<StateWire.Change>, val revision: Long)

    fun follow(prefix: String, after: Long, wait: Duration): StateResult<Changes> =
        map(http.get(addr, StateWire.follow(prefix, after, wait), wait + FOLLOW_TIMEOUT)) {
            Changes(StateWire.changes(it), StateWire.revision(it))
        }

    /** All or nothing, if every key has the version given. The value is the revision. */
    fun transact(
        conditions: Map<String, Long>,
        puts: List<Put>,
        removes: List<String> = emptyList(),
    ): StateResult<Long> =
        map(
            http
                .post(
                    addr, StateWire.TRANSACTION,
                    StateWire
                        .transaction(conditions, puts.map { Triple(it.key, it.value, it.lease) }, removes),
                    TIMEOUT,
                ),
        ) {
            StateWire.revision(it)
        }

    fun newLease(ttl: Duration): StateResult<Long> =
        map(
            http
                .post(addr, StateWire.LEASES, StateWire.newLease(ttl), TIMEOUT),
        ) { StateWire.lease(it) }

    fun renew(lease: Long): StateResult<Unit> =
        map(http.post(addr, StateWire.renew(lease), emptyMap(), RENEW_TIMEOUT)) {
        }

    fun endLease(lease: Long): StateResult<Unit> =
        map(
            http
                .call("DELETE", addr, "${StateWire.LEASES}/$lease", null, RENEW_TIMEOUT),
        ) { }

    private fun <T> map(r: CallResult, read: (Fields) -> T): StateResult<T> =
        convert(r, read).also {
            when (it) {
                is StateResult.Unknown -> failing = true
                is StateResult.Refused -> if (it.status == 0 || it.status >= 500) failing = true
                else -> failing = false
            }
        }

    private fun <T> convert(r: CallResult, read: (Fields) -> T): StateResult<T> =
        when (r) {
            is CallResult.NotSent -> StateResult.Refused(0)
            is CallResult.NoAnswer -> StateResult.Unknown(r.why)
            is CallResult.Answer ->
                try {
                    when (r.status) {
                        200 -> StateResult.Ok(read(r.body))
                        404 -> StateResult.Missing
                        409 -> StateResult.Conflict(StateWire.failed(r.body))
                        else -> StateResult.Refused(r.status)
                    }
                } catch (e: MalformedMessage) {
                    StateResult.Unknown(e.toString())
                }
        }

    companion object {
        private val TIMEOUT = 1500.milliseconds
        private val FOLLOW_TIMEOUT = 900.milliseconds
        private val RENEW_TIMEOUT = 1.seconds
        private val LIST_TIMEOUT = 5.seconds
    }
}
