package glenspool.simulation

import glenspool.core.Scheduler
import glenspool.core.model.Command
import glenspool.core.model.Heartbeat
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Heartbeats of the workers and the answers to them, which renew leases and carry commands. */
internal class HeartbeatExchange(
    private val context: SimulationContext,
    private val leader: SimulatedLeader,
    private val execution: TaskExecution,
) {
    /** Sends a heartbeat, and from then on one in each interval, for as long as the machine exists. */
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
        val receiver = if (context.now < worker.servedByOtherNodeUntil) null else leader.scheduler
        if (context.chance(context.faults.heartbeatsForNextTerm)) leader.queueForNextTerm(heartbeat)
        if (context.chance(context.faults.duplicateHeartbeats)) sendLateCopy(heartbeat)
        context.after(context.networkDelay()) { receive(worker, heartbeat, sentAt, receiver) }
    }

    private fun sendLateCopy(heartbeat: Heartbeat) {
        val delay = (1 + context.random.nextInt(LONGEST_COPY_DELAY_SECONDS)).seconds
        context.after(delay) { leader.step { heartbeatReceived(heartbeat) } }
    }

    private fun receive(worker: SimulatedWorker, heartbeat: Heartbeat, sentAt: Duration, receiver: Scheduler?) {
        if (context.now < leader.controllersDownUntil) return
        if (receiver == null || leader.scheduler !== receiver || worker.isLost) {
            // The receiving node knows no leader: it renews the lease with the worker's own token.
            val isAnswered = heartbeat.incarnation == worker.incarnation && context.now >= worker.unreachableUntil
            if (isAnswered) worker.leaseRenewedAt = sentAt
            return
        }
        var commands: List<Command> = emptyList()
        leader.step { commands = heartbeatReceived(heartbeat) }
        val token = receiver.token
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
        /** The lease of the simulated deployment is 16 s. */
        const val LONGEST_COPY_DELAY_SECONDS = 50
    }
}
