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
import glenspool.simulation.startInterruptible
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
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Tests of controllers that exchange cancellations over loopback connections. */
class CancellationExchangeTest {
    private var now = Duration.ZERO
    private val receivedByOther = LinkedBlockingQueue<Cancellation>()
    private val openResources = ArrayList<AutoCloseable>()

    private inner class Controller(
        name: String,
        other: String,
        client: PeerClient,
        onNewCancellations: (List<Cancellation>) -> Unit = {},
    ) {
        val cancellations = Cancellations("$name-1", listOf(other), 100.seconds) { now }
        val exchange = CancellationExchange(name, cancellations, client, { now }, { false }, onNewCancellations)
    }

    private fun member(port: Int) = Member("b", "here", InetSocketAddress("127.0.0.1", port))

    /** Opens the internal port of controller [name], which answers exchanges with [answer]. */
    private fun openPort(name: String, answer: (CancellationMessage) -> CancellationMessage?): HttpListener {
        val status = PeerStatus(name, false, null, true)
        val server = PeerServer({ status }, answer) { RelayAnswer(500, ByteArray(0), null) }
        return HttpListener(InetSocketAddress("127.0.0.1", 0), name, 4, server).also { openResources.add(it) }
    }

    private fun storedCancellation(job: String) = listOf(StoreWire.Change(Keys.cancel(job), mapOf("at" to 0L), 7))

    private fun runExchange(exchange: CancellationExchange, member: Member) {
        val thread = startInterruptible { exchange.run(member) }
        openResources.add(AutoCloseable { thread.interrupt() })
    }

    @AfterEach
    fun close() = openResources.forEach { it.close() }

    @Test
    fun `a cancellation is confirmed to the user only after the other controller has received it`() {
        val b = Controller("b", "a", PeerClient(emptyList())) { receivedByOther.addAll(it) }
        val answerAllowed = CountDownLatch(1)
        val server =
            openPort("b") { message ->
                answerAllowed.await()
                b.exchange.answer(message)
            }
        val member = member(server.port)
        val a = Controller("a", "b", PeerClient(listOf(member)))
        a.exchange.storeChanged(storedCancellation("run-1"))
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        answerAllowed.countDown()
        runExchange(a.exchange, member)
        assertEquals(Cancellation("run-1", Duration.ZERO, 7), receivedByOther.poll(10, TimeUnit.SECONDS))
        assertTrue(b.cancellations.contains("run-1"))
        assertTrue(a.exchange.awaitConfirmable("run-1"))
    }

    @Test
    fun `an answered exchange does not wake the threads that exchange with other members`() {
        val answeredBy = LinkedBlockingQueue<String>()
        val controllers = listOf("b", "c").associateWith { Controller(it, "a", PeerClient(emptyList())) }
        val members =
            controllers.map { (name, controller) ->
                val server =
                    openPort(name) { message -> controller.exchange.answer(message).also { answeredBy.add(name) } }
                Member(name, "here", InetSocketAddress("127.0.0.1", server.port))
            }
        val cancellations = Cancellations("a-1", members.map { it.name }, 100.seconds) { now }
        val a = CancellationExchange("a", cancellations, PeerClient(members), { now }, { false }) {}
        members.forEach { runExchange(a, it) }
        a.storeChanged(storedCancellation("run-1"))
        assertTrue(a.awaitConfirmable("run-1"))
        // Each thread exchanges at most twice, once with nothing new to send and once with the cancellation. The next
        // exchange is due after two seconds.
        val exchangeCount = generateSequence { answeredBy.poll(400, TimeUnit.MILLISECONDS) }.take(20).count()
        assertTrue(exchangeCount <= 6, "$exchangeCount exchanges")
    }

    @Test
    fun `confirmation waits for an unreachable controller until the isolation timeout`() {
        val a = Controller("a", "b", PeerClient(emptyList()))
        a.exchange.storeChanged(storedCancellation("run-1"))
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        now = 14.seconds
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        now = 15.seconds
        assertTrue(a.exchange.awaitConfirmable("run-1"))
    }

    // A cancellation carried out minutes late was taken for an old one, and confirmed although nobody else knew of it.
    @Test
    fun `confirmation waits for the other controller even if the cancellation was requested long ago`() {
        now = 300.seconds
        val a = Controller("a", "b", PeerClient(emptyList()))
        a.exchange.storeChanged(storedCancellation("run-1"))
        assertTrue(a.cancellations.contains("run-1"))
        assertFalse(a.exchange.awaitConfirmable("run-1"))
        assertEquals(listOf("run-1"), a.cancellations.updateFor("b").entries.map { it.job })
    }

    @Test
    fun `confirmation does not wait for a member whose version has no exchange`() {
        val server = HttpListener(InetSocketAddress("127.0.0.1", 0), "old", 4) { Response(Status.NOT_FOUND) }
        openResources.add(server)
        val member = member(server.port)
        val a = Controller("a", "b", PeerClient(listOf(member)))
        a.exchange.storeChanged(storedCancellation("run-1"))
        runExchange(a.exchange, member)
        assertTrue(a.exchange.awaitConfirmable("run-1"))
        a.cancellations.recordStoreRead(now)
        now = 20.seconds
        // An older version answers an unknown path with 404, so this controller does not learn what it confirms.
        assertEquals(Duration.ZERO, a.cancellations.completeUpTo())
    }

    @Test
    fun `a late copy of another controller's message adds its cancellations and advances nothing else`() {
        val a = Controller("a", "b", PeerClient(emptyList()))
        val b = Controller("b", "a", PeerClient(emptyList()))
        a.cancellations.recordStoreRead(Duration.ZERO)
        now = 5.seconds
        b.cancellations.recordStoreRead(now)
        b.exchange.storeChanged(storedCancellation("run-1"))
        val message = b.cancellations.updateFor("a")
        now = 60.seconds
        repeat(2) { a.cancellations.reply("b", message) }
        assertTrue(a.cancellations.contains("run-1"))
        assertEquals(Duration.ZERO, a.cancellations.completeUpTo())
    }
}
