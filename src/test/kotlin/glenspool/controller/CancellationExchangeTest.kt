package glenspool.controller

import glenspool.config.Member
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.Cancellations
import glenspool.http.HttpListener
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

/** Controllers that tell each other of cancellations over loopback. */
class CancellationExchangeTest {
    private var now = Duration.ZERO
    private val heard = LinkedBlockingQueue<Cancellation>()
    private val open = ArrayList<AutoCloseable>()

    private inner class Side(
        name: String,
        other: String,
        client: PeerClient,
        learnt: (List<Cancellation>) -> Unit = {
        },
    ) {
        val known = Cancellations("$name-1", listOf(other), 100.seconds, { now }) { now }
        val exchange = CancellationExchange(name, known, client, { now }, { false }, learnt)
    }

    private fun member(port: Int) = Member("b", "here", InetSocketAddress("127.0.0.1", port))

    private fun stored(job: String) = listOf(StoreWire.Change(Keys.cancel(job), mapOf("at" to 0L), 7))

    private fun serving(x: CancellationExchange, m: Member) {
        val t =
            thread(isDaemon = true) {
                try {
                    x.run(m)
                } catch (e: InterruptedException) {
                    Thread.currentThread().interrupt()
                }
            }
        open.add(AutoCloseable { t.interrupt() })
    }

    @AfterEach
    fun close() = open.forEach { it.close() }

    @Test
    fun `another controller is told before a user is`() {
        val b = Side("b", "a", PeerClient(emptyList())) { heard.addAll(it) }
        val gate = CountDownLatch(1)
        val server =
            HttpListener(
                InetSocketAddress("127.0.0.1", 0), "b", 4,
                PeerServer({
                    PeerStatus("b", false, null, true)
                }, { m -> gate.await().let { b.exchange.answer(m) } }) { RelayAnswer(500, ByteArray(0), null) },
            )
        open.add(server)
        val m = member(server.port)
        val a = Side("a", "b", PeerClient(listOf(m)))
        a.exchange.stored(stored("run-1"))
        assertFalse(a.exchange.confirm("run-1"))
        gate.countDown()
        serving(a.exchange, m)
        assertEquals(Cancellation("run-1", Duration.ZERO, 7), heard.poll(10, TimeUnit.SECONDS))
        assertTrue(b.known.knows("run-1"))
        assertTrue(a.exchange.confirm("run-1"))
    }

    @Test
    fun `duties that were answered do not wake each other`() {
        val asked = LinkedBlockingQueue<String>()
        val answers = listOf("b", "c").associateWith { Side(it, "a", PeerClient(emptyList())) }
        val members =
            answers.map { (name, side) ->
                val server =
                    HttpListener(
                        InetSocketAddress("127.0.0.1", 0), name, 4,
                        PeerServer({ PeerStatus(name, false, null, true) }, { m ->
                            side.exchange.answer(m).also {
                                asked
                                    .add(name)
                            }
                        }) { RelayAnswer(500, ByteArray(0), null) },
                    )
                open.add(server)
                Member(name, "here", InetSocketAddress("127.0.0.1", server.port))
            }
        val known = Cancellations("a-1", members.map { it.name }, 100.seconds, { now }) { now }
        val a = CancellationExchange("a", known, PeerClient(members), { now }, { false }) {}
        members.forEach { serving(a, it) }
        a.stored(stored("run-1"))
        assertTrue(a.confirm("run-1"))
        // One round that found nothing new to tell, and one that told, at most; the next is due after two seconds.
        val settled = generateSequence { asked.poll(400, TimeUnit.MILLISECONDS) }.take(20).count()
        assertTrue(settled <= 6, "$settled exchanges")
    }

    @Test
    fun `a user is not told while another controller may not have heard, but not for ever`() {
        val a = Side("a", "b", PeerClient(emptyList()))
        a.exchange.stored(stored("run-1"))
        assertFalse(a.exchange.confirm("run-1"))
        now = 14.seconds
        assertFalse(a.exchange.confirm("run-1"))
        now = 15.seconds
        assertTrue(a.exchange.confirm("run-1"))
    }

    @Test
    fun `the version in production is not waited for`() {
        val server = HttpListener(InetSocketAddress("127.0.0.1", 0), "old", 4) { Response(Status.NOT_FOUND) }
        open.add(server)
        val m = member(server.port)
        val a = Side("a", "b", PeerClient(listOf(m)))
        a.exchange.stored(stored("run-1"))
        serving(a.exchange, m)
        assertTrue(a.exchange.confirm("run-1"))
        a.known.storeRead(now)
        now = 20.seconds
        // Nor is anything known of what it confirms.
        assertEquals(Duration.ZERO, a.known.completeUpTo())
    }
}
