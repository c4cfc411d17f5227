package glenspool.http

import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.File
import java.io.IOException
import java.net.InetSocketAddress
import java.net.Socket

/**
 * More connections than the socket limit allows. The limit is one for the whole process, so this runs in
 * one of its own.
 */
class SocketLimitTest {
    @Test
    fun `connections over the limit are closed, those within it are served, and room is used again`() {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val p =
            ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), SocketLimit::class.java.name)
                .redirectErrorStream(true)
                .start()
        val said =
            p.inputStream
                .bufferedReader()
                .readText()
                .trim()
        assertEquals(0, p.waitFor(), said)
        assertEquals("served=30 again=10", said)
    }
}

object SocketLimit {
    private const val MAX_SOCKETS = 40

    /** The server notices a closed connection in its own time; a bound on tries, not on time. */
    private const val MAX_TRIES = 100_000

    @JvmStatic
    fun main(args: Array<String>) {
        HttpListener.configure(MAX_SOCKETS)
        HttpListener(InetSocketAddress("127.0.0.1", 0), "limit", 8) { Response(Status.OK) }.use { server ->
            val open = ArrayList<Socket>()
            repeat(MAX_SOCKETS + 10) { open.add(Socket("127.0.0.1", server.port)) }
            val served = open.filter(::answered)
            // Room that is given back is used again.
            served.take(10).forEach { it.close() }
            val again = ArrayList<Socket>()
            var tries = 0
            while (again.size < 10 && tries++ < MAX_TRIES) {
                val s = Socket("127.0.0.1", server.port)
                if (answered(s)) again.add(s) else s.close()
            }
            println("served=${served.size} again=${again.size}")
        }
    }

    private fun answered(s: Socket): Boolean =
        try {
            s.getOutputStream().write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
            s.getInputStream().read() >= 0
        } catch (e: IOException) {
            // Refused by the server's bound, as it should be: that is what is counted.
            false
        }
}
