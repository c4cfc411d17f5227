package glenspool.worker

import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.model.Heartbeat
import glenspool.http.CallResult
import glenspool.http.HttpCaller
import glenspool.logging.loggerOf
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.WorkerWire
import kotlin.time.Duration.Companion.seconds

/** Requests to one worker's own address. */
class WorkerClient(private val http: HttpCaller) {
    fun command(d: SendCommands): Pair<CommandOutcome, Heartbeat?> =
        when (val r = http.post(d.addr, "/do", WorkerWire.direct(d.token, d.incarnation, d.commands), TIMEOUT)) {
            is CallResult.NotSent -> CommandOutcome.NOT_SENT to null
            is CallResult.NoAnswer -> CommandOutcome.UNKNOWN to null
            is CallResult.Answer -> {
                val heartbeat = heartbeat(r.body)
                when {
                    // Without its report nothing shows that the commands are in effect.
                    r.status == 200 && heartbeat != null -> CommandOutcome.DONE to heartbeat
                    r.status == 409 || r.status == 400 -> CommandOutcome.REFUSED to heartbeat
                    else -> CommandOutcome.UNKNOWN to null
                }
            }
        }

    fun show(addr: String): Heartbeat? {
        val r = http.get(addr, "/show", TIMEOUT)
        return if (r is CallResult.Answer && r.status == 200) heartbeat(r.body) else null
    }

    private fun heartbeat(m: Fields): Heartbeat? =
        try {
            WorkerWire.decodeHeartbeat(m)
        } catch (e: MalformedMessage) {
            log.warn("worker report not understood: {}", e.message)
            null
        }

    companion object {
        private val log = loggerOf(WorkerClient::class.java)
        private val TIMEOUT = 3.seconds
    }
}
