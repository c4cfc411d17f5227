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
 * Runs a leader's code on a made-up fleet while this node follows. What a process runs for the first time takes many
 * times as long as later, when it is compiled: a node that took over cold, with a twentieth of a core, was behind with
 * all its workers for more than ten seconds. It takes at most half of the time, in slices, waits while workers come
 * here in numbers, which warms as well, and ends for good when it has done enough or the node leads. [addr]: this
 * node's own address for [PATH].
 */
class WarmUp(
    private val config: SchedulerConfig,
    private val addr: String,
    private val pauseFirst: Duration = PAUSE_FIRST,
    /** Reports that this node has answered so far. */
    private val served: () -> Long,
    private val leads: () -> Boolean,
) {
    private val http = HttpCaller(500.milliseconds)

    /** The duty; it is over when this returns. Nothing rests on it: where it fails the node only stays colder. */
    fun run() {
        Thread.sleep(pauseFirst.inWholeMilliseconds)
        val begun = TimeSource.Monotonic.markNow()
        val fleet = WarmUpFleet(config)
        var asks = true
        var worked = Duration.ZERO
        repeat(TURNS) {
            if (leads()) return
            val slice = TimeSource.Monotonic.markNow()
            fleet.runTurn()
            outside(fleet)
            repeat(ASKS_A_TURN) { if (asks) asks = ask(fleet) }
            worked += slice.elapsedNow()
            // As long as the slice took, so that half of the processor is left for what comes in meanwhile.
            rest(slice.elapsedNow().coerceIn(PAUSE, PAUSE_MOST))
        }
        log.info("warmed up after={} of which working={}", begun.elapsedNow(), worked)
    }

    private fun rest(pause: Duration) {
        var next = pause
        while (!leads()) {
            val before = served()
            Thread.sleep(next.inWholeMilliseconds)
            if (served() - before <= next.inWholeMilliseconds * BUSY_A_SECOND / 1000) return
            next = 1.seconds
        }
    }

    /** What lies between the core and the counterparts. */
    private fun outside(fleet: WarmUpFleet) {
        fleet.lastStore?.let { s -> transactionOf(1, s).puts.forEach { Cbor.decodeMap(Cbor.encode(it.value)) } }
    }

    private fun ask(fleet: WarmUpFleet): Boolean {
        val r = http.post(addr, PATH, WorkerWire.encode(fleet.lastHeartbeat), 2.seconds)
        return r is CallResult.Answer && r.status == Status.OK.code
    }

    companion object {
        private val log = loggerOf(WarmUp::class.java)
        const val PATH = "/peer/warm-up"
        private const val TURNS = 240
        private const val ASKS_A_TURN = 2
        private const val BUSY_A_SECOND = 20
        private val PAUSE_FIRST: Duration = 3.seconds
        private val PAUSE: Duration = 50.milliseconds
        private val PAUSE_MOST: Duration = 2.seconds

        /** Takes a report in and answers it, and does nothing else with it. */
        fun answer(request: Request): Response {
            val heartbeat =
                WorkerWire.decodeHeartbeat(
                    Cbor.decodeMap(
                        request.body.bounded() ?: return cbor(Status.BAD_REQUEST, emptyMap()),
                    ),
                )
            return cbor(Status.OK, WorkerWire.answer(heartbeat.token, emptyList()))
        }
    }
}
