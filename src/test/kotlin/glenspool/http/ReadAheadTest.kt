package glenspool.http

import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import kotlin.concurrent.thread
import kotlin.time.Duration

/** A client that sends without waiting for answers must not fill the memory; the connection is driven by hand here. */
class ReadAheadTest {
    private val handed = ArrayList<Pair<Request, (Response) -> Unit>>()

    @Test
    fun `while a request is served only so much more is read, and the rest once it is answered`() {
        ServerSocketChannel.open().bind(InetSocketAddress("127.0.0.1", 0)).use { server ->
            SocketChannel.open(server.localAddress).use { client ->
                val text = "POST /x HTTP/1.1\r\nContent-Length: $BODY\r\n\r\n" + "y".repeat(BODY)
                val sender =
                    thread {
                        val bytes = ByteBuffer.wrap(text.repeat(COUNT).toByteArray())
                        while (bytes.hasRemaining()) client.write(bytes)
                    }
                server.accept().use { serve(it) }
                sender.join()
            }
        }
        assertEquals(COUNT, handed.size)
        assertTrue(
            handed.all {
                it.first.body.payload
                    .remaining() == BODY
            },
        )
    }

    private fun serve(channel: SocketChannel) {
        channel.configureBlocking(false)
        Selector.open().use { selector ->
            val key = channel.register(selector, SelectionKey.OP_READ)
            val connection =
                Connection(channel, key, ResponseWriter(), {
                    AsyncHandler { request, respond ->
                        handed.add(
                            request to respond,
                        )
                    }
                }, { Duration.ZERO })
            val input = ByteBuffer.allocate(READ)

            fun read() {
                selector.select()
                selector.selectedKeys().clear()
                connection.receive(input)
            }
            // More is sent than the connection reads ahead, so it stops reading by itself.
            while (key.interestOps() and SelectionKey.OP_READ != 0) read()
            assertEquals(1, handed.size)
            while (handed.size < COUNT) {
                val before = handed.size
                handed.last().second(Response(Status.OK))
                while (handed.size == before) read()
            }
        }
    }

    private companion object {
        const val READ = 16 * 1024
        const val BODY = 40_000
        const val COUNT = 50
    }
}
