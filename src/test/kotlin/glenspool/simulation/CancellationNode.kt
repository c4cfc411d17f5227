package glenspool.simulation

import glenspool.api.LeaseRenewalPolicy
import glenspool.core.cluster.Cancellation
import glenspool.core.cluster.CancellationUpdate
import glenspool.core.cluster.Cancellations
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A controller of a [CancellationSimulation]: it reads the store, exchanges cancellations and renews leases. */
class CancellationNode(private val simulation: CancellationSimulation, val name: String) {
    private val drift = simulation.clockDrift()
    private var processStartedAt = simulation.now

    /** Counts starts and stops; what an earlier process had begun has no effect any more. */
    private var process = 0

    /** Until then the controller is down. */
    var downUntil = Duration.ZERO

    /** Until then the store refuses this node alone. */
    var storeRefusedUntil = Duration.ZERO

    /** Until then no message passes between this node and the others. */
    var partitionedUntil = Duration.ZERO

    /** Of the version in production: it does not exchange cancellations, and renews every lease. */
    var isOldVersion = false

    internal lateinit var cancellations: Cancellations
        private set
    internal lateinit var leases: LeaseRenewalPolicy
        private set

    /** Cancelled jobs read from the store, which are all that a node of the old version knows. */
    private val readJobs = HashSet<String>()
    private var storeReadAt: Duration? = null

    internal val isUp: Boolean get() = simulation.now >= downUntil

    private val hasStore: Boolean
        get() = isUp && simulation.now >= simulation.storeDownUntil && simulation.now >= storeRefusedUntil
    private val isIsolated: Boolean get() = simulation.now < partitionedUntil && !hasStore

    private fun clock(): Duration = clockAt(simulation.now)

    /** What this node's clock shows at a moment of the simulation. */
    internal fun clockAt(moment: Duration): Duration = (moment - processStartedAt) * drift

    /** Starts the controller with nothing in its memory. */
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
            ) { simulation.now }
        leases = LeaseRenewalPolicy(settings, 2, ::clock)
        val started = process
        simulation.after(simulation.random.nextInt(500).milliseconds) { readStorePeriodically(started) }
        for (other in others) {
            simulation.after(simulation.random.nextInt(300).milliseconds) { exchangePeriodically(other, started) }
        }
    }

    /** The controller ends, and is back after [time]. */
    fun stop(time: Duration) {
        downUntil = simulation.now + time
        process++
        val stopped = process
        simulation.after(time) { if (stopped == process) start() }
    }

    private fun readStorePeriodically(started: Int) {
        if (started != process) return
        simulation.after((100 + simulation.random.nextInt(300)).milliseconds) { readStorePeriodically(started) }
        if (!hasStore) return
        val askedAt = clock()
        simulation.after(simulation.networkDelay()) {
            if (started != process) return@after
            val all = simulation.stored.values.toList()
            simulation.after(simulation.networkDelay() + storeDelay()) {
                if (started == process) storeRead(all, askedAt)
            }
        }
    }

    private fun storeDelay(): Duration {
        val isSlow = simulation.now < simulation.storeSlowUntil
        return if (isSlow) (1 + simulation.random.nextInt(4)).seconds else Duration.ZERO
    }

    private fun storeRead(all: List<Cancellation>, askedAt: Duration) {
        storeReadAt = simulation.now
        readJobs.addAll(all.map { it.job })
        all.forEach { cancellations.add(it) }
        cancellations.recordStoreRead(askedAt)
    }

    private fun exchangePeriodically(other: CancellationNode, started: Int) {
        if (started != process) return
        val hasFreshRead = storeReadAt?.let { simulation.now - it <= 2.5.seconds } ?: false
        val interval = if (hasFreshRead) 2.seconds else 500.milliseconds
        simulation.after(interval) { exchangePeriodically(other, started) }
        send(other)
    }

    private fun send(other: CancellationNode) {
        if (isOldVersion) return
        val sender = process
        val askedAt = clock()
        val update = cancellations.updateFor(other.name)
        val isLost = simulation.chance(simulation.messageLoss)
        // A cut may hold a message back and deliver it when nobody waits for its answer any more.
        if (simulation.now < partitionedUntil || simulation.now < other.partitionedUntil || isLost) {
            if (simulation.chance(0.5)) {
                simulation.after(simulation.random.nextInt(60).seconds) { other.receive(this, update) }
            }
            return
        }
        simulation.after(simulation.networkDelay()) {
            val answer = other.receive(this, update)
            simulation.after(simulation.networkDelay()) { answered(other, answer, askedAt, sender) }
        }
    }

    private fun answered(other: CancellationNode, answer: CancellationUpdate?, askedAt: Duration, sender: Int) {
        if (sender != process || simulation.chance(simulation.messageLoss) || simulation.now < partitionedUntil) return
        if (other.isOldVersion && other.isUp) cancellations.markUnsupported(other.name)
        if (answer == null) return
        cancellations.applyReply(other.name, answer, askedAt)
        // As a controller does: what a message had no room for goes at once.
        if (cancellations.needsUpdate(other.name)) send(other)
    }

    /** The answer to another node; null if this one is down or knows no such messages. */
    private fun receive(from: CancellationNode, update: CancellationUpdate): CancellationUpdate? {
        if (!isUp || isOldVersion) return null
        return cancellations.reply(from.name, update)?.update
    }

    internal fun isCancelled(job: String): Boolean = if (isOldVersion) job in readJobs else cancellations.contains(job)

    /** Whether the node, which knows no leader for the worker, renews its lease. */
    internal fun renewsLease(worker: LeaseHolder): Boolean {
        if (isOldVersion) return true
        return leases.renewsLease(worker.name, cancellations.completeUpTo(), isIsolated)
    }

    /** Cancels a job as a controller does for a user: stores it, tells the others, and answers a moment later. */
    fun cancel(job: String) {
        if (!hasStore) return
        val stored = simulation.stored
        val cancellation = stored.getOrPut(job) { Cancellation(job, simulation.now, stored.size + 1L) }
        readJobs.add(job)
        cancellations.add(cancellation)
        if (!isOldVersion) simulation.members.forEach { if (it !== this) send(it) }
        val asked = process
        simulation.after(600.milliseconds) { if (asked == process && isUp) answerUser(job) }
    }

    private fun answerUser(job: String) {
        val isConfirmed = isOldVersion || cancellations.mayConfirm(job)
        if (isConfirmed) simulation.confirmed.putIfAbsent(job, simulation.now) else simulation.postponed++
    }
}
