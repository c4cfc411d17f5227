package glenspool.api

import glenspool.config.Settings
import glenspool.core.StopCause
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
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
import kotlin.time.Duration

/**
 * Takes workers' heartbeats. The leader answers with commands; another node redirects the worker to the leader, or
 * renews its lease, or refuses.
 */
class WorkerApi(settings: Settings, private val node: NodeState, private val core: HeartbeatReceiver) : AsyncHandler {
    private val leaseRenewal = LeaseRenewalPolicy(settings.workers, settings.members.size, node::uptime)
    private val redirectLimiter = RedirectLimiter(settings.workers.lease, node::uptime)
    private val heartbeats = AtomicLong()

    /** Called with each heartbeat's machine and incarnation, while somebody counts them; null otherwise. */
    @Volatile
    var incarnationListener: ((machine: String, incarnation: Long) -> Unit)? = null

    /** How many heartbeats this node has received since its start. */
    fun heartbeatsReceived(): Long = heartbeats.get()

    override fun handle(request: Request, respond: (Response) -> Unit) {
        heartbeats.incrementAndGet()
        if (request.method != Method.POST) return respond(cborResponse(Status.METHOD_NOT_ALLOWED, emptyMap()))
        val bytes = request.body.readBounded() ?: return respond(badRequest("the body is too long"))
        val heartbeat =
            try {
                WorkerWire.decodeHeartbeat(Cbor.decodeMap(bytes))
            } catch (e: MalformedMessage) {
                log.warn("heartbeat not understood: {}", e.message)
                return respond(badRequest(e.message ?: "malformed"))
            }
        incarnationListener?.invoke(heartbeat.machine, heartbeat.incarnation)
        core.receive(heartbeat) { orders ->
            respond(
                if (orders == null) {
                    answerWithoutLead(heartbeat)
                } else {
                    answer(heartbeat, orders.token, orders.commands)
                },
            )
        }
    }

    /** The answer of a node that does not lead, or whose core is behind. */
    private fun answerWithoutLead(heartbeat: Heartbeat): Response {
        val leader = node.otherLeader()
        if (leader != null && redirectLimiter.mayRedirect(heartbeat.machine)) {
            return cborResponse(MISDIRECTED, WorkerWire.redirect(leader))
        }
        // A build that may not understand what is stored can't say which work was cancelled.
        if (node.fenced() || !renewsLease(heartbeat)) return cborResponse(Status.SERVICE_UNAVAILABLE, emptyMap())
        // There is no known leader, or the worker may not be redirected to it now. An answer with the worker's own
        // token starts nothing and keeps its tasks alive.
        return answer(heartbeat, heartbeat.token, stopsOfCancelled(heartbeat))
    }

    private fun renewsLease(heartbeat: Heartbeat): Boolean {
        val cancellationsCompleteUntil = node.cancellations.completeUpTo()
        return leaseRenewal.renewsLease(heartbeat.machine, cancellationsCompleteUntil, node.isolated())
    }

    private fun answer(heartbeat: Heartbeat, token: Long, commands: List<Command>): Response {
        leaseRenewal.recordAnswer(heartbeat.machine)
        return cborResponse(Status.OK, WorkerWire.heartbeatReply(token, commands))
    }

    /** A cancelled job stays cancelled, so any node may have its tasks stopped, whatever token is in force. */
    private fun stopsOfCancelled(heartbeat: Heartbeat): List<Command> =
        heartbeat.tasks
            .filter { it.state != TaskState.EXITED && node.cancellations.contains(it.key.job) }
            .map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }

    private fun badRequest(reason: String): Response = cborResponse(Status.BAD_REQUEST, UserWire.error(reason))

    private companion object {
        val log = loggerOf(WorkerApi::class.java)
        val MISDIRECTED = Status(421, "Misdirected Request")
    }
}
