package glenspool.controller

import glenspool.core.SchedulerConfig
import glenspool.core.WarmUpFleet
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.http.cborResponse
import glenspool.http.readBounded
import glenspool.logging.loggerOf
import glenspool.wire.Cbor
import glenspool.wire.WorkerWire
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * Runs a leader's code on a simulated fleet while this node is a follower. Code that a process runs for the first time
 * takes many times as long as later, when it has been compiled. A node that was elected without a warm-up, with a
 * twentieth of a processor core, had a backlog of heartbeats from all its workers for more than ten seconds. The
 * warm-up runs in slices that take at most half of the time. It pauses while many workers send heartbeats to this node,
 * which warm up the code as well, and ends after a fixed number of turns or when the node leads. [addr]: this node's
 * own address, where it serves [PATH].
 */
class WarmUp(
    private val config: SchedulerConfig,
    private val addr: String,
    private val initialDelay: Duration = INITIAL_DELAY,
    /** Returns the number of heartbeats that this node has answered so far. */
    private val answeredHeartbeats: () -> Long,
    private val isLeading: () -> Boolean,
) {
    private val http = HttpClient(500.milliseconds)

    /**
     * The body of the service thread, which ends when this function returns. Nothing depends on the warm-up: if it
     * fails, the node is only slower when it begins to lead.
     */
    fun run() {
        Thread.sleep(initialDelay.inWholeMilliseconds)
        val startedAt = TimeSource.Monotonic.markNow()
        val fleet = WarmUpFleet(config)
        var isReachable = true
        var workingTime = Duration.ZERO
        repeat(TURN_COUNT) {
            if (isLeading()) return
            val sliceStart = TimeSource.Monotonic.markNow()
            fleet.runCycle()
            exerciseStoreFormats(fleet)
            repeat(HEARTBEATS_PER_TURN) { if (isReachable) isReachable = sendHeartbeat(fleet) }
            workingTime += sliceStart.elapsedNow()
            // The pause is as long as the slice took, so that half of the processor time remains for other requests.
            pause(sliceStart.elapsedNow().coerceIn(MIN_PAUSE, MAX_PAUSE))
        }
        log.info("warm-up finished after={} working={}", startedAt.elapsedNow(), workingTime)
    }

    /** Pauses for [first], and then for as long as many workers send heartbeats to this node. */
    private fun pause(first: Duration) {
        var next = first
        while (!isLeading()) {
            val before = answeredHeartbeats()
            Thread.sleep(next.inWholeMilliseconds)
            if (answeredHeartbeats() - before <= next.inWholeMilliseconds * BUSY_HEARTBEATS_PER_SECOND / 1000) return
            next = 1.seconds
        }
    }

    /** Runs the code between the core and the key-value store. */
    private fun exerciseStoreFormats(fleet: WarmUpFleet) {
        val changes = fleet.lastStoreChanges ?: return
        transactionOf(1, changes).puts.forEach { Cbor.decodeMap(Cbor.encode(it.value)) }
    }

    /** Sends a heartbeat to this node itself. Returns false if it was not answered. */
    private fun sendHeartbeat(fleet: WarmUpFleet): Boolean {
        val result = http.post(addr, PATH, WorkerWire.encode(fleet.lastHeartbeat), 2.seconds)
        return result is CallResult.Response && result.status == Status.OK.code
    }

    companion object {
        private val log = loggerOf(WarmUp::class.java)

        /** The path on the internal port to which the simulated heartbeats are sent. */
        const val PATH = "/peer/warm-up"
        private const val TURN_COUNT = 240
        private const val HEARTBEATS_PER_TURN = 2

        /** With more heartbeats per second the node counts as busy, and the warm-up pauses. */
        private const val BUSY_HEARTBEATS_PER_SECOND = 20
        private val INITIAL_DELAY: Duration = 3.seconds
        private val MIN_PAUSE: Duration = 50.milliseconds
        private val MAX_PAUSE: Duration = 2.seconds

        /** Decodes a heartbeat and answers it without commands, and does nothing else with it. */
        fun answer(request: Request): Response {
            val body = request.body.readBounded() ?: return cborResponse(Status.BAD_REQUEST, emptyMap())
            val heartbeat = WorkerWire.decodeHeartbeat(Cbor.decodeMap(body))
            return cborResponse(Status.OK, WorkerWire.heartbeatReply(heartbeat.token, emptyList()))
        }
    }
}
