package glenspool.controller

import glenspool.config.Member
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.Cancellations
import glenspool.http.HttpListener
import glenspool.peer.CancellationMessage
import glenspool.peer.PeerClient
import glenspool.peer.PeerServer
import glenspool.peer.PeerStatus
import glenspool.peer.RelayAnswer
import glenspool.state.Keys
import glenspool.wire.StoreWire
import org.http4k.core.Response
import org.http4k.core.Status
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Controllers that exchange cancellations over loopback. */
class CancellationExchangeTest {
    private var now = Duration.ZERO
    private val learnedByOther = LinkedBlockingQueue<Cancellation>()
    private val open = ArrayList<AutoCloseable>()

    private inner class Controller(
        name: String,
        other: String,
        client: PeerClient,
        learned: (List<Cancellation>) -> Unit = {},
    ) {
        val known = Cancellations("$name-1", listOf(other), 100.seconds, { now }) { now }
        val exchange = CancellationExchange(name, known, client, { now }, { false }, learned)
    }

    private fun member(port: Int) = Member("b", "here", InetSocketAddress("127.0.0.1", port))

    /** The internal port of controller [name], which answers exchanges with [answer]. */
    private fun serve(name: String, answer: (CancellationMessage) -> CancellationMessage?): HttpListener {
        val status = PeerStatus(name, false, null, true)
        val server = PeerServer({ status }, answer) { RelayAnswer(500, ByteArray(0), null) }
        return HttpListener(InetSocketAddress("127.0.0.1", 0), name, 4, server).also { open.add(it) }
    }

    private fun stored(job: String) = listOf(StoreWire.Change(Keys.cancel(job), mapOf("at" to 0L), 7))

    private fun runExchange(exchange: CancellationExchange, member: Member) {
        val thread =
            thread(isDaemon = true) {
                try {
                    exchange.run(member)
                } catch (e: InterruptedException) {
                    Thread.currentThread().interrupt()
                }
            }
        open.add(AutoCloseable { thread.interrupt() })
    }

    @AfterEach
    fun close() = open.forEach { it.close() }

    @Test
    fun `another controller learns of a cancellation before the user is answered`() {
        val b = Controller("b", "a", PeerClient(emptyList())) { learnedByOther.addAll(it) }
        val gate = CountDownLatch(1)
        val server =
            serve("b") { message ->
                gate.await()
                b.exchange.answer(message)
            }
        val member = member(server.port)
        val a = Controller("a", "b", PeerClient(listOf(member)))
        a.exchange.storeChanged(stored("run-1"))
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        gate.countDown()
        runExchange(a.exchange, member)
        assertEquals(Cancellation("run-1", Duration.ZERO, 7), learnedByOther.poll(10, TimeUnit.SECONDS))
        assertTrue(b.known.contains("run-1"))
        assertTrue(a.exchange.awaitConfirmable("run-1"))
    }

    @Test
    fun `exchange threads that were answered do not wake each other`() {
        val asked = LinkedBlockingQueue<String>()
        val controllers = listOf("b", "c").associateWith { Controller(it, "a", PeerClient(emptyList())) }
        val members =
            controllers.map { (name, controller) ->
                val server = serve(name) { message -> controller.exchange.answer(message).also { asked.add(name) } }
                Member(name, "here", InetSocketAddress("127.0.0.1", server.port))
            }
        val known = Cancellations("a-1", members.map { it.name }, 100.seconds, { now }) { now }
        val a = CancellationExchange("a", known, PeerClient(members), { now }, { false }) {}
        members.forEach { runExchange(a, it) }
        a.storeChanged(stored("run-1"))
        assertTrue(a.awaitConfirmable("run-1"))
        // One round that found nothing new to tell, and one that told, at most; the next is due after two seconds.
        val settled = generateSequence { asked.poll(400, TimeUnit.MILLISECONDS) }.take(20).count()
        assertTrue(settled <= 6, "$settled exchanges")
    }

    @Test
    fun `confirmation waits for an unreachable controller until the isolation timeout`() {
        val a = Controller("a", "b", PeerClient(emptyList()))
        a.exchange.storeChanged(stored("run-1"))
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        now = 14.seconds
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        now = 15.seconds
        assertTrue(a.exchange.awaitConfirmable("run-1"))
    }

    @Test
    fun `confirmation does not wait for a member whose version has no exchange`() {
        val server = HttpListener(InetSocketAddress("127.0.0.1", 0), "old", 4) { Response(Status.NOT_FOUND) }
        open.add(server)
        val member = member(server.port)
        val a = Controller("a", "b", PeerClient(listOf(member)))
        a.exchange.storeChanged(stored("run-1"))
        runExchange(a.exchange, member)
        assertTrue(a.exchange.awaitConfirmable("run-1"))
        a.known.recordStoreRead(now)
        now = 20.seconds
        // Nor is anything known of what it confirms.
        assertEquals(Duration.ZERO, a.known.completeUpTo())
    }
}
