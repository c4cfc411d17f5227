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

/** The outcome of commands, and the [heartbeat] in the worker's response; null if there was no usable one. */
data class CommandReply(val outcome: CommandOutcome, val heartbeat: Heartbeat?)

/** The requests of a controller to workers. Each goes to the worker's own address, and none is retried. */
interface WorkerCalls {
    /** Sends commands and waits until the worker has carried them out or rejected them. */
    fun sendCommands(request: SendCommands): CommandReply

    /** Requests the worker's status. Returns null if there was no usable response. */
    fun probe(addr: String): Heartbeat?
}

/** Sends the requests to workers over HTTP. */
class WorkerClient(private val http: HttpClient) : WorkerCalls {
    override fun sendCommands(request: SendCommands): CommandReply {
        val body = WorkerWire.directCommands(request.token, request.incarnation, request.commands)
        return when (val reply = http.post(request.addr, "/do", body, TIMEOUT)) {
            is CallResult.NotSent -> CommandReply(CommandOutcome.NOT_SENT, null)
            is CallResult.NoResponse -> CommandReply(CommandOutcome.UNKNOWN, null)
            is CallResult.Response -> replyOf(reply)
        }
    }

    private fun replyOf(reply: CallResult.Response): CommandReply {
        val isRejectionWithoutHeartbeat = reply.status != OK && reply.body.isEmpty()
        val heartbeat = if (isRejectionWithoutHeartbeat) null else decodeHeartbeat(reply.body)
        return when {
            // Only the heartbeat in the response shows that the commands are in effect.
            reply.status == OK && heartbeat != null -> CommandReply(CommandOutcome.DONE, heartbeat)
            reply.status == CONFLICT || reply.status == BAD_REQUEST -> CommandReply(CommandOutcome.REFUSED, heartbeat)
            else -> CommandReply(CommandOutcome.UNKNOWN, null)
        }
    }

    override fun probe(addr: String): Heartbeat? {
        val reply = http.get(addr, "/show", TIMEOUT)
        return if (reply is CallResult.Response && reply.status == OK) decodeHeartbeat(reply.body) else null
    }

    private fun decodeHeartbeat(fields: Fields): Heartbeat? =
        try {
            WorkerWire.decodeHeartbeat(fields)
        } catch (e: MalformedMessage) {
            log.warn("heartbeat in the response of a worker could not be decoded and is ignored: {}", e.message)
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
