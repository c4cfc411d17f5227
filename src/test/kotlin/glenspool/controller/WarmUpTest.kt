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

/** The warm-up, which runs a leader's code on a follower so that the code is compiled before an election. */
class WarmUpTest {
    @Test
    fun `the simulated fleet starts tasks and finishes jobs, and its number of open jobs stays bounded`() {
        val fleet = WarmUpFleet(config())
        repeat(240) { fleet.runCycle() }
        assertTrue(fleet.startedTasks > 300, "${fleet.startedTasks} started")
        assertTrue(fleet.endedJobs > 150, "${fleet.endedJobs} ended")
        assertTrue(fleet.liveJobs < 60, "${fleet.liveJobs} open")
    }

    @Test
    fun `a team whose quota fits no task starts nothing and causes no failure`() {
        val fleet = WarmUpFleet(config(listOf(Team("t0", 0.0, 0.0, 0.1, 0.1))))
        repeat(240) { fleet.runCycle() }
        assertEquals(0, fleet.startedTasks)
    }

    @Test
    fun `the warm-up sends heartbeats to its own node and ends when the node leads`() {
        val heartbeats = AtomicInteger()
        HttpListener(InetSocketAddress("127.0.0.1", 0), "itself", 4) { request ->
            heartbeats.incrementAndGet()
            WarmUp.answer(request)
        }.use { listener ->
            var leadershipChecks = 0
            // Leadership is checked before each turn and in each pause.
            WarmUp(config(), "127.0.0.1:${listener.port}", Duration.ZERO, { 0 }) { leadershipChecks++ >= 6 }.run()
            assertEquals(6, heartbeats.get())
        }
    }

    @Test
    fun `the warm-up pauses while many workers send heartbeats`() {
        val heartbeats = AtomicInteger()
        HttpListener(InetSocketAddress("127.0.0.1", 0), "itself", 4) { request ->
            heartbeats.incrementAndGet()
            WarmUp.answer(request)
        }.use { listener ->
            var answered = 0L
            var leadershipChecks = 0
            val manyHeartbeats = { (answered + 1000).also { answered = it } }
            WarmUp(config(), "127.0.0.1:${listener.port}", Duration.ZERO, manyHeartbeats) { leadershipChecks++ >= 2 }
                .run()
            assertEquals(2, heartbeats.get())
        }
    }

    @Test
    fun `the answer to a simulated heartbeat has no commands and repeats its token`() {
        val fleet = WarmUpFleet(config())
        fleet.runCycle()
        val body = Body(ByteBuffer.wrap(Cbor.encode(WorkerWire.encode(fleet.lastHeartbeat))))
        val response = WarmUp.answer(Request(Method.POST, WarmUp.PATH).body(body))
        val expected = WorkerWire.heartbeatReply(fleet.lastHeartbeat.token, emptyList())
        assertEquals(expected, Cbor.decodeMap(response.body.stream.readAllBytes()))
    }
}
