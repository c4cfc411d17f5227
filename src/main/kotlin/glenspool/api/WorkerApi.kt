package glenspool.api

import glenspool.config.Settings
import glenspool.core.model.Heartbeat
import glenspool.http.AsyncHandler
import glenspool.http.cborResponse
import glenspool.http.readBounded
import glenspool.logging.loggerOf
import glenspool.wire.Cbor
import glenspool.wire.MalformedMessage
import glenspool.wire.UserWire
import glenspool.wire.WorkerWire
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.atomic.AtomicLong

/**
 * Processes workers' heartbeats. The leader answers with commands; another node redirects the worker to the leader,
 * renews its lease, or refuses the heartbeat.
 */
class WorkerApi(settings: Settings, node: NodeState, private val core: HeartbeatReceiver) : AsyncHandler {
    private val answers = HeartbeatAnswers(settings.workers, settings.members.size, node)
    private val deferredHeartbeats = DeferredHeartbeats(node::uptime) { !answers.isLearningCancellations() }
    private val heartbeats = AtomicLong()

    /** Called with each heartbeat's machine and incarnation; null while incarnations are not counted. */
    @Volatile
    var incarnationListener: ((machine: String, incarnation: Long) -> Unit)? = null

    /** Returns the number of heartbeats that this node has received since its start. */
    fun heartbeatsReceived(): Long = heartbeats.get()

    override fun handle(request: Request, respond: (Response) -> Unit) {
        heartbeats.incrementAndGet()
        if (request.method != Method.POST) return respond(cborResponse(Status.METHOD_NOT_ALLOWED, emptyMap()))
        val bytes = request.body.readBounded() ?: return respond(badRequest("the body is too long"))
        val heartbeat =
            try {
                WorkerWire.decodeHeartbeat(Cbor.decodeMap(bytes))
            } catch (e: MalformedMessage) {
                log.warn("heartbeat could not be decoded, answering 400: {}", e.message)
                return respond(badRequest(e.message ?: "malformed"))
            }
        incarnationListener?.invoke(heartbeat.machine, heartbeat.incarnation)
        core.receive(heartbeat) { commands ->
            if (commands == null) {
                answerWithoutCore(heartbeat, respond)
            } else {
                respond(answers.withCommands(heartbeat, commands))
            }
        }
    }

    /** The body of the service thread that answers heartbeats which arrived before this node knew the cancellations. */
    fun answerDeferredHeartbeats() = deferredHeartbeats.run()

    private fun answerWithoutCore(heartbeat: Heartbeat, respond: (Response) -> Unit) {
        val answer = { respond(answers.withoutCore(heartbeat)) }
        val isDeferred = answers.isLearningCancellations() && deferredHeartbeats.add(heartbeat.tasks.size, answer)
        if (!isDeferred) answer()
    }

    private fun badRequest(reason: String): Response = cborResponse(Status.BAD_REQUEST, UserWire.error(reason))

    private companion object {
        val log = loggerOf(WorkerApi::class.java)
    }
}
