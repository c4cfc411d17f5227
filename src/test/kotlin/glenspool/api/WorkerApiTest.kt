package glenspool.api

import glenspool.config.Settings
import glenspool.config.SettingsReader
import glenspool.config.SettingsTest
import glenspool.simulation.FakeNodeState
import glenspool.simulation.runUntilInterrupted
import glenspool.wire.Cbor
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import java.nio.ByteBuffer
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration

/** Which heartbeats are answered immediately, and which wait until the node knows the cancellations. */
class WorkerApiTest {
    private val node = FakeNodeState { Duration.ZERO }

    /** The leader's reply to each heartbeat; null if the node does not lead. */
    private var reply: WorkerCommands? = null
    private val api = WorkerApi(settings(), node) { _, answer -> answer(reply) }
    private val statuses = LinkedBlockingQueue<Int>()
    private val deferredAnswers = thread(start = false) { runUntilInterrupted(api::answerDeferredHeartbeats) }

    private fun settings(): Settings {
        val file = File.createTempFile("settings", ".toml")
        try {
            file.writeText(SettingsTest.VALID_SETTINGS)
            return SettingsReader().read(file)
        } finally {
            file.delete()
        }
    }

    @AfterEach
    fun stop() {
        deferredAnswers.interrupt()
        deferredAnswers.join()
    }

    private fun send() {
        val heartbeat =
            mapOf(
                "spindle" to "i-1", "addr" to "10.0.0.9:9000", "frame" to "g8", "hall" to "a", "loaners" to false,
                "shift" to 2, "stitch" to 7, "baton" to 4, "recall_s" to null, "threads" to emptyList<Any>(),
            )
        val request = Request(Method.POST, "/checkin").body(Body(ByteBuffer.wrap(Cbor.encode(heartbeat))))
        api.handle(request) { statuses.add(it.status.code) }
    }

    @Test
    fun `a heartbeat waits until a node that has just started knows the cancellations`() {
        send()
        assertTrue(statuses.isEmpty())
        node.readStore()
        deferredAnswers.start()
        assertEquals(200, statuses.poll(20, TimeUnit.SECONDS))
        send()
        assertEquals(200, statuses.poll())
    }

    @Test
    fun `a node that can't learn the cancellations refuses heartbeats immediately`() {
        node.isIsolated = true
        send()
        assertEquals(503, statuses.poll())
    }

    @Test
    fun `the leader answers immediately`() {
        node.readStore()
        reply = WorkerCommands(8, emptyList())
        send()
        assertEquals(200, statuses.poll())
    }
}
