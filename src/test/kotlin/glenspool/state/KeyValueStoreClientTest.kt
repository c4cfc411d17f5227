package glenspool.state

import glenspool.http.HttpClient
import glenspool.http.HttpListener
import glenspool.http.cborResponse
import glenspool.wire.Fields
import glenspool.wire.StoreWire
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.time.Duration.Companion.seconds

/** Tests the results that callers get for the store's answers, and for requests without a usable answer. */
class KeyValueStoreClientTest {
    @Volatile
    private var answer: Response = Response(Status.OK)
    private val listener = HttpListener(InetSocketAddress("127.0.0.1", 0), "store", 2, { answer })
    private val client = KeyValueStoreClient("127.0.0.1:${listener.port}", HttpClient(2.seconds))

    @AfterEach
    fun close() = listener.close()

    private fun respondWith(status: Status, body: Fields = emptyMap()) {
        answer = cborResponse(status, body)
    }

    @Test
    fun `an item is read with its value and version`() {
        respondWith(Status.OK, mapOf("key" to "g/a", "data" to mapOf("n" to 1L), "mark" to 7L))

        assertEquals(StoreResult.Ok(StoreWire.Item("g/a", mapOf("n" to 1L), 7L)), client.get("g/a"))
    }

    @Test
    fun `an absent key is reported as missing, and a conflict names the keys of the failed conditions`() {
        respondWith(Status.NOT_FOUND)
        assertEquals(StoreResult.Missing, client.get("g/a"))

        respondWith(Status.CONFLICT, mapOf("failed" to listOf("g/lead")))
        assertEquals(StoreResult.Conflict(listOf("g/lead")), client.transact(mapOf("g/lead" to 1L), emptyList()))
    }

    @Test
    fun `the outcome is unknown if the answer can't be decoded`() {
        respondWith(Status.OK, mapOf("ledger" to "soon"))

        val result = client.transact(emptyMap(), listOf(Put("g/a", emptyMap())))

        val reason = "glenspool.wire.MalformedMessage: ledger: a whole number is needed"
        assertEquals(StoreResult.Unknown(reason), result)
    }

    @Test
    fun `a request that could not be sent is refused`() {
        val closedPort = ServerSocket(0).use { it.localPort }
        val unreachable = KeyValueStoreClient("127.0.0.1:$closedPort", HttpClient(2.seconds))

        assertEquals(StoreResult.Refused(StoreResult.Refused.NOT_SENT), unreachable.get("g/a"))
        assertTrue(unreachable.isUnreachable)
    }

    @Test
    fun `the store is unreachable from a failure until the next answer, and client errors do not change that`() {
        val statuses =
            listOf(
                Status.TOO_MANY_REQUESTS to false,
                Status.SERVICE_UNAVAILABLE to true,
                Status.TOO_MANY_REQUESTS to true,
                Status.NOT_FOUND to false,
                Status.INTERNAL_SERVER_ERROR to true,
                Status.CONFLICT to false,
            )
        assertFalse(client.isUnreachable)
        for ((status, isUnreachable) in statuses) {
            respondWith(status)
            client.get("g/a")
            assertEquals(isUnreachable, client.isUnreachable, status.toString())
        }
    }
}
