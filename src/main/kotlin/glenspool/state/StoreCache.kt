package glenspool.state

import glenspool.logging.loggerOf
import glenspool.wire.StoreWire
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentSkipListMap
import java.util.concurrent.ExecutionException
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * This node's cache of the live keys. A long-polling watch ([watchChanges]) keeps it up to date. [sync] brings it to a
 * state later than a user's request by a watch that does not wait, which delivers all changes up to the store's present
 * revision. The request is needed because a cache can't know the store's present revision.
 *
 * @param rps the request rate that the store allows; the cache uses a share of it
 * @param onRead called after each read of the present state with the time since its request was sent
 * @param onChange called with changes and their revision, under the cache's lock and in the order of revisions
 */
class StoreCache(
    private val client: KeyValueStoreClient,
    rps: Double,
    private val onRead: (Duration) -> Unit = {},
    private val onChange: (List<StoreWire.Change>, Long) -> Unit,
) : LiveKeyReader {
    /** The cached items. They are written under the lock and read without it where a single key is enough. */
    private val entries = ConcurrentSkipListMap<String, StoreWire.Item>()

    /** The store's revision up to which changes are in [entries]; guarded by the lock. */
    private var revision = NEVER_LOADED
    private val syncWaiters = LinkedBlockingQueue<CompletableFuture<Boolean>>()
    private val watchInterval = (1.0 / (rps * WATCH_SHARE)).seconds
    private val syncInterval = (1.0 / (rps * SYNC_SHARE)).seconds

    @Volatile
    private var lastReadAt: TimeMark? = null

    /** Returns the time since the last response with the store's present state, or null if there was none. */
    fun age(): Duration? = lastReadAt?.elapsedNow()

    override fun get(key: String): StoreWire.Item? = entries[key]

    override fun <T> atomically(read: () -> T): T = synchronized(this) { read() }

    override fun withPrefix(prefix: String): Collection<StoreWire.Item> {
        val end = prefix + Char.MAX_VALUE
        return entries.subMap(prefix, end).values
    }

    /**
     * Brings the cache to a state later than this call.
     *
     * @return false if the store did not answer within [timeout]
     */
    fun sync(timeout: Duration): Boolean {
        val waiter = CompletableFuture<Boolean>()
        syncWaiters.add(waiter)
        return try {
            waiter.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            log.debug("sync of the store cache timed out")
            false
        } catch (e: ExecutionException) {
            log.warn("sync of the store cache failed", e)
            false
        }
    }

    /** Serves [sync] until the thread is interrupted. All callers that wait at the same time share one request. */
    fun serveSyncs() {
        while (!Thread.currentThread().isInterrupted) {
            val waiting = ArrayList<CompletableFuture<Boolean>>()
            // The state is also read without waiters, so that an unreachable store is noticed early.
            syncWaiters.poll(IDLE_SYNC_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)?.let { waiting.add(it) }
            syncWaiters.drainTo(waiting)
            val isCurrent = refresh(Duration.ZERO)
            waiting.forEach { it.complete(isCurrent) }
            pause(syncInterval)
        }
    }

    /** Applies changes as they happen, by a long-polling watch, until the thread is interrupted. */
    fun watchChanges() {
        while (!Thread.currentThread().isInterrupted) {
            if (refresh(WATCH_WAIT)) pause(watchInterval) else pause(RETRY_DELAY)
        }
    }

    private fun pause(duration: Duration) = Thread.sleep(duration.inWholeMilliseconds)

    /**
     * Reads the changes since the last read, or all live keys if there was none.
     *
     * @return false if the store did not answer
     */
    private fun refresh(wait: Duration): Boolean {
        val cachedRevision = synchronized(this) { revision }
        if (cachedRevision == NEVER_LOADED) return load()
        val sentAt = TimeSource.Monotonic.markNow()
        val result = client.watch(Keys.LIVE, cachedRevision, wait)
        if (result is StoreResult.Refused && result.status == REVISION_COMPACTED) return load()
        if (result !is StoreResult.Ok) return false
        apply(result.value)
        lastReadAt = TimeSource.Monotonic.markNow()
        // A change may be made after the store has composed its response to a waiting watch, so the state is only known
        // to be as recent as the time at which the request was sent.
        onRead(sentAt.elapsedNow())
        return true
    }

    private fun apply(delivered: KeyValueStoreClient.Changes) {
        synchronized(this) {
            if (delivered.revision <= revision) return
            val newChanges = delivered.changes.filter { it.version > revision }
            newChanges.forEach(::applyChange)
            revision = delivered.revision
            if (newChanges.isNotEmpty()) onChange(newChanges, delivered.revision)
        }
    }

    private fun applyChange(change: StoreWire.Change) {
        // Pages of a load may be newer than the revision at which the load began. A watch on the other thread that was
        // answered in between must not set a key back to an older version, because the cache could then hold a record
        // without the level that it was written under.
        val cached = entries[change.key]
        if (cached != null && cached.version > change.version) return
        val value = change.value
        if (value == null) {
            entries.remove(change.key)
        } else {
            entries[change.key] = StoreWire.Item(change.key, value, change.version)
        }
    }

    /**
     * Reads all live keys. Changes that are made during the load are applied by the next [refresh].
     *
     * @return false if the store did not answer
     */
    private fun load(): Boolean {
        val sentAt = TimeSource.Monotonic.markNow()
        val snapshot = readSnapshot() ?: return false
        if (!replaceWith(snapshot)) return true
        lastReadAt = TimeSource.Monotonic.markNow()
        onRead(sentAt.elapsedNow())
        log.info("state loaded keys={} revision={}", snapshot.items.size, snapshot.revision)
        return true
    }

    /** Items that include all changes up to [revision] and may include later ones. */
    private class Snapshot(val items: Map<String, StoreWire.Item>, val revision: Long)

    /** Returns the items of all pages with the revision of the first page, or null if the store did not answer. */
    private fun readSnapshot(): Snapshot? {
        val items = HashMap<String, StoreWire.Item>()
        var firstRevision: Long? = null
        var afterKey: String? = null
        while (true) {
            val result = client.list(Keys.LIVE, afterKey)
            val page = if (result is StoreResult.Ok) result.value else return null
            val revision = firstRevision ?: page.revision
            firstRevision = revision
            page.items.forEach { items[it.key] = it }
            if (!page.hasNextPage || page.items.isEmpty()) return Snapshot(items, revision)
            afterKey = page.items.last().key
        }
    }

    /** Returns false, and changes nothing, if the cache is at the snapshot's revision or a later one. */
    private fun replaceWith(snapshot: Snapshot): Boolean {
        synchronized(this) {
            if (snapshot.revision <= revision) return false
            val changes = changesTo(snapshot)
            changes.forEach(::applyChange)
            revision = snapshot.revision
            onChange(changes, snapshot.revision)
        }
        return true
    }

    private fun changesTo(snapshot: Snapshot): List<StoreWire.Change> {
        val changes = ArrayList<StoreWire.Change>()
        for (key in entries.keys) {
            if (key !in snapshot.items) changes.add(StoreWire.Change(key, null, snapshot.revision))
        }
        for (item in snapshot.items.values) {
            val isCached = entries[item.key]?.version == item.version
            if (!isCached) changes.add(StoreWire.Change(item.key, item.value, item.version))
        }
        return changes
    }

    private companion object {
        val log = loggerOf(StoreCache::class.java)
        const val NEVER_LOADED = -1L

        /** The HTTP status of the store's response if it no longer has the changes since a revision. */
        const val REVISION_COMPACTED = 410

        /** The shares of the store's request rate that the two threads may use. */
        const val WATCH_SHARE = 0.08
        const val SYNC_SHARE = 0.12
        val IDLE_SYNC_INTERVAL = 1.seconds
        val WATCH_WAIT = 5.seconds
        val RETRY_DELAY = 300.milliseconds
    }
}
