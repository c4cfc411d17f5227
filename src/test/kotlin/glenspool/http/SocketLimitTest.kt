package glenspool.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.File
import java.net.InetSocketAddress
import java.net.Socket

/**
 * Opens more connections than the socket limit allows. The limit applies to a whole process, so the server runs in a
 * separate process.
 */
class SocketLimitTest {
    @Test
    fun `connections up to the limit are served, further ones are closed, and each closed one frees a slot`() {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val process =
            ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), SocketLimitProcess::class.java.name)
                .redirectErrorStream(true)
                .start()
        val output = process.inputStream.bufferedReader().use { it.readText().trim() }
        assertEquals(0, process.waitFor(), output)
        assertEquals("served=30 again=10", output)
    }
}

object SocketLimitProcess {
    private const val MAX_SOCKETS = 40

    /** The server notices a closed connection after some time. The test limits its tries, not the time. */
    private const val MAX_TRIES = 100_000

    @JvmStatic
    fun main(args: Array<String>) {
        HttpListener.setSocketLimit(MAX_SOCKETS)
        HttpListener(InetSocketAddress("127.0.0.1", 0), "limit", 8) { Response(Status.OK) }.use { server ->
            val sockets = List(MAX_SOCKETS + 10) { Socket("127.0.0.1", server.port) }
            val served = sockets.filter { it.isAnswered("/") }
            served.take(10).forEach { it.close() }
            val servedAgain = ArrayList<Socket>()
            var tries = 0
            while (servedAgain.size < 10 && tries++ < MAX_TRIES) {
                val socket = Socket("127.0.0.1", server.port)
                if (socket.isAnswered("/")) servedAgain.add(socket) else socket.close()
            }
            println("served=${served.size} again=${servedAgain.size}")
        }
    }
}
