package glenspool.controller

import glenspool.state.StoreCache
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Judges by its age how far this node's store cache may be relied on. */
internal class CacheFreshness(private val cache: StoreCache) {
    /** Whether the cache is recent enough to determine which node leads. */
    fun isFresh(): Boolean = cache.age().let { it != null && it < MAX_FRESH_AGE }

    /** Whether the key-value store is slow or unreachable. While it answers, the cache is refreshed every second. */
    fun isRefreshOverdue(): Boolean = cache.age().let { it == null || it > REFRESH_TIMEOUT }

    private companion object {
        val MAX_FRESH_AGE: Duration = 6500.milliseconds
        val REFRESH_TIMEOUT: Duration = 2500.milliseconds
    }
}
