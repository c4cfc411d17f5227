package glenspool.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class HttpListenerTest {
    @Test
    fun `requests beyond the threads are queued, one beyond the queue closes its connection, later ones are served`() {
        val release = CountDownLatch(1)
        HttpListener(InetSocketAddress("127.0.0.1", 0), "test", 1) { request ->
            if (request.uri.path == "/slow") release.await()
            Response(Status.OK)
        }.use { server ->
            val rejected = CountDownLatch(REJECTED_REQUESTS)
            val served = AtomicInteger()
            val clients =
                List(ACCEPTED_REQUESTS + REJECTED_REQUESTS) {
                    thread { if (isAnswered(server, "/slow")) served.incrementAndGet() else rejected.countDown() }
                }
            rejected.await()
            release.countDown()
            clients.forEach { it.join() }
            assertEquals(ACCEPTED_REQUESTS, served.get())
            assertEquals(true, isAnswered(server, "/quick"))
        }
    }

    private fun isAnswered(server: HttpListener, path: String): Boolean =
        try {
            Socket("127.0.0.1", server.port).use { it.isAnswered(path) }
        } catch (e: IOException) {
            // The server has closed the connection instead of answering.
            false
        }

    private companion object {
        /** The request that the single thread handles, and the eight queued ones. */
        const val ACCEPTED_REQUESTS = 9
        const val REJECTED_REQUESTS = 3
    }
}
