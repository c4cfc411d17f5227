package glenspool.simulation

import kotlin.time.Duration

/** A worker of a [CancellationSimulation] that sends heartbeats. Its jobs end when its lease expires. */
class LeaseHolder(private val simulation: CancellationSimulation, val name: String, initialNode: Int) {
    /** Index of the node to which the worker sends its heartbeats. */
    var nodeIndex = initialNode
    val jobs = HashSet<String>()

    /** The simulated time until which the worker reaches no node. */
    var cutUntil = Duration.ZERO
    private val clockDrift = simulation.clockDrift()
    private var leaseRenewedAt = Duration.ZERO

    internal fun scheduleHeartbeat() {
        val untilNext = simulation.settings.heartbeatInterval * (0.75 + simulation.random.nextDouble() / 2)
        simulation.after(untilNext) { heartbeat() }
    }

    private fun heartbeat() {
        scheduleHeartbeat()
        expireLease()
        val node = simulation.members[nodeIndex]
        val isConnected = simulation.now >= cutUntil && node.isUp && !node.isCutFromWorkers
        if (!isConnected || !node.renewsLease(this)) {
            // The node can't be reached or refused the renewal, so the next heartbeat is sent to the next node.
            nodeIndex = (nodeIndex + 1) % simulation.members.size
            return
        }
        node.leases.recordAnswer(name)
        leaseRenewedAt = simulation.now
        jobs.removeIf { node.isCancelled(it) }
    }

    internal fun expireLease() {
        if ((simulation.now - leaseRenewedAt) * clockDrift <= simulation.settings.lease) return
        simulation.killedJobs.addAll(jobs)
        jobs.clear()
        leaseRenewedAt = simulation.now
    }
}
