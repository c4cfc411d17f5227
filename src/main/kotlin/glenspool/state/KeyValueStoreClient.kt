package glenspool.state

import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.StoreWire
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The outcome of a request to the key-value store. */
sealed interface StoreResult<out T> {
    /** The request was carried out. */
    data class Ok<T>(val value: T) : StoreResult<T>

    /** The key or lease does not exist. */
    data object Missing : StoreResult<Nothing>

    /** The transaction was not carried out, because the conditions on these [keys] do not hold. */
    data class Conflict(val keys: List<String>) : StoreResult<Nothing>

    /**
     * The request was not carried out and will not be carried out later.
     *
     * @property status the HTTP status of the response, or [NOT_SENT] if no connection was established
     */
    data class Refused(val status: Int) : StoreResult<Nothing> {
        companion object {
            const val NOT_SENT = 0
        }
    }

    /**
     * No response was received that could be decoded. The request may have been carried out, or may be carried out
     * later; only a read shows the result.
     */
    data class Unknown(val reason: String) : StoreResult<Nothing>
}

/** A key that a transaction sets. */
typealias Put = StoreWire.Put

/**
 * A client of the consensus-backed key-value store. Each function sends one request and does not retry it. Writes are
 * compare-and-swap transactions on the versions of keys.
 */
class KeyValueStoreClient(private val addr: String, private val http: HttpClient) {
    /**
     * Whether the store was unreachable or failing at the last conclusive request. A response that rejects a request
     * for the request's own fault is not conclusive.
     */
    @Volatile
    var isUnreachable = false
        private set

    /** One page of a list, read at the store's [revision]. */
    data class Page(val items: List<StoreWire.Item>, val hasNextPage: Boolean, val revision: Long)

    /** Changes up to the store's [revision]. */
    data class Changes(val changes: List<StoreWire.Change>, val revision: Long)

    /** Reads one key. */
    fun get(key: String): StoreResult<StoreWire.Item> {
        val reply = http.get(addr, "${StoreWire.STORE_PATH}/$key", TIMEOUT)
        return resultOf(reply) { StoreWire.decodeItem(it) }
    }

    /** Lists the keys with this [prefix] in key order, starting after the key [afterKey]. */
    fun list(prefix: String, afterKey: String?): StoreResult<Page> {
        val reply = http.get(addr, StoreWire.listPath(prefix, afterKey), LIST_TIMEOUT)
        return resultOf(reply) {
            Page(StoreWire.decodeItems(it), StoreWire.hasNextPage(it), StoreWire.decodeRevision(it))
        }
    }

    /**
     * Returns the changes after the revision [afterRevision] to keys with this [prefix]. If there are none, the store
     * waits up to [wait] for a change before it answers. The result is [StoreResult.Refused] with status 410 if the
     * store no longer has the changes since that revision.
     */
    fun watch(prefix: String, afterRevision: Long, wait: Duration): StoreResult<Changes> {
        val reply = http.get(addr, StoreWire.watchPath(prefix, afterRevision, wait), wait + WATCH_ANSWER_MARGIN)
        return resultOf(reply) { Changes(StoreWire.decodeChanges(it), StoreWire.decodeRevision(it)) }
    }

    /**
     * Carries out all changes if every key in [conditions] has the given version (0 if the key must be absent);
     * otherwise it changes nothing. The result is the revision of the transaction.
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

    /** Requests a lease that expires [ttl] after its last renewal. The result is the lease's id. */
    fun newLease(ttl: Duration): StoreResult<Long> {
        val reply = http.post(addr, StoreWire.LEASES_PATH, StoreWire.leaseRequest(ttl), TIMEOUT)
        return resultOf(reply) { StoreWire.decodeLease(it) }
    }

    /** Renews a lease. The result is [StoreResult.Missing] if the lease has expired. */
    fun renewLease(lease: Long): StoreResult<Unit> {
        val reply = http.post(addr, StoreWire.renewalPath(lease), emptyMap(), RENEW_TIMEOUT)
        return resultOf(reply) {}
    }

    /** Ends a lease. The store then removes the keys that were set with it. */
    fun endLease(lease: Long): StoreResult<Unit> {
        val reply = http.call("DELETE", addr, "${StoreWire.LEASES_PATH}/$lease", null, RENEW_TIMEOUT)
        return resultOf(reply) {}
    }

    private fun <T> resultOf(reply: CallResult, decode: (Fields) -> T): StoreResult<T> {
        val result = toResult(reply, decode)
        when (result) {
            is StoreResult.Unknown -> isUnreachable = true
            is StoreResult.Refused -> if (isOutage(result.status)) isUnreachable = true
            else -> isUnreachable = false
        }
        return result
    }

    private fun isOutage(status: Int) = status == StoreResult.Refused.NOT_SENT || status >= FIRST_SERVER_ERROR

    private fun <T> toResult(reply: CallResult, decode: (Fields) -> T): StoreResult<T> =
        when (reply) {
            is CallResult.NotSent -> StoreResult.Refused(StoreResult.Refused.NOT_SENT)
            is CallResult.NoResponse -> StoreResult.Unknown(reply.reason)
            is CallResult.Response ->
                try {
                    responseToResult(reply, decode)
                } catch (e: MalformedMessage) {
                    StoreResult.Unknown(e.toString())
                }
        }

    private fun <T> responseToResult(response: CallResult.Response, decode: (Fields) -> T): StoreResult<T> =
        when (response.status) {
            OK -> StoreResult.Ok(decode(response.body))
            NOT_FOUND -> StoreResult.Missing
            CONFLICT -> StoreResult.Conflict(StoreWire.decodeConflicts(response.body))
            else -> StoreResult.Refused(response.status)
        }

    private companion object {
        const val OK = 200
        const val NOT_FOUND = 404
        const val CONFLICT = 409
        const val FIRST_SERVER_ERROR = 500
        val TIMEOUT = 1500.milliseconds

        /** The time that the response to a watch may take in addition to the watch's wait. */
        val WATCH_ANSWER_MARGIN = 900.milliseconds
        val RENEW_TIMEOUT = 1.seconds
        val LIST_TIMEOUT = 5.seconds
    }
}
