package glenspool.controller

import glenspool.state.StoreCache
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** How far this node's store cache may be relied on. */
internal class CacheFreshness(private val cache: StoreCache) {
    /** Whether the cache is recent enough to say who leads. */
    fun isFresh(): Boolean = cache.age().let { it != null && it < FRESH }

    /** Whether the key-value store is slow or out of reach: the cache is refreshed every second while it answers. */
    fun isRefreshOverdue(): Boolean = cache.age().let { it == null || it > STALE }

    private companion object {
        val FRESH: Duration = 6500.milliseconds
        val STALE: Duration = 2500.milliseconds
    }
}
