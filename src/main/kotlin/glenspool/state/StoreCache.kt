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
 * This node's cache of the live keys. A long-polling watch ([watchChanges]) keeps it up to date, and [sync] brings it to a
 * state later than a user's request: a watch that does not wait delivers all changes up to the store's present
 * revision, which no cache can know by itself.
 *
 * [rps] is the request rate that the store allows; the cache takes a share of it. [onRead] is called after each read of
 * the present state with the time since its request was sent. [onChange] is called with changes and their revision,
 * under the cache's lock and in the order of revisions.
 */
class StoreCache(
    private val client: KeyValueStoreClient,
    rps: Double,
    private val onRead: (Duration) -> Unit = {},
    private val onChange: (List<StoreWire.Change>, Long) -> Unit,
) : LiveKeyReader {
    /** Written under the lock; read without it where a single key is enough. */
    private val entries = ConcurrentSkipListMap<String, StoreWire.Item>()

    /** The store's revision up to which changes are in [entries]; guarded by the lock. */
    private var revision = NEVER_LOADED
    private val syncWaiters = LinkedBlockingQueue<CompletableFuture<Boolean>>()
    private val watchGap = (1.0 / (rps * WATCH_SHARE)).seconds
    private val syncGap = (1.0 / (rps * SYNC_SHARE)).seconds

    @Volatile
    private var lastReadAt: TimeMark? = null

    /** The time since the store last answered with the present state; null: it never has. */
    fun age(): Duration? = lastReadAt?.elapsedNow()

    override fun get(key: String): StoreWire.Item? = entries[key]

    override fun <T> atomically(read: () -> T): T = synchronized(this) { read() }

    override fun withPrefix(prefix: String): Collection<StoreWire.Item> {
        val end = prefix + Char.MAX_VALUE
        return entries.subMap(prefix, end).values
    }

    /** Brings the cache to a state later than this call. False: the store did not answer in time. */
    fun sync(timeout: Duration): Boolean {
        val waiter = CompletableFuture<Boolean>()
        syncWaiters.add(waiter)
        return try {
            waiter.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            log.debug("sync timed out")
            false
        } catch (e: ExecutionException) {
            log.warn("sync failed", e)
            false
        }
    }

    /** Serves [sync] until the thread is interrupted: one request for all who wait. */
    fun serveSyncs() {
        while (!Thread.currentThread().isInterrupted) {
            val waiting = ArrayList<CompletableFuture<Boolean>>()
            // Without waiters the state is read all the same, which soon shows whether the store is unreachable.
            syncWaiters.poll(IDLE_SYNC_INTERVAL.inWholeMilliseconds, TimeUnit.MILLISECONDS)?.let { waiting.add(it) }
            syncWaiters.drainTo(waiting)
            val isCurrent = refresh(Duration.ZERO)
            waiting.forEach { it.complete(isCurrent) }
            pause(syncGap)
        }
    }

    /** Applies changes as they happen, by a long-polling watch, until the thread is interrupted. */
    fun watchChanges() {
        while (!Thread.currentThread().isInterrupted) {
            if (refresh(WATCH_WAIT)) pause(watchGap) else pause(RETRY_GAP)
        }
    }

    private fun pause(duration: Duration) = Thread.sleep(duration.inWholeMilliseconds)

    /** Reads the changes since the last read, or everything where there was none. False: the store did not answer. */
    private fun refresh(wait: Duration): Boolean {
        val known = synchronized(this) { revision }
        if (known == NEVER_LOADED) return load()
        val sentAt = TimeSource.Monotonic.markNow()
        val result = client.watch(Keys.LIVE, known, wait)
        if (result is StoreResult.Refused && result.status == REVISION_COMPACTED) return load()
        if (result !is StoreResult.Ok) return false
        apply(result.value)
        lastReadAt = TimeSource.Monotonic.markNow()
        // The answer to a watch that waited may be older than the next change: it counts from when it was sent.
        onRead(sentAt.elapsedNow())
        return true
    }

    private fun apply(delivered: KeyValueStoreClient.Changes) {
        synchronized(this) {
            if (delivered.revision <= revision) return
            val fresh = delivered.changes.filter { it.version > revision }
            fresh.forEach(::applyChange)
            revision = delivered.revision
            if (fresh.isNotEmpty()) onChange(fresh, delivered.revision)
        }
    }

    private fun applyChange(change: StoreWire.Change) {
        // Pages of a load are newer than the revision that the load began at. A watch on the other thread that was
        // answered in between must not take a key back: a record could then be held without the level that it was
        // written under.
        val held = entries[change.key]
        if (held != null && held.version > change.version) return
        val value = change.value
        if (value == null) {
            entries.remove(change.key)
        } else {
            entries[change.key] = StoreWire.Item(change.key, value, change.version)
        }
    }

    /** Reads all live keys. Changes made meanwhile are replayed by the next [refresh]. */
    private fun load(): Boolean {
        val sentAt = TimeSource.Monotonic.markNow()
        val snapshot = readSnapshot() ?: return false
        if (!replaceBy(snapshot)) return true
        lastReadAt = TimeSource.Monotonic.markNow()
        onRead(sentAt.elapsedNow())
        log.info("state loaded keys={} revision={}", snapshot.items.size, snapshot.revision)
        return true
    }

    /** Items that are complete up to [revision], and newer in part. */
    private class Snapshot(val items: Map<String, StoreWire.Item>, val revision: Long)

    /** All pages, with the revision of the first; null if the store did not answer. */
    private fun readSnapshot(): Snapshot? {
        val items = HashMap<String, StoreWire.Item>()
        var firstRevision: Long? = null
        var after: String? = null
        while (true) {
            val result = client.list(Keys.LIVE, after)
            val page = if (result is StoreResult.Ok) result.value else return null
            val revision = firstRevision ?: page.revision
            firstRevision = revision
            page.items.forEach { items[it.key] = it }
            if (!page.hasNextPage || page.items.isEmpty()) return Snapshot(items, revision)
            after = page.items.last().key
        }
    }

    /** False: the cache is as new already. */
    private fun replaceBy(snapshot: Snapshot): Boolean {
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
            val isHeld = entries[item.key]?.version == item.version
            if (!isHeld) changes.add(StoreWire.Change(item.key, item.value, item.version))
        }
        return changes
    }

    private companion object {
        val log = loggerOf(StoreCache::class.java)
        const val NEVER_LOADED = -1L

        /** The HTTP status by which the store says that it no longer has the changes since a revision. */
        const val REVISION_COMPACTED = 410

        /** The shares of the store's request rate that the two threads may use. */
        const val WATCH_SHARE = 0.08
        const val SYNC_SHARE = 0.12
        val IDLE_SYNC_INTERVAL = 1.seconds
        val WATCH_WAIT = 5.seconds
        val RETRY_GAP = 300.milliseconds
    }
}
