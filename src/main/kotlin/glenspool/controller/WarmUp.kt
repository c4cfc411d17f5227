package glenspool.controller

import glenspool.core.SchedulerConfig
import glenspool.core.WarmUpFleet
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.http.bounded
import glenspool.http.cbor
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
 * Runs a leader's code on a simulated fleet while this node follows. Code that a process runs for the first time takes
 * many times as long as later, when it is compiled: a node that took over cold, with a twentieth of a core, was behind
 * with all its workers for more than ten seconds. The warm-up takes at most half of the time, in slices, waits while
 * many workers send heartbeats here, which warms as well, and ends for good when it has done enough or the node leads.
 * [addr]: this node's own address for [PATH].
 */
class WarmUp(
    private val config: SchedulerConfig,
    private val addr: String,
    private val initialDelay: Duration = INITIAL_DELAY,
    /** How many heartbeats this node has answered so far. */
    private val answeredHeartbeats: () -> Long,
    private val isLeading: () -> Boolean,
) {
    private val http = HttpCaller(500.milliseconds)

    /** The service thread; it is over when this returns. Nothing depends on it: on failure the node stays colder. */
    fun run() {
        Thread.sleep(initialDelay.inWholeMilliseconds)
        val begun = TimeSource.Monotonic.markNow()
        val fleet = WarmUpFleet(config)
        var isReachable = true
        var worked = Duration.ZERO
        repeat(TURNS) {
            if (isLeading()) return
            val slice = TimeSource.Monotonic.markNow()
            fleet.runTurn()
            exerciseStoreFormats(fleet)
            repeat(CALLS_A_TURN) { if (isReachable) isReachable = sendHeartbeat(fleet) }
            worked += slice.elapsedNow()
            // As long as the slice took, so that half of the processor is left for other requests.
            pause(slice.elapsedNow().coerceIn(MIN_PAUSE, MAX_PAUSE))
        }
        log.info("warm-up finished after={} working={}", begun.elapsedNow(), worked)
    }

    /** Pauses for [first], and on while many workers send heartbeats here. */
    private fun pause(first: Duration) {
        var next = first
        while (!isLeading()) {
            val before = answeredHeartbeats()
            Thread.sleep(next.inWholeMilliseconds)
            if (answeredHeartbeats() - before <= next.inWholeMilliseconds * BUSY_A_SECOND / 1000) return
            next = 1.seconds
        }
    }

    /** The code between the core and the key-value store. */
    private fun exerciseStoreFormats(fleet: WarmUpFleet) {
        val changes = fleet.lastStore ?: return
        transactionOf(1, changes).puts.forEach { Cbor.decodeMap(Cbor.encode(it.value)) }
    }

    /** Sends a heartbeat to this node itself. False: it was not answered. */
    private fun sendHeartbeat(fleet: WarmUpFleet): Boolean {
        val result = http.post(addr, PATH, WorkerWire.encode(fleet.lastHeartbeat), 2.seconds)
        return result is CallResult.Answer && result.status == Status.OK.code
    }

    companion object {
        private val log = loggerOf(WarmUp::class.java)

        /** The path on the internal port that takes the simulated heartbeats. */
        const val PATH = "/peer/warm-up"
        private const val TURNS = 240
        private const val CALLS_A_TURN = 2

        /** Above so many heartbeats a second the node counts as busy. */
        private const val BUSY_A_SECOND = 20
        private val INITIAL_DELAY: Duration = 3.seconds
        private val MIN_PAUSE: Duration = 50.milliseconds
        private val MAX_PAUSE: Duration = 2.seconds

        /** Decodes a heartbeat and answers it without commands, and does nothing else with it. */
        fun answer(request: Request): Response {
            val body = request.body.bounded() ?: return cbor(Status.BAD_REQUEST, emptyMap())
            val heartbeat = WorkerWire.decodeHeartbeat(Cbor.decodeMap(body))
            return cbor(Status.OK, WorkerWire.answer(heartbeat.token, emptyList()))
        }
    }
}
