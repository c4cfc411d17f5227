package glenspool.simulation

import kotlin.time.Duration

/** A worker of a [CancellationSimulation]: it sends heartbeats, and its jobs end when its lease expires. */
class LeaseHolder(private val simulation: CancellationSimulation, val name: String, initialNode: Int) {
    /** Index of the node to which it sends its heartbeats. */
    var nodeIndex = initialNode
    val jobs = HashSet<String>()
    private val drift = simulation.clockDrift()
    private var leaseRenewedAt = Duration.ZERO

    internal fun scheduleHeartbeat() {
        val untilNext = simulation.settings.heartbeatInterval * (0.75 + simulation.random.nextDouble() / 2)
        simulation.after(untilNext) { heartbeat() }
    }

    private fun heartbeat() {
        scheduleHeartbeat()
        expireLease()
        val node = simulation.members[nodeIndex]
        if (!node.isUp || !node.renewsLease(this)) {
            // Refused, or the node is down: the next heartbeat goes to the next node.
            nodeIndex = (nodeIndex + 1) % simulation.members.size
            return
        }
        node.leases.recordAnswer(name)
        leaseRenewedAt = simulation.now
        jobs.removeIf { node.isCancelled(it) }
    }

    internal fun expireLease() {
        if ((simulation.now - leaseRenewedAt) * drift <= simulation.settings.lease) return
        simulation.killedJobs.addAll(jobs)
        jobs.clear()
        leaseRenewedAt = simulation.now
    }
}
