package glenspool.state

import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.simulation.startSyncThread
import glenspool.wire.Fields
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import kotlin.time.Duration.Companion.seconds

/** Tests a cache that is loaded page by page while keys in the store change. */
class StoreCacheLoadTest {
    /** A page that was read at revision 14 and already contains a key of revision 20. */
    private val page =
        mapOf(
            "rows" to listOf(mapOf("key" to "g/a", "data" to mapOf("n" to 20L), "mark" to 20L)),
            "has_next" to false,
            "ledger" to 14L,
        )

    /** Changes up to revision 16, including an older change of the key in [page]. */
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
    fun `a change older than a page that was read does not replace the newer value of its key`() {
        HttpListener(InetSocketAddress("127.0.0.1", 0), "state", 4, { request ->
            val body: Fields = if (request.uri.path == "/store") page else changes
            cborResponse(Status.OK, body)
        }).use { listener ->
            val client = KeyValueStoreClient("127.0.0.1:${listener.port}", HttpClient(2.seconds))
            val cache = StoreCache(client, 1000.0) { _, _ -> }
            val syncThread = startSyncThread(cache)

            repeat(2) { assertTrue(cache.sync(5.seconds)) }

            assertEquals(listOf("g/a" to 20L, "g/b" to 16L), cache.withPrefix("g/").map { it.key to it.version })
            syncThread.interrupt()
        }
    }

    @Test
    fun `the active level sorts after all keys whose form may depend on it`() {
        val otherKeys =
            listOf(
                Keys.LEADERSHIP, Keys.TOKEN_COUNTER, Keys.MACHINE_TYPES, Keys.IMAGES, Keys.JOB, Keys.CANCEL,
                Keys.CHUNK, Keys.DESCRIPTION_PART, Keys.PLACEMENT_PART,
            )
        val rolloutKeys = listOf(Keys.LEVEL, Keys.ROLLOUT_ORDERS, Keys.ROLLOUT_STATE)

        assertTrue(otherKeys.all { it < Keys.ROLLOUT && it.startsWith(Keys.LIVE) })
        assertTrue(rolloutKeys.all { it.startsWith(Keys.ROLLOUT) })
    }
}
