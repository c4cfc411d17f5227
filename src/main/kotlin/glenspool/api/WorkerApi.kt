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
 * Processes workers' heartbeats. The leader answers with commands; another node redirects the worker to the leader,
 * renews its lease, or refuses the heartbeat.
 */
class WorkerApi(settings: Settings, private val node: NodeState, private val core: HeartbeatReceiver) : AsyncHandler {
    private val leaseRenewal = LeaseRenewalPolicy(settings.workers, settings.members.size, node::uptime)
    private val decisionLog = LeaseDecisionLog(node::uptime)
    private val redirectLimiter = RedirectLimiter(settings.workers.lease, node::uptime)
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
        core.receive(heartbeat) { reply ->
            respond(
                if (reply == null) {
                    answerWithoutCore(heartbeat)
                } else {
                    answer(heartbeat, reply.token, reply.commands)
                },
            )
        }
    }

    /** Returns the answer of a node that does not lead or whose core is overloaded. */
    private fun answerWithoutCore(heartbeat: Heartbeat): Response {
        val leader = node.otherLeader()
        if (leader != null && redirectLimiter.mayRedirect(heartbeat.machine)) {
            return cborResponse(MISDIRECTED, WorkerWire.redirect(leader))
        }
        // A fenced build may not be able to decode the stored data, so it can't determine which work was cancelled.
        if (node.fenced() || !renewsLease(heartbeat)) return cborResponse(Status.SERVICE_UNAVAILABLE, emptyMap())
        // No leader is known, or the worker may not be redirected to it now. An answer with the worker's own token
        // starts no tasks and keeps those that it has running.
        return answer(heartbeat, heartbeat.token, stopsOfCancelledTasks(heartbeat))
    }

    private fun renewsLease(heartbeat: Heartbeat): Boolean {
        val cancellationsCompleteUntil = node.cancellations.completeUpTo()
        val decision = leaseRenewal.decide(heartbeat.machine, cancellationsCompleteUntil, node.isolated())
        decisionLog.record(heartbeat.machine, decision, cancellationsCompleteUntil)
        return decision.isRenewed
    }

    private fun answer(heartbeat: Heartbeat, token: Long, commands: List<Command>): Response {
        leaseRenewal.recordAnswer(heartbeat.machine)
        return cborResponse(Status.OK, WorkerWire.heartbeatReply(token, commands))
    }

    /** A cancelled job stays cancelled, so any node may stop its tasks, whichever fencing token is current. */
    private fun stopsOfCancelledTasks(heartbeat: Heartbeat): List<Command> =
        heartbeat.tasks
            .filter { it.state != TaskState.EXITED && node.cancellations.contains(it.key.job) }
            .map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }

    private fun badRequest(reason: String): Response = cborResponse(Status.BAD_REQUEST, UserWire.error(reason))

    private companion object {
        val log = loggerOf(WorkerApi::class.java)
        val MISDIRECTED = Status(421, "Misdirected Request")
    }
}
