package glenspool.api

import glenspool.config.Settings
import glenspool.controller.CoreLoop
import glenspool.controller.Node
import glenspool.core.StopCause
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import glenspool.http.AsyncHandler
import glenspool.http.bounded
import glenspool.http.cbor
import glenspool.logging.loggerOf
import glenspool.wire.Cbor
import glenspool.wire.MalformedMessage
import glenspool.wire.WorkerWire
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration

/** Takes workers' reports: the leader answers with orders, another node names the leader or keeps the lease. */
class WorkerApi(private val settings: Settings, private val node: Node, private val loop: CoreLoop) : AsyncHandler {
    private val keeper = LeaseKeeper(settings.workers, settings.members.size, node::uptime)

    private val heartbeats = AtomicLong()

    /** Told of each report's machine and session, for as long as somebody counts them. */
    @Volatile
    var incarnationSeen: ((machine: String, incarnation: Long) -> Unit)? = null

    /** Reports that came to this node so far. */
    fun answered(): Long = heartbeats.get()

    override fun handle(request: Request, respond: (Response) -> Unit) {
        heartbeats.incrementAndGet()
        if (request.method != Method.POST) return respond(cbor(Status.METHOD_NOT_ALLOWED, emptyMap()))
        val bytes =
            request.body.bounded() ?: return respond(cbor(Status.BAD_REQUEST, mapOf("error" to "the body is too long")))
        val heartbeat =
            try {
                WorkerWire.decodeHeartbeat(Cbor.decodeMap(bytes))
            } catch (e: MalformedMessage) {
                log.warn("report not understood: {}", e.message)
                return respond(cbor(Status.BAD_REQUEST, mapOf("error" to (e.message ?: "malformed"))))
            }
        incarnationSeen?.invoke(heartbeat.machine, heartbeat.incarnation)
        loop.heartbeat(heartbeat) { orders ->
            respond(
                if (orders !=
                    null
                ) {
                    answer(heartbeat, orders.token, orders.commands)
                } else {
                    withoutOrders(heartbeat)
                },
            )
        }
    }

    /** The answer of a node that does not lead, or whose core is behind. */
    private fun withoutOrders(heartbeat: Heartbeat): Response {
        val leader = node.leaderToName()
        if (leader != null && keeper.mayRedirect(heartbeat.machine)) return cbor(MISDIRECTED, WorkerWire.redirect(leader))
        // A build that may not understand what is stored can't say which work was cancelled.
        if (node.fenced()) return cbor(Status.SERVICE_UNAVAILABLE, emptyMap())
        if (!keeper.renewsLease(heartbeat.machine, node.cancellations.completeUpTo(), node.isolated())) return cbor(Status.SERVICE_UNAVAILABLE, emptyMap())
        // Nobody is known to lead, or not to be sent to now. Answering with the worker's own token starts nothing and
        // keeps its tasks alive.
        return answer(heartbeat, heartbeat.token, stopsOfCancelled(heartbeat))
    }

    private fun answer(to: Heartbeat, token: Long, commands: List<Command>): Response {
        keeper.served(to.machine)
        return cbor(Status.OK, WorkerWire.answer(token, commands))
    }

    /** A cancelled job stays cancelled, so any node may have its tasks stopped, with whatever token is in force. */
    private fun stopsOfCancelled(r: Heartbeat): List<Command> =
        r.tasks
            .filter { it.state != TaskState.EXITED && node.cancellations.knows(it.key.job) }
            .map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }

    companion object {
        private val log = loggerOf(WorkerApi::class.java)
        private val MISDIRECTED = Status(421, "Misdirected Request")
    }
}
