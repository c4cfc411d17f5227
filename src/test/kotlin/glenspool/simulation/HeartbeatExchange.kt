package glenspool.simulation

import glenspool.core.Scheduler
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Delivers the heartbeats of the workers, and the answers to them, which renew leases and contain commands. */
internal class HeartbeatExchange(
    private val context: SimulationContext,
    private val leader: SimulatedLeader,
    private val execution: TaskExecution,
) {
    /** Sends a heartbeat immediately, and then one in each interval as long as the machine exists. */
    fun sendPeriodically(worker: SimulatedWorker) {
        if (worker.isLost) return
        val untilNext = context.config.heartbeatInterval * (0.75 + context.random.nextDouble() / 2)
        context.after(untilNext) { sendPeriodically(worker) }
        if (worker.isHanging) return
        if (context.now - worker.leaseRenewedAt > context.config.lease) worker.expireLease()
        val isLost =
            context.now < worker.partitionedUntil ||
                context.now < worker.heartbeatsLostUntil ||
                context.chance(context.faults.messageLoss)
        if (!isLost) send(worker)
    }

    private fun send(worker: SimulatedWorker) {
        val sentAt = context.now
        val heartbeat = worker.heartbeat()
        val receivingLeader = if (context.now < worker.servedByOtherNodeUntil) null else leader.scheduler
        if (context.chance(context.faults.heartbeatsForNextTerm)) leader.queueForNextTerm(heartbeat)
        if (context.chance(context.faults.duplicateHeartbeats)) sendLateDuplicate(heartbeat)
        context.after(context.networkDelay()) { receive(worker, heartbeat, sentAt, receivingLeader) }
    }

    private fun sendLateDuplicate(heartbeat: Heartbeat) {
        val delay = (1 + context.random.nextInt(MAX_DUPLICATE_DELAY_SECONDS)).seconds
        context.after(delay) { leader.step { heartbeatReceived(heartbeat) } }
    }

    private fun receive(worker: SimulatedWorker, heartbeat: Heartbeat, sentAt: Duration, receivingLeader: Scheduler?) {
        if (context.now < leader.controllersDownUntil) return
        if (receivingLeader == null || leader.scheduler !== receivingLeader || worker.isLost) {
            // The receiving node does not know the leader. It renews the lease with the worker's own token.
            val isAnswered = heartbeat.incarnation == worker.incarnation && context.now >= worker.unreachableUntil
            if (isAnswered) worker.leaseRenewedAt = sentAt
            return
        }
        var commands: List<Command> = emptyList()
        leader.step { commands = heartbeatReceived(heartbeat) }
        val token = receivingLeader.token
        context.trace?.addHeartbeatReply(context.now, worker.id, token, commands)
        context.after(context.networkDelay()) {
            if (!acceptsAnswer(worker, heartbeat, token)) return@after
            worker.highestToken = token
            worker.leaseRenewedAt = sentAt
            commands.forEach { execution.execute(worker, it) }
        }
    }

    private fun acceptsAnswer(worker: SimulatedWorker, heartbeat: Heartbeat, token: Long): Boolean =
        !worker.isLost &&
            !worker.isHanging &&
            context.now >= worker.partitionedUntil &&
            context.now >= worker.unreachableUntil &&
            heartbeat.incarnation == worker.incarnation &&
            token >= worker.highestToken

    private companion object {
        /** Well above the lease of the simulated deployment, which is 16 s. */
        const val MAX_DUPLICATE_DELAY_SECONDS = 50
    }
}
