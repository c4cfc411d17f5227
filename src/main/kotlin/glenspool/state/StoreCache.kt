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

/** The live keys as somebody has them. */
interface LiveKeyReader {
    fun get(key: String): StoreWire.Item?

    fun withPrefix(prefix: String): Collection<StoreWire.Item>

    /** Several keys at one moment: changes made by one transaction are seen together or not at all. */
    fun <T> atomically(read: () -> T): T
}

/**
 * This node's copy of the live keys. It is kept up to date by a waiting watch, and brought up to a moment after
 * a user's request by [sync]: a watch that doesn't wait answers with all changes up to the present revision,
 * which is evidence that no answer from memory could give.
 */
class StoreCache(
    private val client: KeyValueStoreClient,
    rps: Double,
    /** The present state was read, by a request that was sent so long ago. */
    private val read: (Duration) -> Unit = {},
    private val changed: (List<StoreWire.Change>, Long) -> Unit,
) : LiveKeyReader {
    private val entries = ConcurrentSkipListMap<String, StoreWire.Item>()
    private var revision = -1L
    private val waiters = LinkedBlockingQueue<CompletableFuture<Boolean>>()
    private val watchGap = (1.0 / (rps * WATCH_SHARE)).seconds
    private val syncGap = (1.0 / (rps * SYNC_SHARE)).seconds

    @Volatile
    private var lastAnswer: TimeMark? = null

    /** How long ago the state service last answered with the present state; null: never. */
    fun age(): Duration? = lastAnswer?.elapsedNow()

    override fun get(key: String): StoreWire.Item? = entries[key]

    override fun <T> atomically(read: () -> T): T = synchronized(this) { read() }

    override fun withPrefix(prefix: String): Collection<StoreWire.Item> =
        entries
            .subMap(prefix, prefix + Char.MAX_VALUE)
            .values

    /** Brings the copy to a state later than this call. False: the state service did not answer in time. */
    fun sync(timeout: Duration): Boolean {
        val f = CompletableFuture<Boolean>()
        waiters.add(f)
        return try {
            f.get(timeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (e: TimeoutException) {
            log.debug("sync timed out")
            false
        } catch (e: ExecutionException) {
            log.warn("sync failed", e)
            false
        }
    }

    /** The duty that serves [sync]: one request for all who wait. */
    fun serveSyncs() {
        while (!Thread.currentThread().isInterrupted) {
            val all = ArrayList<CompletableFuture<Boolean>>()
            // Nobody asks: a look of its own shows soon whether the state service is out of reach.
            waiters.poll(LOOK_EVERY.inWholeMilliseconds, TimeUnit.MILLISECONDS)?.let { all.add(it) }
            waiters.drainTo(all)
            val ok = refresh(Duration.ZERO)
            all.forEach { it.complete(ok) }
            pause(syncGap)
        }
    }

    /** The duty that follows changes as they happen. */
    fun follow() {
        while (!Thread.currentThread().isInterrupted) {
            if (refresh(WATCH_WAIT)) pause(watchGap) else pause(RETRY_GAP)
        }
    }

    private fun pause(d: Duration) = Thread.sleep(d.inWholeMilliseconds)

    private fun refresh(wait: Duration): Boolean {
        val from = synchronized(this) { revision }
        if (from < 0) return load()
        val sent = TimeSource.Monotonic.markNow()
        return when (val r = client.follow(Keys.LIVE, from, wait)) {
            is StoreResult.Ok -> {
                apply(r.value)
                lastAnswer = TimeSource.Monotonic.markNow()
                // A watch that waited may have been answered just before something changed again.
                read(sent.elapsedNow())
                true
            }
            is StoreResult.Refused -> {
                if (r.status == 410) load() else false
            }
            else -> false
        }
    }

    private fun apply(c: KeyValueStoreClient.Changes) {
        synchronized(this) {
            if (c.revision <= revision) return
            val fresh = c.changes.filter { it.version > revision }
            for (e in fresh) put(e)
            revision = c.revision
            if (fresh.isNotEmpty()) changed(fresh, c.revision)
        }
    }

    private fun put(e: StoreWire.Change) {
        // Pages are newer than the revision that the load began at. An answer from between the two, to the other duty,
        // must not take a key back: a record could then be held without the level that it was written under.
        if (entries[e.key].let { it != null && it.version > e.version }) return
        val value = e.value
        if (value == null) entries.remove(e.key) else entries[e.key] = StoreWire.Item(e.key, value, e.version)
    }

    /** Reads everything anew. Changes made meanwhile are replayed by the next [refresh]. */
    private fun load(): Boolean {
        val all = HashMap<String, StoreWire.Item>()
        val sent = TimeSource.Monotonic.markNow()
        var after: String? = null
        var first = -1L
        while (true) {
            val page =
                when (val r = client.list(Keys.LIVE, after)) {
                    is StoreResult.Ok -> r.value
                    else -> return false
                }
            if (first < 0) first = page.revision
            page.items.forEach { all[it.key] = it }
            if (!page.more || page.items.isEmpty()) break
            after = page.items.last().key
        }
        synchronized(this) {
            if (first <= revision) return true
            val changes = ArrayList<StoreWire.Change>()
            for (k in entries.keys) if (k !in all) changes.add(StoreWire.Change(k, null, first))
            for (i in all.values) {
                if (entries[i.key]?.version !=
                    i.version
                ) {
                    changes.add(StoreWire.Change(i.key, i.value, i.version))
                }
            }
            changes.forEach(::put)
            revision = first
            changed(changes, first)
        }
        lastAnswer = TimeSource.Monotonic.markNow()
        read(sent.elapsedNow())
        log.info("state loaded keys={} revision={}", all.size, first)
        return true
    }

    companion object {
        private val log = loggerOf(StoreCache::class.java)
        private const val WATCH_SHARE = 0.08
        private const val SYNC_SHARE = 0.12
        private val LOOK_EVERY = 1.seconds
        private val WATCH_WAIT = 5.seconds
        private val RETRY_GAP = 300.milliseconds
    }
}
