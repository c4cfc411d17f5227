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

/** Slow exchanges hold threads; the rest waits its turn, and what is too much ends at once, without stopping intake. */
class ListenerTest {
    @Test
    fun `exchanges past the threads wait, those past the waiting room are cut off, and intake goes on`() {
        val slow = CountDownLatch(1)
        HttpListener(InetSocketAddress("127.0.0.1", 0), "test", 1) { r ->
            if (r.uri.path == "/slow") slow.await()
            Response(Status.OK)
        }.use { server ->
            val cut = CountDownLatch(TOO_MANY)
            val served = AtomicInteger()
            // One thread and eight places in the waiting room.
            val askers =
                List(9 + TOO_MANY) {
                    thread {
                        if (answered(server.port, "/slow")) {
                            served.incrementAndGet()
                        } else {
                            cut
                                .countDown()
                        }
                    }
                }
            cut.await()
            slow.countDown()
            askers.forEach { it.join() }
            assertEquals(9, served.get())
            assertEquals(true, answered(server.port, "/quick"))
        }
    }

    private fun answered(port: Int, path: String): Boolean =
        try {
            Socket("127.0.0.1", port).use {
                it.getOutputStream().write("GET $path HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
                it.getInputStream().read() >= 0
            }
        } catch (e: IOException) {
            // A connection that was cut off: that is what is counted.
            false
        }

    private companion object {
        const val TOO_MANY = 3
    }
}
