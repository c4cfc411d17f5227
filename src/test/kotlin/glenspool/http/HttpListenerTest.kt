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
    fun `requests are queued while all threads are busy, and a request beyond the queue closes its connection`() {
        val release = CountDownLatch(1)
        HttpListener(InetSocketAddress("127.0.0.1", 0), "test", 1) { request ->
            if (request.uri.path == "/slow") release.await()
            Response(Status.OK)
        }.use { server ->
            val refused = CountDownLatch(BEYOND_QUEUE)
            val served = AtomicInteger()
            val clients =
                List(ONE_THREAD_AND_ITS_QUEUE + BEYOND_QUEUE) {
                    thread { if (isAnswered(server, "/slow")) served.incrementAndGet() else refused.countDown() }
                }
            refused.await()
            release.countDown()
            clients.forEach { it.join() }
            assertEquals(ONE_THREAD_AND_ITS_QUEUE, served.get())
            assertEquals(true, isAnswered(server, "/quick"))
        }
    }

    private fun isAnswered(server: HttpListener, path: String): Boolean =
        try {
            Socket("127.0.0.1", server.port).use { it.isAnswered(path) }
        } catch (e: IOException) {
            // Closed by the server, which is what is counted.
            false
        }

    private companion object {
        /** One thread, and eight requests queued for it. */
        const val ONE_THREAD_AND_ITS_QUEUE = 9
        const val BEYOND_QUEUE = 3
    }
}
