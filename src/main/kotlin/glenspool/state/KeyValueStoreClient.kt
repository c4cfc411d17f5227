package glenspool.state

import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** How a request to the key-value store ended. */
sealed interface StoreResult<out T> {
    /** Carried out. */
    data class Ok<T>(val value: T) : StoreResult<T>

    /** There is no such key or lease. */
    data object Missing : StoreResult<Nothing>

    /** A transaction was not carried out, as the conditions on these [keys] do not hold. */
    data class Conflict(val keys: List<String>) : StoreResult<Nothing>

    /**
     * Not carried out, neither now nor later. [status] is the HTTP status of the refusal, or [NOT_SENT] if no
     * connection came about.
     */
    data class Refused(val status: Int) : StoreResult<Nothing> {
        companion object {
            const val NOT_SENT = 0
        }
    }

    /** No answer that could be understood: perhaps carried out, perhaps later; only a read tells. */
    data class Unknown(val reason: String) : StoreResult<Nothing>
}

/** A key to be set by a transaction. */
typealias Put = StoreWire.Put

/**
 * The requests of the consensus-backed key-value store, one for one and without retries. Writes are compare-and-swap
 * transactions on the versions of keys.
 */
class KeyValueStoreClient(private val addr: String, private val http: HttpClient) {
    /**
     * Whether the last conclusive request found the store unreachable or failing. Refusals that are the request's own
     * fault are not conclusive.
     */
    @Volatile
    var isUnreachable = false
        private set

    /** One page of a list, with the store's [revision] when it was read. */
    data class Page(val items: List<StoreWire.Item>, val hasNextPage: Boolean, val revision: Long)

    /** The changes up to [revision]. */
    data class Changes(val changes: List<StoreWire.Change>, val revision: Long)

    /** Reads one key. */
    fun get(key: String): StoreResult<StoreWire.Item> {
        val reply = http.get(addr, "${StoreWire.STORE_PATH}/$key", TIMEOUT)
        return resultOf(reply) { StoreWire.decodeItem(it) }
    }

    /** Lists the keys with this [prefix], in order, behind the key [after]. */
    fun list(prefix: String, after: String?): StoreResult<Page> {
        val reply = http.get(addr, StoreWire.listPath(prefix, after), LIST_TIMEOUT)
        return resultOf(reply) {
            Page(StoreWire.decodeItems(it), StoreWire.hasNextPage(it), StoreWire.decodeRevision(it))
        }
    }

    /**
     * Watches the keys with this [prefix]: delivers the changes after the revision [after], and waits for one as long
     * as [wait]. Refused with 410 if the store has forgotten that revision.
     */
    fun watch(prefix: String, after: Long, wait: Duration): StoreResult<Changes> {
        val reply = http.get(addr, StoreWire.watchPath(prefix, after, wait), wait + FOLLOW_TIMEOUT)
        return resultOf(reply) { Changes(StoreWire.decodeChanges(it), StoreWire.decodeRevision(it)) }
    }

    /**
     * Carries out all changes if every key in [conditions] has the version given (0: is absent), or none. The value is
     * the revision.
     */
    fun transact(
        conditions: Map<String, Long>,
        puts: List<Put>,
        removes: List<String> = emptyList(),
    ): StoreResult<Long> {
        val body = StoreWire.transaction(conditions, puts, removes)
        val reply = http.post(addr, StoreWire.TRANSACTION_PATH, body, TIMEOUT)
        return resultOf(reply) { StoreWire.decodeRevision(it) }
    }

    /** Grants a lease that expires [ttl] after its last renewal; the value is its id. */
    fun newLease(ttl: Duration): StoreResult<Long> {
        val reply = http.post(addr, StoreWire.LEASES_PATH, StoreWire.leaseRequest(ttl), TIMEOUT)
        return resultOf(reply) { StoreWire.decodeLease(it) }
    }

    /** Renews a lease; [StoreResult.Missing] once it has expired. */
    fun renewLease(lease: Long): StoreResult<Unit> {
        val reply = http.post(addr, StoreWire.renewalPath(lease), emptyMap(), RENEW_TIMEOUT)
        return resultOf(reply) {}
    }

    /** Ends a lease, which removes the keys that were set with it. */
    fun endLease(lease: Long): StoreResult<Unit> {
        val reply = http.call("DELETE", addr, "${StoreWire.LEASES_PATH}/$lease", null, RENEW_TIMEOUT)
        return resultOf(reply) {}
    }

    private fun <T> resultOf(reply: CallResult, decode: (Fields) -> T): StoreResult<T> {
        val result = convert(reply, decode)
        when (result) {
            is StoreResult.Unknown -> isUnreachable = true
            is StoreResult.Refused -> if (isOutage(result.status)) isUnreachable = true
            else -> isUnreachable = false
        }
        return result
    }

    private fun isOutage(status: Int) = status == StoreResult.Refused.NOT_SENT || status >= FIRST_SERVER_ERROR

    private fun <T> convert(reply: CallResult, decode: (Fields) -> T): StoreResult<T> =
        when (reply) {
            is CallResult.NotSent -> StoreResult.Refused(StoreResult.Refused.NOT_SENT)
            is CallResult.NoResponse -> StoreResult.Unknown(reply.reason)
            is CallResult.Response ->
                try {
                    convertAnswer(reply, decode)
                } catch (e: MalformedMessage) {
                    StoreResult.Unknown(e.toString())
                }
        }

    private fun <T> convertAnswer(answer: CallResult.Response, decode: (Fields) -> T): StoreResult<T> =
        when (answer.status) {
            OK -> StoreResult.Ok(decode(answer.body))
            NOT_FOUND -> StoreResult.Missing
            CONFLICT -> StoreResult.Conflict(StoreWire.decodeConflicts(answer.body))
            else -> StoreResult.Refused(answer.status)
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val FIRST_SERVER_ERROR = 500
        val TIMEOUT = 1500.milliseconds

        /** How long the answer to a watch may take beyond its wait. */
        val FOLLOW_TIMEOUT = 900.milliseconds
        val RENEW_TIMEOUT = 1.seconds
        val LIST_TIMEOUT = 5.seconds
    }
}
