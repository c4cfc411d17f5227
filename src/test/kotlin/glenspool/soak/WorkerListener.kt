package glenspool.soak

import glenspool.http.BadMessage
import glenspool.http.RequestParser
import glenspool.http.ResponseWriter
import org.http4k.core.Request
import java.io.IOException
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.nio.channels.ClosedSelectorException
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.nio.channels.ServerSocketChannel
import java.nio.channels.SocketChannel
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration

/**
 * Accepts the requests to all workers, each of which has a loopback address of its own. A request to a worker that
 * hangs or is cut off is accepted by the system, and read and executed only when that is over.
 */
internal class WorkerListener(private val fleet: SoakFleet) : AutoCloseable {
    private val selector = Selector.open()
    private val workers = ConcurrentHashMap<String, SoakWorker>()
    private val executor = Executors.newScheduledThreadPool(THREADS) { Thread(it).apply { isDaemon = true } }
    private val responses = ResponseWriter()

    init {
        thread(isDaemon = true, name = "workers") { acceptAll() }
    }

    /** Opens the socket of the worker with this number and returns its address. */
    fun open(number: Int): String {
        val host = "127.1.${number / HOSTS_PER_NETWORK}.${number % HOSTS_PER_NETWORK + 1}"
        val server = ServerSocketChannel.open()
        server.bind(InetSocketAddress(host, 0), BACKLOG)
        server.configureBlocking(false)
        val address = "$host:${server.socket().localPort}"
        selector.wakeup()
        server.register(selector, SelectionKey.OP_ACCEPT, address)
        return address
    }

    /** Has the requests to the worker's address executed by it. */
    fun register(worker: SoakWorker) {
        workers[worker.address] = worker
    }

    private fun acceptAll() {
        try {
            while (selector.isOpen) {
                selector.select(SELECT_MILLIS)
                val ready = selector.selectedKeys().toList()
                selector.selectedKeys().clear()
                ready.forEach(::accept)
            }
        } catch (e: ClosedSelectorException) {
            return
        }
    }

    private fun accept(key: SelectionKey) {
        val connection = (key.channel() as ServerSocketChannel).accept() ?: return
        val worker = workers[key.attachment() as String]
        if (worker == null) connection.close() else execute(worker, connection, fleet.now)
    }

    private fun execute(worker: SoakWorker, connection: SocketChannel, arrivedAt: Duration) {
        val delay = worker.heldUntil()?.let { it - fleet.now } ?: Duration.ZERO
        executor.schedule({ serve(worker, connection, arrivedAt) }, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun serve(worker: SoakWorker, connection: SocketChannel, arrivedAt: Duration) {
        if (worker.heldUntil() != null) return execute(worker, connection, arrivedAt)
        try {
            connection.use {
                it.socket().soTimeout = READ_TIMEOUT_MILLIS
                val request = read(it) ?: return
                it.write(responses.write(worker.serve(request, arrivedAt), keepAlive = false, withBody = true))
            }
        } catch (e: IOException) {
            fleet.history.event("request to ${worker.name} not answered: $e")
        } catch (e: BadMessage) {
            fleet.history.violation("protocol", "request to ${worker.name}: $e")
        }
    }

    /** Returns null if the connection ends before the request is complete. */
    private fun read(connection: SocketChannel): Request? {
        val parser = RequestParser(MAX_BODY_BYTES)
        val bytes = ByteArray(BUFFER_BYTES)
        val input = connection.socket().getInputStream()
        while (true) {
            parser.next()?.let { return it.request }
            val count = input.read(bytes)
            if (count < 0) return null
            parser.add(ByteBuffer.wrap(bytes, 0, count))
        }
    }

    override fun close() {
        selector.keys().forEach { it.channel().close() }
        selector.close()
        executor.shutdownNow()
    }

    private companion object {
        const val THREADS = 32
        const val BACKLOG = 64
        const val HOSTS_PER_NETWORK = 250
        const val SELECT_MILLIS = 20L
        const val READ_TIMEOUT_MILLIS = 3_000
        const val MAX_BODY_BYTES = 128 * 1024
        const val BUFFER_BYTES = 16 * 1024
    }
}
