package glenspool.state

import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.http.cbor
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** A replica that is read page by page while the state goes on changing. */
class StoreCacheLoadTest {
    @Test
    fun `changes from before a page was read take no key of it back`() {
        val listener =
            HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 4, { request ->
                val body =
                    if (request.uri.path == "/store") {
                        mapOf(
                            "rows" to listOf(mapOf("key" to "g/a", "data" to mapOf("n" to 20L), "mark" to 20L)),
                            "has_next" to false, "ledger" to 14L,
                        )
                    } else {
                        val older = mapOf("set" to "g/a", "data" to mapOf("n" to 15L), "mark" to 15L)
                        mapOf(
                            "ledger" to 16L,
                            "log" to
                                listOf(older, mapOf("set" to "g/b", "data" to emptyMap<String, Any?>(), "mark" to 16L)),
                        )
                    }
                cbor(Status.OK, body)
            })
        val cache = StoreCache(KeyValueStoreClient("127.0.0.1:${listener.port}", HttpCaller(2.seconds)), 1000.0) { _, _ -> }
        val syncs =
            thread(isDaemon = true) {
                try {
                    cache.serveSyncs()
                } catch (e: InterruptedException) {
                    Thread.currentThread().interrupt()
                }
            }
        repeat(2) { assertTrue(cache.sync(5.seconds)) }
        assertEquals(listOf("g/a" to 20L, "g/b" to 16L), cache.withPrefix("g/").map { it.key to it.version })
        syncs.interrupt()
        listener.close()
    }

    @Test
    fun `the active level is read after everything that may be written under it`() {
        val others =
            listOf(Keys.LEAD, Keys.TERM, Keys.TYPES, Keys.IMAGES, Keys.JOB, Keys.CANCEL, Keys.CHUNK, Keys.DESCRIPTION_PART, Keys.PLACEMENT_PART)
        assertTrue(others.all { it < Keys.ROLLOUT && it.startsWith(Keys.LIVE) })
        assertTrue(listOf(Keys.LEVEL, Keys.ROLLOUT_ORDERS, Keys.ROLLOUT_STATE).all { it.startsWith(Keys.ROLLOUT) })
    }
}
