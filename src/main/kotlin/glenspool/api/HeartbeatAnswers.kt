package glenspool.api

import glenspool.config.WorkerSettings
import glenspool.core.StopCause
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import glenspool.core.model.StopTask
import glenspool.core.model.TaskState
import glenspool.http.cborResponse
import glenspool.logging.InvariantLog
import glenspool.wire.WorkerWire
import org.http4k.core.Response
import org.http4k.core.Status
import kotlin.time.Duration

/**
 * Makes the answers to heartbeats. An answer with status 200 renews the worker's lease, so every one of them is made
 * here. Thread-safe.
 */
internal class HeartbeatAnswers(private val workers: WorkerSettings, otherNodeCount: Int, private val node: NodeState) {
    private val leaseRenewal = LeaseRenewalPolicy(workers, otherNodeCount, node::uptime)
    private val decisionLog = LeaseDecisionLog(node::uptime)
    private val redirectLimiter = RedirectLimiter(workers.lease, node::uptime)

    /** Whether this node does not know yet which jobs were cancelled, and can be expected to learn it soon. */
    fun isLearningCancellations(): Boolean =
        node.cancellations.completeUpTo() == null && node.otherLeader() == null && !node.isolated() && !node.fenced()

    /**
     * Returns the answer of the leader. It renews the lease on the same conditions as any other answer: while no
     * cancellation that the leader may not have received has to take effect within the lease, and with stops of all
     * work that it knows to be cancelled. The core itself repeats a stop only after an interval.
     */
    fun withCommands(heartbeat: Heartbeat, reply: WorkerCommands): Response {
        if (!mayRenewLease(heartbeat, leaseRenewal::decideAsLeader)) return refusal()
        return renewal(heartbeat, reply.token, reply.commands)
    }

    /** Returns the answer of a node that does not lead or whose core is overloaded. */
    fun withoutCore(heartbeat: Heartbeat): Response {
        val leader = node.otherLeader()
        if (leader != null && redirectLimiter.mayRedirect(heartbeat.machine)) {
            return cborResponse(MISDIRECTED, WorkerWire.redirect(leader))
        }
        // A fenced build may not be able to decode the stored data, so it can't determine which work was cancelled.
        if (node.fenced()) return refusal()
        val mayRenew = mayRenewLease(heartbeat) { leaseRenewal.decide(heartbeat.machine, it, node.isolated()) }
        if (!mayRenew) return refusal()
        // No leader is known, or the worker may not be redirected to it now. An answer with the worker's own token
        // starts no tasks and keeps those that it has running.
        return renewal(heartbeat, heartbeat.token, emptyList())
    }

    /** Makes and logs the decision about the worker's lease. */
    private fun mayRenewLease(
        heartbeat: Heartbeat,
        decide: (cancellationsCompleteUntil: Duration?) -> LeaseDecision,
    ): Boolean {
        val cancellationsCompleteUntil = node.cancellations.completeUpTo()
        val decision = decide(cancellationsCompleteUntil)
        decisionLog.record(heartbeat.machine, decision, cancellationsCompleteUntil)
        return decision.isRenewed
    }

    private fun refusal(): Response = cborResponse(Status.SERVICE_UNAVAILABLE, emptyMap())

    /** The only answer that renews a lease. It stops all work in the heartbeat that is known to be cancelled. */
    private fun renewal(heartbeat: Heartbeat, token: Long, commands: List<Command>): Response {
        leaseRenewal.recordAnswer(heartbeat.machine)
        val stops = stopsOfCancelledTasks(heartbeat)
        stops.forEach { reportIfOverdue(heartbeat, it) }
        return cborResponse(Status.OK, WorkerWire.heartbeatReply(token, commands + (stops - commands.toSet())))
    }

    private fun reportIfOverdue(heartbeat: Heartbeat, stop: StopTask) {
        val age = node.cancellations.ageOf(stop.key.job) ?: return
        if (age <= workers.cancellationDeadline) return
        val details = "task=${stop.key} machine=${heartbeat.machine} cancellation-known-for=$age"
        InvariantLog.report("cancelled-work-past-deadline", details)
    }

    /** A cancelled job stays cancelled, so any node may stop its tasks, whichever fencing token is current. */
    private fun stopsOfCancelledTasks(heartbeat: Heartbeat): List<StopTask> =
        heartbeat.tasks
            .filter { it.state != TaskState.EXITED && node.cancellations.contains(it.key.job) }
            .map { StopTask(it.key, it.attempt, Duration.ZERO, StopCause.CANCELLED) }

    private companion object {
        val MISDIRECTED = Status(421, "Misdirected Request")
    }
}
