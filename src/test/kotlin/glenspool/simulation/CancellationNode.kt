package glenspool.simulation

import glenspool.api.LeaseRenewalPolicy
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancellationUpdate
import glenspool.core.cluster.Cancellations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A controller of a [CancellationSimulation], which reads the store, exchanges cancellations and renews leases. */
class CancellationNode(private val simulation: CancellationSimulation, val name: String) {
    private val clockDrift = simulation.clockDrift()
    private var processStartedAt = simulation.now

    /** Incremented at each start and stop, so that operations which an earlier process began have no effect. */
    private var process = 0

    /** The simulated time until which the controller is down. */
    var downUntil = Duration.ZERO

    /** The simulated time until which the store rejects the requests of this node, but of no other node. */
    var storeRefusedUntil = Duration.ZERO

    /** The simulated time until which no message passes between this node and the others. */
    var partitionedUntil = Duration.ZERO

    /** Whether the node runs the version in production, which exchanges no cancellations and renews every lease. */
    var isOldVersion = false

    /** Whether no worker reaches the node. */
    var isCutFromWorkers = false

    internal lateinit var cancellations: Cancellations
        private set
    internal lateinit var leases: LeaseRenewalPolicy
        private set

    /** The cancelled jobs read from the store. A node of the old version knows of no others. */
    private val readJobs = HashSet<String>()
    private var storeReadAt: Duration? = null

    internal val isUp: Boolean get() = simulation.now >= downUntil

    private val hasStore: Boolean
        get() = isUp && simulation.now >= simulation.storeDownUntil && simulation.now >= storeRefusedUntil
    private val isIsolated: Boolean get() = simulation.now < partitionedUntil && !hasStore

    private fun clock(): Duration = clockAt(simulation.now)

    /** Returns the time of this node's clock at a moment of the simulation. */
    internal fun clockAt(moment: Duration): Duration = (moment - processStartedAt) * clockDrift

    /** Starts the controller with empty memory. */
    internal fun start() {
        processStartedAt = simulation.now
        process++
        readJobs.clear()
        storeReadAt = null
        val settings = simulation.settings
        val others = simulation.members.filter { it !== this }
        cancellations =
            Cancellations(
                "$name-$process", others.map { it.name }, settings.cancellationDeadline * 4, ::clock,
            )
        leases = LeaseRenewalPolicy(settings, 2, ::clock)
        val startedProcess = process
        simulation.after(simulation.random.nextInt(500).milliseconds) { readStorePeriodically(startedProcess) }
        for (other in others) {
            simulation.after(simulation.random.nextInt(300).milliseconds) {
                exchangePeriodically(other, startedProcess)
            }
        }
    }

    /** Stops the controller and restarts it after [time]. */
    fun stop(time: Duration) {
        downUntil = simulation.now + time
        process++
        val stoppedProcess = process
        simulation.after(time) { if (stoppedProcess == process) start() }
    }

    private fun readStorePeriodically(startedProcess: Int) {
        if (startedProcess != process) return
        simulation.after((100 + simulation.random.nextInt(300)).milliseconds) { readStorePeriodically(startedProcess) }
        if (!hasStore) return
        val requestedAt = clock()
        simulation.after(simulation.networkDelay()) {
            if (startedProcess != process) return@after
            val all = simulation.stored.values.toList()
            simulation.after(simulation.networkDelay() + storeDelay()) {
                if (startedProcess == process) storeRead(all, requestedAt)
            }
        }
    }

    private fun storeDelay(): Duration {
        val isSlow = simulation.now < simulation.storeSlowUntil
        return if (isSlow) (1 + simulation.random.nextInt(4)).seconds else Duration.ZERO
    }

    private fun storeRead(all: List<Cancellation>, requestedAt: Duration) {
        storeReadAt = simulation.now
        readJobs.addAll(all.map { it.job })
        all.forEach { cancellations.add(it) }
        cancellations.recordStoreRead(requestedAt)
    }

    private fun exchangePeriodically(other: CancellationNode, startedProcess: Int) {
        if (startedProcess != process) return
        val hasFreshRead = storeReadAt?.let { simulation.now - it <= 2.5.seconds } ?: false
        val interval = if (hasFreshRead) 2.seconds else 500.milliseconds
        simulation.after(interval) { exchangePeriodically(other, startedProcess) }
        send(other)
    }

    private fun send(other: CancellationNode) {
        if (isOldVersion) return
        val sender = process
        val requestedAt = clock()
        val update = cancellations.updateFor(other.name)
        val isLost = simulation.chance(simulation.messageLoss)
        // A partition may delay a message and deliver it when its sender no longer waits for the reply.
        if (simulation.now < partitionedUntil || simulation.now < other.partitionedUntil || isLost) {
            if (simulation.deliversLateMessages && simulation.chance(0.5)) {
                simulation.after(simulation.random.nextInt(60).seconds) { other.receive(this, update) }
            }
            return
        }
        simulation.after(simulation.networkDelay()) {
            val answer = other.receive(this, update)
            simulation.after(simulation.networkDelay()) { answered(other, answer, requestedAt, sender) }
        }
    }

    private fun answered(other: CancellationNode, answer: CancellationUpdate?, requestedAt: Duration, sender: Int) {
        if (sender != process || simulation.chance(simulation.messageLoss) || simulation.now < partitionedUntil) return
        if (other.isOldVersion && other.isUp) cancellations.markUnsupported(other.name)
        if (answer == null) return
        cancellations.applyReply(other.name, answer, requestedAt)
        // Like a controller, the node immediately sends the cancellations that did not fit into the last message.
        if (cancellations.needsUpdate(other.name)) send(other)
    }

    /** Returns the reply to another node, or null if this node is down or does not support such messages. */
    private fun receive(from: CancellationNode, update: CancellationUpdate): CancellationUpdate? {
        if (!isUp || isOldVersion) return null
        return cancellations.reply(from.name, update)?.update
    }

    /** Returns whether this node knows that the job was cancelled. */
    internal fun isCancelled(job: String): Boolean = if (isOldVersion) job in readJobs else cancellations.contains(job)

    /** Returns whether the node, which knows of no leader, renews the worker's lease. */
    internal fun renewsLease(worker: LeaseHolder): Boolean {
        if (isOldVersion) return true
        return leases.decide(worker.name, cancellations.completeUpTo(), isIsolated).isRenewed
    }

    /**
     * Cancels a job for a user as a controller does. The node stores the cancellation, sends it to the other nodes, and
     * answers the user a moment later.
     */
    fun cancel(job: String) {
        if (!hasStore) return
        val stored = simulation.stored
        val cancellation = stored.getOrPut(job) { Cancellation(job, simulation.now, stored.size + 1L) }
        readJobs.add(job)
        cancellations.add(cancellation)
        if (!isOldVersion) simulation.members.forEach { if (it !== this) send(it) }
        val requestProcess = process
        simulation.after(600.milliseconds) { if (requestProcess == process && isUp) answerUser(job) }
    }

    private fun answerUser(job: String) {
        val isConfirmed = isOldVersion || cancellations.mayConfirm(job)
        if (isConfirmed) simulation.confirmed.putIfAbsent(job, simulation.now) else simulation.postponed++
    }
}
