package glenspool.worker

import glenspool.core.Direct
import glenspool.core.DirectOutcome
import glenspool.core.model.Report
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.logging.loggerOf
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.WorkerWire
import kotlin.time.Duration.Companion.seconds

/** Requests to one worker's own address. */
class WorkerClient(private val http: HttpCaller) {
    fun command(d: Direct): Pair<DirectOutcome, Report?> =
        when (val r = http.post(d.addr, "/do", WorkerWire.direct(d.token, d.session, d.commands), TIMEOUT)) {
            is CallResult.NotSent -> DirectOutcome.NOT_SENT to null
            is CallResult.NoAnswer -> DirectOutcome.UNKNOWN to null
            is CallResult.Answer -> {
                val report = report(r.body)
                when {
                    // Without its report nothing shows that the commands are in effect.
                    r.status == 200 && report != null -> DirectOutcome.DONE to report
                    r.status == 409 || r.status == 400 -> DirectOutcome.REFUSED to report
                    else -> DirectOutcome.UNKNOWN to null
                }
            }
        }

    fun show(addr: String): Report? {
        val r = http.get(addr, "/show", TIMEOUT)
        return if (r is CallResult.Answer && r.status == 200) report(r.body) else null
    }

    private fun report(m: Fields): Report? =
        try {
            WorkerWire.decodeReport(m)
        } catch (e: MalformedMessage) {
            log.warn("worker report not understood: {}", e.message)
            null
        }

    companion object {
        private val log = loggerOf(WorkerClient::class.java)
        private val TIMEOUT = 3.seconds
    }
}
