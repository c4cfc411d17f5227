package glenspool.controller

import glenspool.core.WarmUpFleet
import glenspool.core.model.Team
import glenspool.http.HttpListener
import glenspool.simulation.config
import glenspool.wire.Cbor
import glenspool.wire.WorkerWire
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration

/** What a node runs while it follows, so that it does not lead cold. */
class WarmUpTest {
    @Test
    fun `the made-up fleet lives a leader's life, and nothing piles up in it`() {
        val fleet = WarmUpFleet(config())
        repeat(240) { fleet.runTurn() }
        assertTrue(fleet.started > 300, "${fleet.started} started")
        assertTrue(fleet.ended > 150, "${fleet.ended} ended")
        assertTrue(fleet.openJobs < 60, "${fleet.openJobs} open")
    }

    @Test
    fun `a team without room for anything does no harm`() {
        val fleet = WarmUpFleet(config(listOf(Team("t0", 0.0, 0.0, 0.1, 0.1))))
        repeat(240) { fleet.runTurn() }
        assertEquals(0, fleet.started)
    }

    @Test
    fun `the node asks itself, and stops for good as soon as it leads`() {
        val asked = AtomicInteger()
        HttpListener(InetSocketAddress("127.0.0.1", 0), "itself", 4) { r ->
            asked.incrementAndGet()
            WarmUp.answer(r)
        }.use { itself ->
            var turns = 0
            // Asked before each turn and in each pause.
            WarmUp(config(), "127.0.0.1:${itself.port}", Duration.ZERO, { 0 }) { turns++ >= 6 }.run()
            assertEquals(6, asked.get())
        }
    }

    @Test
    fun `it does nothing while workers come in numbers`() {
        val asked = AtomicInteger()
        HttpListener(InetSocketAddress("127.0.0.1", 0), "itself", 4) { r ->
            asked.incrementAndGet()
            WarmUp.answer(r)
        }.use { itself ->
            var served = 0L
            var looks = 0
            WarmUp(config(), "127.0.0.1:${itself.port}", Duration.ZERO, { (served + 1000).also { served = it } }) {
                looks++ >=
                    2
            }.run()
            assertEquals(2, asked.get())
        }
    }

    @Test
    fun `the answer to a made-up report orders nothing and vouches for nothing but its own token`() {
        val fleet = WarmUpFleet(config())
        fleet.runTurn()
        val r =
            WarmUp
                .answer(
                    Request(Method.POST, WarmUp.PATH)
                        .body(Body(ByteBuffer.wrap(Cbor.encode(WorkerWire.encode(fleet.lastHeartbeat))))),
                )
        assertEquals(
            WorkerWire.answer(fleet.lastHeartbeat.token, emptyList()),
            Cbor
                .decodeMap(r.body.stream.readAllBytes()),
        )
    }
}
