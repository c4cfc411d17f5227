package glenspool.controller

import glenspool.logging.loggerOf
import glenspool.state.KeyValueStoreClient
import glenspool.state.Keys
import glenspool.state.Put
import glenspool.state.StoreCache
import glenspool.state.StoreResult
import kotlin.time.Duration.Companion.milliseconds

/**
 * Stores single records by compare-and-swap. Each transaction is followed by a refresh of the store cache, so that the
 * next decision is made from what is stored by then, whatever the outcome of the transaction was.
 */
internal class RecordStore(private val store: KeyValueStoreClient, private val cache: StoreCache) {
    /** Brings the cache to a state later than this call. Returns false if the store did not answer in time. */
    fun refresh(): Boolean = cache.sync(SYNC_TIMEOUT)

    /** Stores the record if its own version is still [version], which is 0 for an absent record. */
    fun replace(put: Put, version: Long): StoreResult<Long> {
        val result = store.transact(mapOf(put.key to version), listOf(put))
        refresh()
        return result
    }

    /**
     * Stores the record if its own version is still [version] and the leadership is still [term]'s; [onDeposed] is
     * called if the store shows that it is not.
     */
    fun replaceInTerm(term: Term, put: Put, version: Long, onDeposed: () -> Unit = {}): StoreResult<Long> {
        val result = store.transact(mapOf(Keys.LEADERSHIP to term.recordVersion, put.key to version), listOf(put))
        if (result !is StoreResult.Ok) log.info("record {} not stored: {}", put.key, result)
        if (result is StoreResult.Conflict && Keys.LEADERSHIP in result.keys) onDeposed()
        refresh()
        return result
    }

    private companion object {
        val log = loggerOf(RecordStore::class.java)
        val SYNC_TIMEOUT = 1500.milliseconds
    }
}
