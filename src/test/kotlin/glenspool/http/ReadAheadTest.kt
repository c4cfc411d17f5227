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

/** Tests the back-pressure on a client that pipelines requests. The test acts as the listener's event loop. */
class ReadAheadTest {
    private class Dispatched(val request: Request, val respond: (Response) -> Unit)

    private val dispatched = ArrayList<Dispatched>()

    @Test
    fun `while a request is handled, a limited number of bytes is read ahead, and the rest after its response`() {
        ServerSocketChannel.open().bind(InetSocketAddress("127.0.0.1", 0)).use { server ->
            SocketChannel.open(server.localAddress).use { client ->
                val sender = thread { sendRequests(client) }
                server.accept().use { serve(it) }
                sender.join()
            }
        }
        assertEquals(REQUEST_COUNT, dispatched.size)
        assertTrue(dispatched.all { it.request.body.payload.remaining() == BODY_BYTES })
    }

    private fun sendRequests(client: SocketChannel) {
        val request = "POST /x HTTP/1.1\r\nContent-Length: $BODY_BYTES\r\n\r\n" + "y".repeat(BODY_BYTES)
        val bytes = ByteBuffer.wrap(request.repeat(REQUEST_COUNT).toByteArray())
        while (bytes.hasRemaining()) client.write(bytes)
    }

    private fun serve(channel: SocketChannel) {
        channel.configureBlocking(false)
        Selector.open().use { selector ->
            val key = channel.register(selector, SelectionKey.OP_READ)
            val handler = AsyncHandler { request, respond -> dispatched.add(Dispatched(request, respond)) }
            val connection = ServerConnection(channel, key, ResponseWriter(), { handler }, { Duration.ZERO })
            val input = ByteBuffer.allocate(READ_BUFFER_BYTES)

            fun read() {
                selector.select()
                selector.selectedKeys().clear()
                connection.receive(input)
            }
            // The client sends more than the connection reads ahead, so the connection pauses its reading.
            while (key.interestOps() and SelectionKey.OP_READ != 0) read()
            assertEquals(1, dispatched.size)
            while (dispatched.size < REQUEST_COUNT) {
                val previousCount = dispatched.size
                dispatched.last().respond(Response(Status.OK))
                while (dispatched.size == previousCount) read()
            }
        }
    }

    private companion object {
        const val READ_BUFFER_BYTES = 16 * 1024
        const val BODY_BYTES = 40_000
        const val REQUEST_COUNT = 50
    }
}
