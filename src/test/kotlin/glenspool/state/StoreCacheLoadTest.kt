package glenspool.state

import glenspool.http.HttpCaller
import glenspool.http.HttpListener
import glenspool.http.cbor
import glenspool.wire.Fields
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

/** A cache that is loaded page by page while the store goes on changing. */
class StoreCacheLoadTest {
    /** A page read at revision 14 that already holds a key of revision 20. */
    private val page =
        mapOf(
            "rows" to listOf(mapOf("key" to "g/a", "data" to mapOf("n" to 20L), "mark" to 20L)),
            "has_next" to false,
            "ledger" to 14L,
        )

    /** Changes up to revision 16, among them an older one of the same key. */
    private val changes =
        mapOf(
            "ledger" to 16L,
            "log" to
                listOf(
                    mapOf("set" to "g/a", "data" to mapOf("n" to 15L), "mark" to 15L),
                    mapOf("set" to "g/b", "data" to emptyMap<String, Any?>(), "mark" to 16L),
                ),
        )

    @Test
    fun `changes from before a page was read take no key of it back`() {
        HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 4, { request ->
            val body: Fields = if (request.uri.path == "/store") page else changes
            cbor(Status.OK, body)
        }).use { listener ->
            val client = KeyValueStoreClient("127.0.0.1:${listener.port}", HttpCaller(2.seconds))
            val cache = StoreCache(client, 1000.0) { _, _ -> }
            val syncs = thread(isDaemon = true) { untilInterrupted { cache.serveSyncs() } }

            repeat(2) { assertTrue(cache.sync(5.seconds)) }

            assertEquals(listOf("g/a" to 20L, "g/b" to 16L), cache.withPrefix("g/").map { it.key to it.version })
            syncs.interrupt()
        }
    }

    private fun untilInterrupted(work: () -> Unit) {
        try {
            work()
        } catch (e: InterruptedException) {
            Thread.currentThread().interrupt()
        }
    }

    @Test
    fun `the active level is read after everything that may be written under it`() {
        val others =
            listOf(
                Keys.LEAD, Keys.TERM, Keys.TYPES, Keys.IMAGES, Keys.JOB, Keys.CANCEL,
                Keys.CHUNK, Keys.DESCRIPTION_PART, Keys.PLACEMENT_PART,
            )
        val rollout = listOf(Keys.LEVEL, Keys.ROLLOUT_ORDERS, Keys.ROLLOUT_STATE)

        assertTrue(others.all { it < Keys.ROLLOUT && it.startsWith(Keys.LIVE) })
        assertTrue(rollout.all { it.startsWith(Keys.ROLLOUT) })
    }
}
