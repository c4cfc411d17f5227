package glenspool.worker

import glenspool.core.CommandOutcome
import glenspool.core.SendCommands
import glenspool.core.model.Heartbeat
import glenspool.http.CallResult
import glenspool.http.HttpClient
import glenspool.logging.loggerOf
import glenspool.wire.Fields
import glenspool.wire.MalformedMessage
import glenspool.wire.WorkerWire
import kotlin.time.Duration.Companion.seconds

/** How commands ended, and the [heartbeat] that the worker answered with, if it did. */
data class CommandReply(val outcome: CommandOutcome, val heartbeat: Heartbeat?)

/** The requests that controllers send to workers, each to the worker's own address. None is retried. */
class WorkerClient(private val http: HttpClient) {
    /** Sends commands and waits until they are carried out or refused. */
    fun sendCommands(request: SendCommands): CommandReply {
        val body = WorkerWire.directCommands(request.token, request.incarnation, request.commands)
        return when (val reply = http.post(request.addr, "/do", body, TIMEOUT)) {
            is CallResult.NotSent -> CommandReply(CommandOutcome.NOT_SENT, null)
            is CallResult.NoResponse -> CommandReply(CommandOutcome.UNKNOWN, null)
            is CallResult.Response -> replyOf(reply)
        }
    }

    private fun replyOf(answer: CallResult.Response): CommandReply {
        val heartbeat = decodeHeartbeat(answer.body)
        return when {
            // Without the heartbeat nothing shows that the commands are in effect.
            answer.status == OK && heartbeat != null -> CommandReply(CommandOutcome.DONE, heartbeat)
            answer.status == CONFLICT || answer.status == BAD_REQUEST -> CommandReply(CommandOutcome.REFUSED, heartbeat)
            else -> CommandReply(CommandOutcome.UNKNOWN, null)
        }
    }

    /** Asks the worker for its status; null: no usable answer. */
    fun probe(addr: String): Heartbeat? {
        val reply = http.get(addr, "/show", TIMEOUT)
        return if (reply is CallResult.Response && reply.status == OK) decodeHeartbeat(reply.body) else null
    }

    private fun decodeHeartbeat(fields: Fields): Heartbeat? =
        try {
            WorkerWire.decodeHeartbeat(fields)
        } catch (e: MalformedMessage) {
            log.warn("worker heartbeat not decodable: {}", e.message)
            null
        }

    private companion object {
        val log = loggerOf(WorkerClient::class.java)
        const val OK = 200
        const val BAD_REQUEST = 400
        const val CONFLICT = 409
        val TIMEOUT = 3.seconds
    }
}
